//! A node and its address.

use std::net::SocketAddr;

use wagtailmoor_core::{NodeId, ZoneId};
use wagtailmoor_derive::value;

/// A node and the address at which other nodes reach it.
#[value]
pub struct NodeAddress {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Address for calls of other nodes.
    pub address: SocketAddr,
    /// Capacity of the node relative to other nodes; the strongest nodes become relays and
    /// candidates.
    pub capacity: u32,
}
