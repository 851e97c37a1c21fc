//! A registered target.

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
    /// The target accepts requests.
    Ready,
    /// The target is about to exit and accepts no new requests.
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

/// A target with the fields that it registered.
#[value]
pub struct Target {
    /// The target.
    pub target: TargetId,
    /// Start of the process. A later incarnation has no state of an earlier one.
    pub incarnation: Incarnation,
    /// Back end that it serves.
    pub back_end: BackEndId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// State that it registered.
    pub state: TargetState,
    /// Number of requests that it can run concurrently.
    pub slots: Requests,
    /// Remaining cold time at registration; `None` if it was warm.
    pub cold_for: Option<Duration>,
    /// Software version of the target.
    pub software: Arc<str>,
}
