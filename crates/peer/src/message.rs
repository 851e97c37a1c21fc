//! Message types that no other crate defines.

use std::sync::Arc;

use wagtailmoor_core::{
    BackEndId, ConfigVersion, Epoch, Generation, HostId, Incarnation, KeyHash, NodeId, SlotId,
    TargetId, ZoneId,
};
use wagtailmoor_derive::value;
use wagtailmoor_ownership::RouteUpdate;

/// Reply to a pull of routes.
#[value]
pub enum RouteReply {
    /// Routes; the node is the controller of the zone.
    Update(RouteUpdate),
    /// The node is not the controller; contains the node that it believes to be the
    /// controller.
    NotController(Option<NodeId>),
}

/// Request rates that a node has seen since its last report.
#[value]
pub struct HeatReport {
    /// Reporting node.
    pub node: NodeId,
    /// Back end that the requests were for.
    pub back_end: BackEndId,
    /// Requests per second of each slot that received any.
    pub slots: Vec<(SlotId, u32)>,
    /// Requests per second of the keys with the highest rates.
    pub keys: Vec<(KeyHash, u32)>,
}

/// State of a zone as one node knows it.
#[value]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the operators have the zone in service.
    pub in_service: bool,
    /// Controller of the zone, if the node knows one.
    pub controller: Option<NodeId>,
    /// Controller generation of the node's routes, if it has any.
    pub generation: Option<Generation>,
    /// Time since the last reply of the controller, in milliseconds.
    pub routes_age_ms: Option<u64>,
}

/// Status that a node reports.
#[value]
pub struct NodeState {
    /// The node.
    pub node: NodeId,
    /// Host that the node runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Version of the active configuration.
    pub config_version: ConfigVersion,
    /// Time since the node last confirmed that no newer configuration exists, in milliseconds.
    pub freshness_age_ms: Option<u64>,
    /// Time since the last reply of the store, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// Controller generation, if the node is the controller of its zone.
    pub controller_generation: Option<Generation>,
    /// Time for which the node remains controller without a renewal by the store or another zone's
    /// promise, in milliseconds.
    pub authority_left_ms: Option<u64>,
    /// Whether the node is shutting down and refuses new requests.
    pub stopping: bool,
    /// Open client connections.
    pub connections: u32,
    /// Requests in progress.
    pub requests: u32,
    /// Requests answered since the process started.
    pub answered: u64,
    /// Requests refused since the process started.
    pub refused: u64,
    /// State of each zone as the node knows it.
    pub zones: Vec<ZoneView>,
    /// Nodes that the node considers alive.
    pub members: Vec<NodeId>,
    /// Targets that the node would send requests to.
    pub targets: u32,
}

/// Owner of a key as one node knows it.
#[value]
pub struct OwnerReport {
    /// Back end of the key.
    pub back_end: BackEndId,
    /// Hash of the key.
    pub key: KeyHash,
    /// Slot of the key, or `None` for a hot key with a route entry of its own.
    pub slot: Option<SlotId>,
    /// Owner and epoch, if the node knows an owner.
    pub owner: Option<(TargetId, Epoch)>,
    /// State of the route: `owner`, `moving`, `no-owner` or `stale`.
    pub state: Arc<str>,
}
