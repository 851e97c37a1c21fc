//! Requests for permits, and assignment of free targets to waiting requests.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;
use wagtailmoor_core::ZoneId;
use wagtailmoor_limits::{PermitReply, PermitRequest};

use crate::entry::Shared;

/// Maximum time between two ticks of the permit holders.
const POLL_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Requests permits from the issuers of all zones as demand requires.
pub(crate) async fn run(entry: Shared) {
    loop {
        let now = entry.now();
        let mut next = now + POLL_INTERVAL_MAX;
        let requests: Vec<(ZoneId, PermitRequest)> = {
            let mut state = entry.state();
            let holders = state.permits.iter_mut();
            holders
                .filter_map(|(zone, holder)| {
                    let request = holder.tick(now);
                    next = next.min(holder.next_tick(now));
                    request.map(|request| (zone.clone(), request))
                })
                .collect()
        };
        requests.into_iter().for_each(|(zone, request)| send(&entry, zone, request));
        let demand = entry.signals.permit_demand.notified();
        drop(timeout(next.saturating_since(now), demand).await);
    }
}

/// Assigns targets to waiting requests whenever a target may be free.
pub(crate) async fn serve_waiting(entry: Shared) {
    loop {
        // Permits also become free as time passes, without a wake-up.
        drop(timeout(POLL_INTERVAL_MAX, entry.signals.capacity.notified()).await);
        entry.state().serve_waiting(&entry, entry.now());
    }
}

/// Returns all permits to their issuers, for a graceful shutdown.
pub(crate) fn release(entry: &Shared) {
    let now = entry.now();
    let requests: Vec<_> = {
        let mut state = entry.state();
        let holders = state.permits.iter_mut();
        holders
            .filter_map(|(zone, holder)| Some((zone.clone(), holder.release_all(now)?)))
            .collect()
    };
    requests.into_iter().for_each(|(zone, request)| send(entry, zone, request));
}

fn send(entry: &Shared, zone: ZoneId, request: PermitRequest) {
    let entry = entry.clone();
    spawn_local(async move {
        if let Some(reply) = request_permits(&entry, &zone, request).await {
            let now = entry.now();
            let mut state = entry.state();
            if let Some(holder) = state.permits.get_mut(&zone) {
                holder.on_reply(now, &reply);
            }
            state.permits_replied = true;
            drop(state);
            entry.signals.capacity.notify_one();
            entry.signals.permits.notify_waiters();
            // After the reply of a new issuer, the holder must send a request that names it.
            entry.signals.permit_demand.notify_one();
        }
    });
}

async fn request_permits(
    entry: &Shared,
    zone: &ZoneId,
    request: PermitRequest,
) -> Option<PermitReply> {
    let now = entry.now();
    let address = {
        let mut state = entry.state();
        let node = state.controllers.get(zone).cloned()?;
        if node == state.settings.node {
            return state.roles.get_mut(zone)?.issue_permits(now, &request);
        }
        state.address(now, &node)?
    };
    entry.peers.permits(address, zone.clone(), request).await.ok()
}
