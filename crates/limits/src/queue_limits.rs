//! Limits of a fair queue.

use wagtailmoor_derive::value;

/// Limits of a [`crate::FairQueue`].
#[value]
pub struct QueueLimits {
    /// Maximum number of queued requests of all customers.
    pub total: usize,
    /// Maximum number of queued requests of one customer.
    pub per_customer: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { total: 1024, per_customer: 256 }
    }
}
