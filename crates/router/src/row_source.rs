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
use crate::feeds::{self, RANGES_TABLE};
use crate::peer_link::PeerLink;
use crate::peer_service::{KnownVersions, MissingRows};
use crate::row_origin::{RowOrigin, RowSource};
use crate::site_decoder::SiteDecoder;
use crate::state::Shared;

/// A node holds a call for at most this long while it has no changes for the caller. This bounds
/// the time until the caller detects that the node no longer receives changes.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// Pause before further calls after several consecutive failures of other nodes.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest time between two checks whether nodes must be called.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after an answer, so that the next answer contains a series of changes.
const ANSWER_PAUSE: Duration = Duration::from_millis(30);

/// A node without an answer counts as unresponsive after this time. A later answer is still used:
/// rows may be many and the link slow.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Consecutive failures of other nodes from which on the longer pause applies.
const FAILURES_BEFORE_PAUSE: u32 = 3;

/// A call to another node that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    peer: SocketAddr,
    sent_at: Instant,
    unresponsive: bool,
}

/// The result of a call to another node; without rows if the call failed.
struct PeerAnswer {
    peer: SocketAddr,
    rows: Option<MissingRows>,
}

/// Calls other nodes for changes until the process stops.
pub(crate) async fn run<S: SiteDecoder>(shared: Shared, link: PeerLink, decoder: Rc<S>) {
    let mut pending: Vec<PendingCall> = Vec::new();
    let mut calls = FuturesUnordered::new();
    let mut next_call_at = shared.now();
    loop {
        feeds::apply_due(&shared, &*decoder);
        if shared.now() >= next_call_at {
            for peer in peers_to_call(&shared, &pending) {
                pending.push(PendingCall { peer, sent_at: shared.now(), unresponsive: false });
                let (link, known) = (link.clone(), known_versions::<S>(&shared));
                calls.push(async move { PeerAnswer { peer, rows: link.rows(peer, known).await } });
            }
        }
        let wait = until_next_check(&pending, shared.now(), next_call_at);
        if pending.is_empty() {
            sleep(wait).await;
            continue;
        }
        match timeout(wait, calls.next()).await {
            // Answers that arrive together are handled at once; the pause delays only further
            // calls.
            Ok(Some(answer)) => {
                let call = pending.iter().position(|call| call.peer == answer.peer);
                let call = pending.swap_remove(call.expect("each call is pending"));
                on_answer(&shared, &*decoder, call, answer);
                next_call_at = shared.now() + call_pause(&shared);
            }
            _ => mark_unresponsive(&shared, &mut pending),
        }
    }
}

/// Returns the time until further nodes may be called, or a called node counts as unresponsive.
fn until_next_check(pending: &[PendingCall], now: Instant, next_call_at: Instant) -> Duration {
    let unresponsive_at = pending
        .iter()
        .filter(|call| !call.unresponsive)
        .map(|call| call.sent_at + UNRESPONSIVE_AFTER)
        .min();
    let may_call = Some(next_call_at).filter(|at| now < *at);
    let latest = now + CHECK_INTERVAL;
    let next = unresponsive_at.into_iter().chain(may_call).min().unwrap_or(latest);
    next.min(latest).saturating_since(now)
}

fn peers_to_call(shared: &Shared, pending: &[PendingCall]) -> Vec<SocketAddr> {
    let pending: Vec<SocketAddr> = pending.iter().map(|call| call.peer).collect();
    let mut state = shared.write();
    let state = &mut *state;
    let now = shared.now();
    let leader = state.leader_view(now);
    state.source.peers_to_call(now, leader, &pending, &mut state.random)
}

/// Returns the pause before further calls. It is short after the first few failures, so that other
/// nodes are called at once.
fn call_pause(shared: &Shared) -> Duration {
    match shared.read().source.peer_failures() {
        0..FAILURES_BEFORE_PAUSE => ANSWER_PAUSE,
        _ => FAILURE_PAUSE,
    }
}

