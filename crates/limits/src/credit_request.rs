//! Request for credits.

use wagtailmoor_core::{Incarnation, NodeId};
use wagtailmoor_derive::value;

use crate::{IssuerTerm, Tag};

/// Request of a node to one issuer, for all customers.
#[value]
pub struct CreditRequest {
    /// Requesting node.
    pub node: NodeId,
    /// Incarnation of the node; each one starts its own sequence numbers.
    pub incarnation: Incarnation,
    /// Sequence number of this request.
    pub sequence: u32,
    /// Term of the issuer whose credits are settled here.
    pub term: IssuerTerm,
    /// Demand and settlements of each customer.
    pub entries: Vec<CreditRequestEntry>,
}

/// Demand and settlements of a node for one customer.
#[value]
pub struct CreditRequestEntry {
    /// Tag of the customer's id.
    pub customer: Tag,
    /// Credits for waiting requests.
    pub urgent: u32,
    /// Credits for requests that are expected to arrive before the next regular credit request.
    pub prefetch: u32,
    /// Credits used or returned since the last request.
    pub settlements: Vec<Settlement>,
}

/// Use of the credits that were issued within one issue slot.
#[value]
pub struct Settlement {
    /// Issue slot from the reply that granted the credits.
    pub issue_slot: u32,
    /// Number of credits used to admit requests.
    pub used: u32,
    /// Number of unused credits that the holder returns.
    pub returned: u32,
}
