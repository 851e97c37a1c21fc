//! A node and where other nodes reach it.

use std::net::SocketAddr;

use wagtailmoor_core::{NodeId, ZoneId};
use wagtailmoor_derive::value;

/// A node and where other nodes reach it.
#[value]
pub struct NodeAddress {
    /// Name of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where other nodes connect.
    pub address: SocketAddr,
    /// How much it can do for others, relative to other nodes.
    pub capacity: u32,
}
