//! Load reports of targets.

use std::time::Duration;

use wagtailmoor_core::Requests;
use wagtailmoor_derive::{scalar, value};

/// State that a target reports.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// The target's caches are empty, so it can handle little load.
    Cold,
    /// The target operates normally.
    Warm,
    /// The target accepts no new requests.
    Draining,
}

/// One load report of a target.
#[value]
pub struct LoadReport {
    /// State that the target reports for itself.
    pub state: ReportedState,
    /// Number of running requests, as counted by the target.
    pub running: Requests,
    /// Number of queued requests, as counted by the target.
    pub queued: Requests,
    /// Age of the report when it arrived.
    pub age: Duration,
}
