//! Settings of a router process.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, NodeId, PartsPerMillion, ZoneId};
use wagtailmoor_rollout::RolloutSettings;
use wagtailmoor_site::SiteConfig;

use crate::NodeAddress;

/// Limits of the site that apply to all nodes together.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitBounds {
    /// Retries allowed, as a share of requests.
    pub retry_share: PartsPerMillion,
    /// Requests by which all nodes together may exceed a customer's limit.
    pub burst_slack: u32,
}

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Start of this process; distinguishes incarnations of one node.
    pub incarnation: Incarnation,
    /// Availability zone of this node.
    pub zone: ZoneId,
    /// Whether this is the first start of the whole site.
    pub first_start: bool,
    /// Listen address for clients.
    pub front: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Listen address for metrics and the node's status.
    pub metrics: SocketAddr,
    /// Addresses of nodes to call while the store is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Time from the stop signal until the platform kills the process.
    pub grace: Duration,
    /// Time within which a change of the operators or of a target must be in force on this node.
    pub apply_time: Duration,
    /// Time after a disturbance of this node or its links after which `apply_time` must hold again.
    pub contact_time: Duration,
    /// CPU and network capacity of the host, relative to other nodes. The strongest node of a zone
    /// relays changes to the others.
    pub capacity: u32,
    /// File descriptors that the process may use.
    pub descriptors_max: u32,
    /// Bounds of the exposure to new versions of targets; `None` if rollouts are off.
    pub rollouts: Option<RolloutSettings>,
    /// Whether the site asks for concurrency limits at targets and for admission by priority.
    pub load_control: bool,
    /// Limits of the site that apply to all nodes together.
    pub limits: LimitBounds,
}

impl NodeSettings {
    /// Returns whether targets are limited over all nodes and requests are admitted by priority. A
    /// target that holds too many uploads crashes, so a configuration with uploads asks for it too.
    pub(crate) fn controls_load(&self, config: &SiteConfig) -> bool {
        self.load_control || config.streams_requests()
    }

    /// Returns the entry of this node in the list of nodes.
    pub(crate) fn address(&self) -> NodeAddress {
        NodeAddress {
            node: self.node.clone(),
            zone: self.zone.clone(),
            address: self.peers,
            capacity: self.capacity,
        }
    }
}
