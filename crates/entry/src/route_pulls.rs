//! Pulling of routes from the controllers of all zones.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;
use wagtailmoor_core::{Instant, NodeId, ZoneId};
use wagtailmoor_ownership::{RoutePull, RouteUpdate};
use wagtailmoor_peer::{CallError, RouteReply};

use crate::entry::Shared;
use crate::state::State;

/// Maximum interval between pulls, which bounds the time until a node learns of a new owner.
const INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of nodes queried in one round to find the controller of a zone.
const CONTROLLER_SEARCH_MAX: usize = 4;

/// Pulls the routes of all zones.
pub(crate) async fn run(entry: Shared) {
    loop {
        let zones = entry.state().zones();
        for zone in zones {
            let entry = entry.clone();
            spawn_local(async move { pull(&entry, &zone).await });
        }
        drop(timeout(INTERVAL, entry.signals.route_demand.notified()).await);
    }
}

async fn pull(entry: &Shared, zone: &ZoneId) {
    for _ in 0..CONTROLLER_SEARCH_MAX {
        let requested_at = entry.now();
        let (pull, node) = {
            let mut state = entry.state();
            (state.routes.pull(zone), state.choose_controller(requested_at, zone))
        };
        let Some(node) = node else { return };
        match send_pull(entry, &node, pull).await {
            Ok(RouteReply::Update(update)) => return merge(entry, requested_at, &node, &update),
            Ok(RouteReply::NotController(other)) => {
                let mut state = entry.state();
                state.controllers.invalidate(zone, &node);
                let other = other.filter(|other| *other != node);
                other.into_iter().for_each(|other| state.controllers.insert(zone, other));
            }
            Err(_) => entry.state().controllers.invalidate(zone, &node),
        }
    }
}

async fn send_pull(
    entry: &Shared,
    node: &NodeId,
    pull: RoutePull,
) -> Result<RouteReply, CallError> {
    let now = entry.now();
    let address = {
        let mut state = entry.state();
        if *node == state.settings.node {
            return Ok(state.answer_pull(now, &pull));
        }
        state.address(now, node)
    };
    match address {
        Some(address) => entry.peers.routes(address, pull).await,
        None => Err(CallError::NoReply),
    }
}

fn merge(entry: &Shared, requested_at: Instant, node: &NodeId, update: &RouteUpdate) {
    let changed = {
        let mut state = entry.state();
        state.controllers.insert(&update.zone, node.clone());
        state.routes_requested_at.insert(update.zone.clone(), requested_at);
        let accepted = state.routes.merge(requested_at, update);
        let changed =
            accepted && update.back_ends.iter().any(|back_end| !back_end.entries.is_empty());
        if changed {
            state.wake_keyed();
        }
        changed
    };
    if changed {
        entry.signals.routes.notify_waiters();
    }
}

impl State {
    /// Returns the node from which to pull the routes of a zone: its known controller, or a candidate.
    pub(crate) fn choose_controller(&mut self, now: Instant, zone: &ZoneId) -> Option<NodeId> {
        // The controller of a zone whose nodes are all lost is a node of another zone.
        let mut nodes = self.nodes_of(now, zone);
        if nodes.is_empty() {
            let zones = self.zones();
            nodes = zones.iter().flat_map(|zone| self.nodes_of(now, zone)).collect();
        }
        let known = self.controllers.get(zone).cloned();
        nodes.extend(known.filter(|node| self.address(now, node).is_some()));
        self.controllers.choose(zone, &nodes)
    }

    /// Answers a pull of routes.
    pub(crate) fn answer_pull(&mut self, now: Instant, pull: &RoutePull) -> RouteReply {
        let role = self.roles.get_mut(&pull.zone);
        match role.and_then(|role| role.ownership.routes(now, pull)) {
            Some(update) => RouteReply::Update(update),
            None => RouteReply::NotController(self.controllers.get(&pull.zone).cloned()),
        }
    }
}
