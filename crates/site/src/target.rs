//! A target as it registered itself.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{BackEndId, Incarnation, Requests, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// State that a target registers.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It leaves and takes no new requests.
    Draining,
}

impl Display for TargetState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}

/// A target as it registered itself.
#[value]
pub struct Target {
    /// The target.
    pub target: TargetId,
    /// Start of the process; a later one under the same id holds nothing of the earlier one.
    pub incarnation: Incarnation,
    /// Back end that it serves.
    pub back_end: BackEndId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// State that it registered.
    pub state: TargetState,
    /// Requests that it runs at a time.
    pub slots: Requests,
    /// How much longer it was cold when it registered, if it was.
    pub cold_for: Option<Duration>,
    /// Version of its software.
    pub software: Arc<str>,
}
