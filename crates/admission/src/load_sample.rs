//! A load report of a target.

use wagtailmoor_core::{ReportedDuration, Requests};

/// The load that a target reports in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests from all nodes that are running at the target.
    pub running: Requests,
    /// Requests from all nodes that are queued at the target.
    pub waiting: Requests,
    /// Current service time in percent of the usual one.
    pub slowdown_percent: u32,
    /// Remaining time until the target is warm, if reported.
    pub cold_for: Option<ReportedDuration>,
}
