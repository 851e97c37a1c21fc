//! Limit of one resource.

use std::time::Duration;

use wagtailmoor_derive::value;

use crate::SlowStartSettings;

/// Limit of one resource.
#[value]
pub struct PermitLimit {
    /// Limit while the target is warm.
    pub full: u32,
    /// Limit while the target is cold; `None` if it is the same as for a warm target.
    pub slow_start: Option<SlowStartSettings>,
    /// Maximum time for which a permit is in use.
    pub request_max: Duration,
}
