//! Settings of a router process.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, NodeId, PartsPerMillion, ZoneId};

use crate::NodeAddress;

/// Bounds that a site sets on what all nodes do together.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitBounds {
    /// Further attempts allowed, as a share of requests.
    pub retry_share: PartsPerMillion,
    /// Requests by which a customer's limit may be exceeded over all nodes.
    pub burst_slack: u32,
}

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Start of this process; tells lives of one node apart.
    pub incarnation: Incarnation,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Whether the whole site starts for the first time.
    pub first_start: bool,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where the platform asks whether this node takes clients.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Nodes to ask while the store is out of reach.
    pub seeds: Vec<SocketAddr>,
    /// Time from a request to stop until the process is killed.
    pub grace: Duration,
    /// Processor time and network of the machine, relative to other nodes. The strongest node of a
    /// zone passes changes on to the others.
    pub capacity: u32,
    /// File descriptors that the process may use.
    pub descriptors_max: u32,
    /// Bounds on what all nodes do together.
    pub limits: LimitBounds,
}

impl NodeSettings {
    /// Returns this node as others know it.
    pub(crate) fn address(&self) -> NodeAddress {
        NodeAddress {
            node: self.node.clone(),
            zone: self.zone.clone(),
            address: self.peers,
            capacity: self.capacity,
        }
    }
}
