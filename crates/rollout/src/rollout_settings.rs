//! Bounds of the exposure of clients to a new version.

use std::time::Duration;

use wagtailmoor_core::{PartsPerMillion, Requests};

/// Bounds of the exposure of clients to a new version, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Share of a back end's requests that a bad version may get.
    pub exposure_share: PartsPerMillion,
    /// Requests that a bad version may get in addition.
    pub exposure_slack: Requests,
    /// Time after many bad answers within which a version must get no more requests.
    pub rollback: Duration,
}
