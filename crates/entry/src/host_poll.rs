//! Polling of the platform's host list.

use std::time::Duration;

use tokio::time::sleep;
use wagtailmoor_membership as membership;
use wagtailmoor_store::{HostList, HostListSnapshot, ListedNode, ListedState};
use wagtailmoor_telemetry::Event;

use crate::entry::Shared;
use crate::ownership_calls;
use crate::state::State;

/// The list lags by seconds, so shorter intervals give no newer information.
const INTERVAL: Duration = Duration::from_secs(2);

/// Interval until the first success. A new process can serve nothing before it knows its targets.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);

/// Announces this process and polls the host list.
pub(crate) async fn run(entry: Shared) {
    loop {
        let listed_state = entry.state().own_listed_state();
        let announced = announce(&entry, listed_state).await;
        match entry.platform.list().await {
            Ok(snapshot) => apply(&entry, &snapshot),
            Err(error) => Event::new("host-list-failed").field("error", error).debug(),
        }
        let ready = announced && entry.state().host_list_received;
        sleep(if ready { INTERVAL } else { FIRST_INTERVAL }).await;
    }
}

/// Enters this process in the host list and returns whether that succeeded.
pub(crate) async fn announce(entry: &Shared, listed_state: ListedState) -> bool {
    let own = {
        let state = entry.state();
        let own = state.membership.own();
        ListedNode {
            node: own.node.clone(),
            zone: own.zone.clone(),
            rack: own.rack.clone(),
            address: own.address,
            state: listed_state,
        }
    };
    entry.platform.announce(&own).await.is_ok()
}

fn apply(entry: &Shared, snapshot: &HostListSnapshot) {
    let outputs = {
        let mut state = entry.state();
        let nodes = snapshot.nodes.iter().map(|node| membership::HostListEntry {
            node: node.node.clone(),
            address: node.address,
            zone: node.zone.clone(),
            rack: node.rack.clone(),
        });
        state.membership.on_hosts(nodes.collect());
        state.directory.replace(&snapshot.targets);
        state.host_list_received = true;
        state.configure(entry.now())
    };
    ownership_calls::execute_all(entry, outputs);
    entry.signals.capacity.notify_one();
}

impl State {
    /// Returns `Leaving` for a host that operators took out of service, so that the load balancer
    /// sends it no new connections.
    fn own_listed_state(&self) -> ListedState {
        match self.propagation.configuration().is_host_in_service(&self.settings.host) {
            true => ListedState::Live,
            false => ListedState::Leaving,
        }
    }
}
