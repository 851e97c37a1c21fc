//! Rate limits of customers during a run.

use wagtailmoor_core::{Requests, RequestsPerSecond};
use wagtailmoor_derive::value;

/// Rate limit that was configured for a customer during the run.
#[value]
pub struct CustomerLimit {
    /// Identifier of the customer.
    pub customer: String,
    /// Rate at which the token bucket is refilled.
    pub rate: RequestsPerSecond,
    /// Capacity of the token bucket.
    pub burst: Requests,
}
