//! Allowances and usage reports that nodes exchange with the limit issuer.

use wagtailmoor_core::{CustomerId, PartsPerMillion};
use wagtailmoor_derive::value;

/// The requests that a node may admit for a customer near its limit.
#[value]
pub struct NodeAllowance {
    /// Customer that is near its limit.
    pub customer: CustomerId,
    /// The node's share of the rate and the level of the customer.
    pub share: PartsPerMillion,
    /// Requests that the customer may send at once over all nodes. Negative if the nodes together
    /// admitted more than the limit before they received their allowances.
    pub level: i32,
}

/// Requests of a customer at one node within the period of a report.
#[value]
pub struct CustomerUsage {
    /// Customer that sent the requests.
    pub customer: CustomerId,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that were admitted and not refunded.
    pub admitted: u32,
}
