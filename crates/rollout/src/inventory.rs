//! What the leader knows of the targets of a back end.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{NodeId, TargetId, ZoneId};

/// A target of the new version in service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewTarget {
    /// The target.
    pub target: TargetId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is cold.
    pub cold: bool,
}

/// What the leader knows of the targets of a back end.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Versions of the targets in service.
    pub versions: Vec<Arc<str>>,
    /// Whether the leader has seen the registry for long enough to know all versions.
    pub settled: bool,
    /// Targets of the new version in service.
    pub new: Vec<NewTarget>,
    /// Number of targets of other versions in service.
    pub old: usize,
    /// Whether the targets own keys.
    pub keyed: bool,
    /// Whether a target of another version owns keys.
    pub old_owns_keys: bool,
    /// Hosts that report to the leader.
    pub hosts: Vec<NodeId>,
    /// Longest time that a request to the back end may take.
    pub longest_request: Duration,
}
