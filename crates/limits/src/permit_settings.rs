//! Settings of a permit holder.

use std::time::Duration;

use wagtailmoor_derive::value;

/// Settings of a [`crate::PermitHolder`].
#[value]
pub struct PermitSettings {
    /// Interval of regular requests to the issuer.
    pub interval: Duration,
    /// Timeout of a reply, after which another request may be sent.
    pub reply_timeout: Duration,
    /// Maximum requests per second to the issuer outside the regular interval.
    pub urgent_per_s: u32,
    /// Minimum number of permits to hold for each resource while the issuer has enough, so that an
    /// occasional request does not wait for one.
    pub min_held: u32,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            reply_timeout: Duration::from_millis(25),
            urgent_per_s: 10,
            min_held: 0,
        }
    }
}
