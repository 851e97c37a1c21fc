//! Gets changes of the store from other nodes, and relays them to others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_core::Instant;
use wagtailmoor_telemetry::Event;

use crate::PeerFailure;
use crate::feeds;
use crate::peer_link::PeerLink;
use crate::peer_polling::{PeerPolling, PendingCall};
use crate::peer_service::RelayedRows;
use crate::replica::RELAY_WAIT;
use crate::replica_messages::KnownVersions;
use crate::replica_table::ReplicaTable;
use crate::row_origin::{RowOrigin, RowSource};
use crate::site_decoder::SiteDecoder;
use crate::state::Shared;

/// The result of a call to another node; without rows if the call failed.
struct PeerAnswer {
    peer: SocketAddr,
    rows: Option<RelayedRows>,
}

/// Calls other nodes for changes until the process stops.
pub(crate) async fn run<S: SiteDecoder>(shared: Shared, link: PeerLink, decoder: Rc<S>) {
    let mut polling = PeerPolling::default();
    let mut calls = FuturesUnordered::new();
    loop {
        feeds::apply_due(&shared, &*decoder);
        let now = shared.now();
        if polling.may_call(now) {
            for peer in peers_to_call(&shared, now, &polling) {
                polling.start(now, peer);
                let (link, known) = (link.clone(), shared.read().replica.known_versions(now));
                calls.push(async move { PeerAnswer { peer, rows: link.rows(peer, known).await } });
            }
        }
        let wait = polling.until_next_check(shared.now());
        if polling.is_idle() {
            sleep(wait).await;
            continue;
        }
        match timeout(wait, calls.next()).await {
            // Answers that arrive together are handled at once; the pause delays only further
            // calls.
            Ok(Some(answer)) => {
                let call = polling.finish(answer.peer).expect("each call is pending");
                on_answer(&shared, &*decoder, call, answer);
                polling.pause(shared.now(), shared.read().replica.source().peer_failures());
            }
            _ => {
                for call in polling.mark_unresponsive(shared.now()) {
                    record_peer_failure(&shared, call, PeerFailure::Unresponsive);
                }
            }
        }
    }
}

fn peers_to_call(shared: &Shared, now: Instant, polling: &PeerPolling) -> Vec<SocketAddr> {
    let mut state = shared.write();
    let state = &mut *state;
    let leader = state.leader_view(now);
    state.replica.peers_to_call(now, leader, &polling.pending_peers(), &mut state.random)
}

fn on_answer<S: SiteDecoder>(shared: &Shared, decoder: &S, call: PendingCall, answer: PeerAnswer) {
    match answer.rows {
        Some(rows) => apply_rows(shared, decoder, call, rows),
        None if call.unresponsive => {}
        None => record_peer_failure(shared, call, PeerFailure::Unresponsive),
    }
}

/// Logs a failure of another node and avoids the node for a while.
fn record_peer_failure(shared: &Shared, call: PendingCall, failure: PeerFailure) {
    let now = shared.now();
    let mut state = shared.write();
    state.stats.count("peer-helpless");
    Event::new("peer-helpless")
        .field("peer", call.peer)
        .field("cause", failure)
        .field("store_age_ms", state.replica.age(now).as_millis())
        .info();
    state.replica.on_peer_failure(now, call, failure);
}

fn apply_rows<S: SiteDecoder>(
    shared: &Shared,
    decoder: &S,
    call: PendingCall,
    relayed: RelayedRows,
) {
    let received_at = shared.now();
    if relayed.rows.can_relay {
        handle_recovery(shared, call.peer);
    }
    let mut state = shared.write();
    for page in [&relayed.rows.operators, &relayed.rows.targets, &relayed.rows.ranges] {
        state.observe_era(received_at, page.version.era());
    }
    let answer = state.replica.on_peer_rows(received_at, call, relayed.rows);
    drop(state);
    let source = RowSource::Node(call.peer);
    let origin = RowOrigin { source, as_of: answer.as_of, received_at };
    for (table, rows) in ReplicaTable::ALL.into_iter().zip(&answer.rows) {
        feeds::apply_rows(shared, decoder, table, origin, rows);
    }
    shared.write().observe_leader(shared.now(), relayed.leader);
    match answer.confirms {
        true => shared.data_confirmed.notify_waiters(),
        false => record_peer_failure(shared, call, PeerFailure::Stale),
    }
}

/// Prepares for rows after a time without a source: entries of targets that expired while the store
/// was unreachable are missing from them.
fn handle_recovery(shared: &Shared, peer: SocketAddr) {
    let now = shared.now();
    let mut state = shared.write();
    if state.replica.source().shows_outage(now) {
        state.registry.on_store_recovery(now);
        Event::new("relay-gained").field("peer", peer).info();
    }
}

/// Answers a node's call as soon as there are changes for it, its data can be confirmed, or
/// `RELAY_WAIT` has passed.
pub(crate) fn answer(shared: &Shared, known: KnownVersions, reply: oneshot::Sender<RelayedRows>) {
    let shared = Rc::clone(shared);
    let received = shared.now();
    shared.write().replica.hear(received, known.newest);
    spawn_local(async move {
        let answer = loop {
            let changed = shared.routes_changed.notified();
            let confirmed = shared.data_confirmed.notified();
            // The stated age and wait must refer to the same instant.
            let now = shared.now();
            let waited = now.saturating_since(received);
            let (answer, waits) = missing_rows(&shared, &known, now, waited);
            if !waits {
                break answer;
            }
            tokio::select! {
                () = changed => {}
                () = confirmed => {}
                () = sleep(RELAY_WAIT - waited) => {}
            }
        };
        // Sending fails if the caller has gone.
        drop(reply.send(answer));
    });
}

fn missing_rows(
    shared: &Shared,
    known: &KnownVersions,
    now: Instant,
    waited: Duration,
) -> (RelayedRows, bool) {
    let state = shared.read();
    let leader = state.leader_view(now);
    let (rows, waits) = state.replica.answer(now, known, waited, leader, state.config.is_some());
    (RelayedRows { rows, leader: state.observed_leader() }, waits)
}