fn mark_unresponsive(shared: &Shared, pending: &mut [PendingCall]) {
    let now = shared.now();
    let is_overdue =
        |call: &&mut PendingCall| !call.unresponsive && call.sent_at + UNRESPONSIVE_AFTER <= now;
    for call in pending.iter_mut().filter(is_overdue) {
        call.unresponsive = true;
        record_peer_failure(shared, *call, PeerFailure::Unresponsive);
    }
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
        .field("store_age_ms", state.source.age(now).as_millis())
        .info();
    state.source.record_peer_failure(now, call.peer, failure);
    state.decision_gate.record_failure(now, call.sent_at);
}

fn known_versions<S: SiteDecoder>(shared: &Shared) -> KnownVersions {
    let now = shared.now();
    let state = shared.read();
    KnownVersions {
        age: state.source.age(now),
        operators: state.rows.version(S::OPERATOR_TABLE),
        targets: state.rows.version(S::TARGET_TABLE),
        ranges: state.rows.version(RANGES_TABLE),
    }
}

fn apply_rows<S: SiteDecoder>(shared: &Shared, decoder: &S, call: PendingCall, rows: MissingRows) {
    // The answer states the age of the data when it was sent. The time of the transfer adds to that
    // age; the time that the other node waited before it answered does not.
    let received_at = shared.now();
    let waited = rows.waited.min(received_at.saturating_since(call.sent_at));
    let up_to = call.sent_at + waited - rows.store_age;
    let origin = RowOrigin { source: RowSource::Node(call.peer), as_of: up_to, received_at };
    if rows.can_relay {
        handle_recovery(shared, call.peer);
    }
    feeds::apply(shared, decoder, S::OPERATOR_TABLE, origin, rows.operators);
    feeds::apply(shared, decoder, S::TARGET_TABLE, origin, rows.targets);
    feeds::apply(shared, decoder, RANGES_TABLE, origin, rows.ranges);
    shared.write().observe_leader(shared.now(), rows.leader);
    match rows.can_relay {
        true => {
            shared.write().source.record_relayed(call.peer, up_to, rows.designated_origin);
            shared.data_confirmed.notify_waiters();
        }
        false => record_peer_failure(shared, call, PeerFailure::Stale),
    }
}

/// Prepares for rows after a time without a source: entries of targets that expired while the store
/// was unreachable are missing from them.
fn handle_recovery(shared: &Shared, peer: SocketAddr) {
    let now = shared.now();
    let mut state = shared.write();
    if state.source.shows_outage(now) {
        state.registry.on_store_recovery(now);
        Event::new("relay-gained").field("peer", peer).info();
    }
}

/// Answers a node's call as soon as there are changes for it, its data can be confirmed, or
/// `RELAY_WAIT` has passed.
pub(crate) fn answer<S: SiteDecoder>(
    shared: &Shared,
    known: KnownVersions,
    reply: oneshot::Sender<MissingRows>,
) {
    let shared = Rc::clone(shared);
    let received = shared.now();
    spawn_local(async move {
        let answer = loop {
            let changed = shared.routes_changed.notified();
            let confirmed = shared.data_confirmed.notified();
            // The stated age and wait must refer to the same instant.
            let now = shared.now();
            let waited = now.saturating_since(received);
            let missing = missing_rows::<S>(&shared, &known, now);
            let caller_age = known.age.saturating_add(waited);
            let confirms_newer = shared.read().source.confirms_newer(now, caller_age);
            let waits = missing.is_empty() && missing.can_relay && !confirms_newer;
            if !waits || waited >= RELAY_WAIT {
                break MissingRows { waited, ..missing };
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

fn missing_rows<S: SiteDecoder>(
    shared: &Shared,
    known: &KnownVersions,
    now: Instant,
) -> MissingRows {
    let state = shared.read();
    MissingRows {
        operators: state.rows.page(S::OPERATOR_TABLE, known.operators),
        targets: state.rows.page(S::TARGET_TABLE, known.targets),
        ranges: state.rows.page(RANGES_TABLE, known.ranges),
        leader: state.observed_leader(),
        can_relay: state.config.is_some() && state.source.can_relay(now, state.leader_view(now)),
        store_age: state.source.age(now),
        designated_origin: state.source.has_designated_origin(state.leader_view(now)),
        waited: Duration::ZERO,
    }
}
