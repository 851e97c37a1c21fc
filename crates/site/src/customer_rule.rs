//! Rate limit and priority of a customer.

use wagtailmoor_core::{CustomerId, Requests, RequestsPerSecond};
use wagtailmoor_derive::value;

/// Rate limit and priority of a customer.
#[value]
pub struct CustomerRule {
    /// The customer.
    pub customer: CustomerId,
    /// Priority of its requests, zero being the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Requests admitted per second, in total over all nodes; zero means no limit.
    pub rate: RequestsPerSecond,
    /// Requests admitted at once in addition to the rate, in total over all nodes.
    pub burst: Requests,
}

impl CustomerRule {
    /// Returns whether the customer has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate.get() > 0
    }
}
