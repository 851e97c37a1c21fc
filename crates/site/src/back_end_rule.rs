//! Settings of a back end.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::BackEndId;
use wagtailmoor_derive::value;

/// Settings of a back end.
#[value]
pub struct BackEndRule {
    /// The back end.
    pub back_end: BackEndId,
    /// Path of a target's health check.
    pub health_path: Arc<str>,
    /// Maximum connections to a target, in total over all nodes.
    pub connections_max: u32,
    /// Maximum requests per 1,000 s to a cold target, in total over all nodes.
    pub cold_per_1000_s: u32,
    /// Whether targets own ranges of keys and refuse requests for other keys.
    pub keyed: bool,
    /// How long a target serves keys slowly that it received without a handover.
    pub warm_up: Duration,
}

impl BackEndRule {
    /// Returns the maximum requests per second to a cold target, in total over all nodes.
    pub fn cold_per_s(&self) -> f64 {
        f64::from(self.cold_per_1000_s) / 1_000.0
    }
}
