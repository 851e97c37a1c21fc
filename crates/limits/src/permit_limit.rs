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
    /// Maximum duration of a request, and so of the use of a permit.
    pub request_max: Duration,
}
