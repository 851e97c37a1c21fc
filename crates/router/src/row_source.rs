//! Where this node learns of changes in the store: from the store itself or from another node.
//!
//! Every call to the store costs, and a change wakes every node that waits for it there. So one
//! node of each zone, its relay, follows the store, and the others wait at their relay. A node
//! whose relay is silent, or lacks the store itself, turns to the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_core::{Instant, KeyHash, rendezvous_score};
use wagtailmoor_telemetry::Event;

use crate::feeds::{self, RANGES_TABLE};
use crate::peer_link::PeerLink;
use crate::peer_service::{KnownRows, MissedRows, NodeAddress};
use crate::site_decoder::SiteDecoder;
use crate::state::{RouterState, Shared};

/// Longest wait of a relay for something new. It bounds how late a node finds out that its relay
/// does not hear of changes any more.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// Age up to which what a node knows of the store counts as fresh. A wait at the store ends after
/// one second, and a change must be in force everywhere within two.
const FRESH_AGE_MAX: Duration = Duration::from_millis(1_350);

/// A relay that was not heard of for this long is replaced by the store.
const RELAY_SILENCE_MAX: Duration = Duration::from_millis(900);

/// Pause after a relay that did not answer.
const RELAY_RETRY: Duration = Duration::from_millis(200);

/// Pause of a node that needs no relay.
const IDLE_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two answers of a relay, so that a series of changes comes in one.
const RELAY_PAUSE: Duration = Duration::from_millis(30);

/// Item by which the nodes of a zone agree on their relay.
const RELAY_ITEM: &[u8] = b"relay";

/// Nodes of a zone that may become the leader as soon as the present one is silent.
const CANDIDATES_BY_ZONE: usize = 2;

/// Nodes of a zone that follow the store for the others.
const RELAYS_BY_ZONE: usize = 1;

/// Orders the nodes of a zone by what they can do for the others, then by hash.
fn order(node: &NodeAddress) -> (u32, u64) {
    let item = KeyHash::of(RELAY_ITEM).get();
    (node.capacity, rendezvous_score(item, node.node.as_str()))
}

/// Returns the rank of a node among those of its zone.
fn rank(state: &RouterState, own: &NodeAddress) -> usize {
    let others = state.nodes.iter().filter(|node| node.zone == own.zone && node.node != own.node);
    others.filter(|node| order(node) > order(own)).count()
}

/// Returns whether this node is to become the leader as soon as the present one is silent.
pub(crate) fn is_candidate(state: &RouterState, own: &NodeAddress, seeds: &[SocketAddr]) -> bool {
    is_among_first(state, own, seeds, CANDIDATES_BY_ZONE)
}

/// Returns whether this node passes the store's changes on to its zone.
pub(crate) fn is_relay(state: &RouterState, own: &NodeAddress, seeds: &[SocketAddr]) -> bool {
    is_among_first(state, own, seeds, RELAYS_BY_ZONE)
}

/// Returns whether this node is among the strongest of its zone. While no nodes are known the seeds
/// count as such.
fn is_among_first(
    state: &RouterState,
    own: &NodeAddress,
    seeds: &[SocketAddr],
    count: usize,
) -> bool {
    match state.nodes.is_empty() {
        true => seeds.is_empty() || seeds.contains(&own.address),
        false => rank(state, own) < count,
    }
}

/// Returns the node at which this one waits for changes, unless it is a relay itself.
fn relay(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.settings.address();
    let mut state = shared.write();
    let state = &mut *state;
    if is_relay(state, &own, &shared.settings.seeds) {
        return None;
    }
    let zone = state.nodes.iter().filter(|node| node.zone == own.zone);
    let relay = zone.max_by_key(|node| order(node));
    let lacks = shared.now().saturating_since(state.relay_heard) > RELAY_SILENCE_MAX;
    match relay {
        Some(node) if !lacks => Some(node.address),
        // Without word from the relay, any other node may know more.
        _ => some_peer(state, &own, &shared.settings.seeds),
    }
}

