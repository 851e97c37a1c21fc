//! The platform's list of targets and entry processes, which is served with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::{BackEndId, Instant, NodeId, RackId, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// Earlier states kept. Once older ones are dropped, a longer lag returns an empty list.
const MAX_HISTORY: usize = 10_000;

/// State of a process in the host list.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// Announced that it will stop.
    Leaving,
}

/// A target in the host list.
#[value]
pub struct TargetEntry {
    /// Id of the target.
    pub target: TargetId,
    /// Back end that the target belongs to.
    pub back_end: BackEndId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Address and port on which the target accepts requests.
    pub address: String,
    /// Whether the target is in service.
    pub state: HostState,
}

/// An entry process in the host list.
#[value]
pub struct NodeEntry {
    /// Id of the entry process.
    pub node: NodeId,
    /// Availability zone of the process.
    pub zone: ZoneId,
    /// Rack of the host on which the process runs.
    pub rack: RackId,
    /// Control address and port of the process.
    pub address: String,
    /// Whether the process is in service.
    pub state: HostState,
}

/// Body of `GET /hosts`.
#[value]
#[derive(Default)]
pub(crate) struct Hosts {
    /// Targets in order of their ids.
    pub(crate) targets: Vec<TargetEntry>,
    /// Entry processes in order of their ids.
    pub(crate) nodes: Vec<NodeEntry>,
}

/// The host list and its recent states, from which a delayed list is taken.
#[derive(Default)]
pub struct HostList {
    current: Hosts,
    history: VecDeque<(Instant, Hosts)>,
}

impl HostList {
    /// Adds a target, or replaces the entry with its id.
    pub fn put_target(&mut self, now: Instant, entry: TargetEntry) {
        self.current.targets.retain(|target| target.target != entry.target);
        self.current.targets.push(entry);
        self.current.targets.sort_by(|left, right| left.target.cmp(&right.target));
        self.record_state(now);
    }

    /// Sets the state of a target to `Leaving`.
    pub fn mark_leaving(&mut self, now: Instant, id: &TargetId) {
        let targets = self.current.targets.iter_mut().filter(|target| target.target == *id);
        targets.for_each(|target| target.state = HostState::Leaving);
        self.record_state(now);
    }

    /// Removes a target; does nothing if it is not in the list.
    pub fn remove_target(&mut self, now: Instant, id: &TargetId) {
        self.current.targets.retain(|target| target.target != *id);
        self.record_state(now);
    }

    /// Adds an entry process, or replaces the entry with its id.
    pub fn put_node(&mut self, now: Instant, entry: NodeEntry) {
        self.current.nodes.retain(|node| node.node != entry.node);
        self.current.nodes.push(entry);
        self.current.nodes.sort_by(|left, right| left.node.cmp(&right.node));
        self.record_state(now);
    }

    /// Removes an entry process and returns whether it was in the list.
    pub fn remove_node(&mut self, now: Instant, id: &str) -> bool {
        let count = self.current.nodes.len();
        self.current.nodes.retain(|node| node.node.as_str() != id);
        self.record_state(now);
        self.current.nodes.len() < count
    }

    /// Returns the list as it was `lag` ago; empty if no state is that old.
    pub(crate) fn delayed(&self, now: Instant, lag: Duration) -> Hosts {
        if lag.is_zero() {
            return self.current.clone();
        }
        let cutoff = now - lag;
        let state = self.history.iter().rev().find(|(at, _)| *at <= cutoff);
        state.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn record_state(&mut self, now: Instant) {
        self.history.push_back((now, self.current.clone()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}
