//! Customers of a scenario.

use serde::Deserialize;
use wagtailmoor_core::{CustomerId, Requests, RequestsPerSecond, Weight};

/// A customer of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Identifier of the customer.
    pub customer: CustomerId,
    /// Customer key that clients of the customer send.
    pub key: String,
    /// Rate limit of the customer in the configuration of the system under test.
    pub rate: RequestsPerSecond,
    /// Burst limit of the customer in the configuration of the system under test.
    pub burst: Requests,
    /// Weight of the customer in workloads that name no customers.
    pub share: Weight,
}