fn some_peer(
    state: &mut RouterState,
    own: &NodeAddress,
    seeds: &[SocketAddr],
) -> Option<SocketAddr> {
    let known = state.nodes.iter().map(|node| node.address);
    let mut peers: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
    peers.retain(|peer| *peer != own.address);
    match peers.is_empty() {
        true => None,
        false => Some(peers[state.random.random_range(0..peers.len())]),
    }
}

/// Returns whether this node is to follow the store itself.
pub(crate) fn follows_store(shared: &Shared, now: Instant) -> bool {
    let state = shared.read();
    let own = shared.settings.address();
    is_relay(&state, &own, &shared.settings.seeds)
        || now.saturating_since(state.relay_heard) > RELAY_SILENCE_MAX
}

/// Returns whether this node knows what was written to the store just now.
fn is_fresh(shared: &Shared) -> bool {
    shared.now().saturating_since(shared.read().store_heard) < FRESH_AGE_MAX
}

/// Waits at the relay for changes until the process ends.
pub(crate) async fn run<S: SiteDecoder>(shared: Shared, link: PeerLink, decoder: Rc<S>) {
    loop {
        let lacks_store = !is_fresh(&shared);
        let peer = match relay(&shared) {
            // A relay that lacks the store itself asks any other node.
            None if lacks_store => {
                let own = shared.settings.address();
                some_peer(&mut shared.write(), &own, &shared.settings.seeds)
            }
            peer => peer,
        };
        let Some(peer) = peer else {
            sleep(IDLE_PAUSE).await;
            continue;
        };
        match link.rows(peer, known_rows::<S>(&shared)).await {
            Some(missed) => {
                take(&shared, &*decoder, missed);
                sleep(RELAY_PAUSE).await;
            }
            None => sleep(RELAY_RETRY).await,
        }
    }
}

fn known_rows<S: SiteDecoder>(shared: &Shared) -> KnownRows {
    let state = shared.read();
    KnownRows {
        operators: state.rows.version(S::OPERATOR_TABLE),
        targets: state.rows.version(S::TARGET_TABLE),
        ranges: state.rows.version(RANGES_TABLE),
    }
}

fn take<S: SiteDecoder>(shared: &Shared, decoder: &S, missed: MissedRows) {
    feeds::apply(shared, decoder, S::OPERATOR_TABLE, missed.operators);
    feeds::apply(shared, decoder, S::TARGET_TABLE, missed.targets);
    feeds::apply(shared, decoder, RANGES_TABLE, missed.ranges);
    let now = shared.now();
    let mut state = shared.write();
    state.see_leader(now, missed.leader);
    if !missed.has_store {
        // The store itself may still answer this node.
        state.relay_heard = Instant::default();
    } else {
        let was_silent = now.saturating_since(state.relay_heard) > RELAY_SILENCE_MAX;
        state.relay_heard = now;
        state.store_heard = state.store_heard.max(now - missed.store_age);
        if was_silent {
            Event::new("relay-gained").info();
        }
    }
}

/// Answers a node that waits for changes, as soon as there are any.
pub(crate) fn answer<S: SiteDecoder>(
    shared: &Shared,
    known: KnownRows,
    reply: oneshot::Sender<MissedRows>,
) {
    let shared = Rc::clone(shared);
    spawn_local(async move {
        let changed = shared.routes_changed.notified();
        let mut missed = missed_rows::<S>(&shared, &known);
        if missed.is_empty() {
            // Nothing new within the wait is an answer as well.
            drop(timeout(RELAY_WAIT, changed).await);
            missed = missed_rows::<S>(&shared, &known);
        }
        // A caller that is gone needs no reply.
        drop(reply.send(missed));
    });
}

fn missed_rows<S: SiteDecoder>(shared: &Shared, known: &KnownRows) -> MissedRows {
    let now = shared.now();
    let state = shared.read();
    MissedRows {
        operators: state.rows.page(S::OPERATOR_TABLE, known.operators),
        targets: state.rows.page(S::TARGET_TABLE, known.targets),
        ranges: state.rows.page(RANGES_TABLE, known.ranges),
        leader: state.leader_seen(),
        has_store: state.config.is_some() && is_fresh(shared),
        store_age: now.saturating_since(state.store_heard),
    }
}
