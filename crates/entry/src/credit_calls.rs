//! Requests for credits to the controllers of all zones.

use tokio::task::spawn_local;
use tokio::time::timeout;
use wagtailmoor_core::ZoneId;
use wagtailmoor_limits::{CreditReply, CreditRequest};

use crate::entry::Shared;

/// Requests credits from the issuers of all zones as demand requires.
pub(crate) async fn run(entry: Shared) {
    loop {
        let now = entry.now();
        let (requests, next) = {
            let mut state = entry.state();
            (state.credits.tick(now), state.credits.next_tick(now))
        };
        send_all(&entry, requests);
        let demand = entry.signals.credit_demand.notified();
        drop(timeout(next.saturating_since(now), demand).await);
    }
}

/// Returns all credits to their issuers, for a graceful shutdown.
pub(crate) fn release(entry: &Shared) {
    let requests = entry.state().credits.release_all(entry.now());
    send_all(entry, requests);
}

fn send_all(entry: &Shared, requests: Vec<(ZoneId, CreditRequest)>) {
    for (zone, request) in requests {
        let entry = entry.clone();
        spawn_local(async move {
            if let Some(reply) = request_credits(&entry, &zone, request).await {
                entry.state().credits.on_reply(entry.now(), &zone, &reply);
                entry.signals.credits.notify_waiters();
                entry.signals.credit_demand.notify_one();
            }
        });
    }
}

async fn request_credits(
    entry: &Shared,
    zone: &ZoneId,
    request: CreditRequest,
) -> Option<CreditReply> {
    let now = entry.now();
    let address = {
        let mut state = entry.state();
        let node = state.controllers.get(zone).cloned()?;
        if node == state.settings.node {
            return state.roles.get_mut(zone)?.issue_credits(now, &request);
        }
        state.address(now, &node)?
    };
    entry.peers.credits(address, zone.clone(), request).await.ok()
}
