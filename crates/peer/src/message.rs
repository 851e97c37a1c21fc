//! Messages that no decision crate defines.

use std::sync::Arc;

use wagtailmoor_core::{
    BackEndId, ConfigVersion, Epoch, Generation, HostId, Incarnation, KeyHash, NodeId, SlotId,
    TargetId, ZoneId,
};
use wagtailmoor_derive::value;
use wagtailmoor_ownership::RouteUpdate;

/// Answer to a pull of routes.
#[value]
pub enum RouteReply {
    /// This node is the controller of the zone.
    Update(RouteUpdate),
    /// This node is not the controller; it believes that this one is.
    NotController(Option<NodeId>),
}

/// Load that one node has seen since its last report.
#[value]
pub struct HeatReport {
    /// Node that reports.
    pub node: NodeId,
    /// Back end of the load.
    pub back_end: BackEndId,
    /// Requests a second of each slot that had any.
    pub slots: Vec<(SlotId, u32)>,
    /// Requests a second of the hottest keys.
    pub keys: Vec<(KeyHash, u32)>,
}

/// What a node knows of one zone.
#[value]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// Whether operators keep it in service.
    pub in_service: bool,
    /// Controller that this node believes in.
    pub controller: Option<NodeId>,
    /// Generation of the routes held.
    pub generation: Option<Generation>,
    /// Age of the last answer of the controller.
    pub routes_age_ms: Option<u64>,
}

/// What a node says of itself.
#[value]
pub struct NodeState {
    /// The node.
    pub node: NodeId,
    /// Its machine.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Age of the knowledge that no newer version exists.
    pub freshness_age_ms: Option<u64>,
    /// Age of the last answer of the store.
    pub store_age_ms: Option<u64>,
    /// Generation in which it is controller of its zone, if it is.
    pub controller_generation: Option<Generation>,
    /// Time for which it may remain controller without the store or another zone's promise.
    pub authority_left_ms: Option<u64>,
    /// Whether it refuses new requests because it stops.
    pub stopping: bool,
    /// Open connections of clients.
    pub connections: u32,
    /// Requests in progress.
    pub requests: u32,
    /// Requests answered since the start.
    pub answered: u64,
    /// Requests refused since the start.
    pub refused: u64,
    /// What it knows of each zone.
    pub zones: Vec<ZoneView>,
    /// Nodes that it believes to be alive.
    pub members: Vec<NodeId>,
    /// Targets that it would send work to.
    pub targets: u32,
}

/// Where a key lives, as one node knows.
#[value]
pub struct OwnerReport {
    /// Back end of the key.
    pub back_end: BackEndId,
    /// Hash of the key.
    pub key: KeyHash,
    /// Slot of the key, or nothing for a hot key with an entry of its own.
    pub slot: Option<SlotId>,
    /// Owner and epoch, if there is one.
    pub owner: Option<(TargetId, Epoch)>,
    /// Why: `owner`, `moving`, `no-owner` or `stale`.
    pub state: Arc<str>,
}
