//! Settings of a credit holder.

use std::time::Duration;

use wagtailmoor_derive::value;

/// Settings of a [`crate::CreditHolder`].
#[value]
pub struct CreditSettings {
    /// Interval of regular requests to an issuer.
    pub interval: Duration,
    /// Maximum wait of a request for credit.
    pub wait_max: Duration,
    /// Timeout of a reply, after which credits are requested from another issuer.
    pub reply_timeout: Duration,
    /// Credits kept for an active customer in addition to its expected demand.
    pub reserve: u32,
    /// Time after a customer's last request at which the customer is no longer active and its free
    /// credits are returned.
    pub idle_timeout: Duration,
    /// Maximum requests per second to an issuer outside the regular interval.
    pub urgent_per_s: u32,
}

impl Default for CreditSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            // Covers two round trips and one lost message: 25 ms to detect the loss, then a request
            // to the next issuer.
            wait_max: Duration::from_millis(50),
            reply_timeout: Duration::from_millis(25),
            reserve: 1,
            // With 2 s, the reserves of 12 nodes take up most of a burst of 10 requests.
            idle_timeout: Duration::from_millis(500),
            urgent_per_s: 10,
        }
    }
}
