//! Selects where a node gets the changes of the store: from the store itself or from another node.

use std::cmp::max_by_key;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use wagtailmoor_core::{Instant, KeyHash, SortedVec, ZoneId, rendezvous_score};

use crate::{LeaderView, NodeAddress, PeerFailure};

/// A node relays changes to others only while its own data are younger than this. The leader calls the
/// store again at most 0.2 s after an answer and waits 0.4 s there, and each confirmation is passed
/// on at once, so older data show that a source is slow or has failed.
const FRESH_AGE_MAX: Duration = Duration::from_millis(1_100);

/// A node whose data are older than this calls the store itself. This is above the age that data reach
/// while all sources work, and leaves time for a call before requests wait for a confirmation
/// (`DecisionGate::age_max`).
const STORE_FALLBACK_AGE: Duration = Duration::from_millis(1_200);

/// The fallback of a node begins up to this much later, so that hundreds of nodes with one source do
/// not all call the store when it fails.
const STORE_FALLBACK_SPREAD_MS: u64 = 200;

/// While other nodes fail too, data older than this show an outage of the store.
const OUTAGE_AGE: Duration = Duration::from_millis(1_600);

/// Replaces `STORE_FALLBACK_AGE` on a node whose calls to other nodes failed: none of them will
/// relay a change in time.
const STORE_FALLBACK_AGE_WITHOUT_PEERS: Duration = Duration::from_millis(400);

/// A relay that cannot use the leader tries the store for this long before it calls other nodes.
const RELAY_STORE_TRY_PERIOD: Duration = Duration::from_millis(150);

/// A node with stale data is not called again for this long. It may get changes from others
/// meanwhile.
const STALE_PEER_BACKOFF: Duration = Duration::from_millis(600);

/// A node that did not answer is not called again for this long.
const UNRESPONSIVE_PEER_BACKOFF: Duration = Duration::from_millis(3_000);

/// Consecutive failures of other nodes after which a node relies on none of them.
const PEER_FAILURES_MAX: u32 = 2;

/// Concurrent calls of a node whose designated source fails. While the store rejects most nodes,
/// few of them have fresh data, and calling one after the other takes longer than a change may.
const PARALLEL_CALLS_MAX: usize = 3;

/// Consecutive failures of other nodes after which they are called one at a time: the store is
/// unreachable for all of them.
const PEER_FAILURES_SITE_WIDE: u32 = 30;

/// A node answers a call without changes once its data are younger than the caller's by this much.
/// Smaller differences would cost answers and not help the caller.
const CONFIRMATION_GAIN_MIN: Duration = Duration::from_millis(200);

/// Hash key of the rendezvous hash by which the nodes of a zone agree on their relay.
const RELAY_HASH_KEY: &[u8] = b"relay";

/// Nodes of a zone that try to become the leader as soon as the current leader is unresponsive.
const CANDIDATES_BY_ZONE: usize = 2;

/// Nodes of a zone that relay the store's changes to the others.
const RELAYS_BY_ZONE: usize = 1;

/// Selects where a node gets the changes of the store.
///
/// Each call to the store has a cost, and a change wakes every node that waits for it there. So
/// only the leader follows the store. Each zone has a relay: one node that waits for changes at the
/// leader, while the other nodes of the zone wait at the relay. The leader is the designated source
/// of a relay, and the relay that of the other nodes.
///
/// A relay follows the store itself while it cannot use the leader. A node whose designated source
/// fails calls several other nodes, and falls back to the store when its data are too old
/// nevertheless. Only the node that failed is avoided, not the next leader or relay.
#[derive(Debug)]
pub struct ChangeSource {
    own: NodeAddress,
    seeds: Vec<SocketAddr>,
    nodes: Vec<NodeAddress>,
    /// Age of the data from which on this node calls the store itself.
    fallback_age: Duration,
    /// This node knows all changes up to this instant.
    synced_to: Instant,
    /// Since when this node has heard of a row that it lacks, if it does.
    behind_since: Option<Instant>,
    /// The store itself confirmed this node's data up to this instant.
    store_synced_to: Instant,
    /// Whether the last call of this node to the store was answered.
    store_answers: bool,
    /// The instant up to which changes of designated origin were relayed to this node.
    designated_synced_to: Instant,
    /// Whether the changes that the provider relayed were of designated origin.
    provider_has_designated_origin: bool,
    /// Consecutive failures of other nodes.
    peer_failures: u32,
    /// Nodes that failed, and until when they are not called.
    avoided: SortedVec<SocketAddr, Instant>,
    /// The node that relayed changes last, unless it failed since.
    provider: Option<SocketAddr>,
    /// When the first of the consecutive failures occurred.
    failing_since: Instant,
    /// Whether any node has relayed changes yet. While a site starts none can, and not every node
    /// may call the store.
    had_provider: bool,
}

impl ChangeSource {
    /// Creates the selection of a node that knows all changes up to `synced_to`.
    pub fn new(own: NodeAddress, seeds: Vec<SocketAddr>, synced_to: Instant) -> Self {
        let hash = KeyHash::of(own.node.as_str().as_bytes()).get();
        let spread_ms = hash % STORE_FALLBACK_SPREAD_MS;
        Self {
            own,
            seeds,
            fallback_age: STORE_FALLBACK_AGE + Duration::from_millis(spread_ms),
            nodes: Vec::new(),
            synced_to,
            behind_since: None,
            store_synced_to: synced_to,
            store_answers: false,
            designated_synced_to: Instant::default(),
            provider_has_designated_origin: false,
            peer_failures: 0,
            avoided: SortedVec::new(),
            provider: None,
            failing_since: Instant::default(),
            had_provider: false,
        }
    }

    /// Replaces the list of the site's nodes.
    pub fn set_nodes(&mut self, nodes: Vec<NodeAddress>) {
        self.nodes = nodes;
    }

    /// Returns the number of known nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the zone of a node; `None` if the node is unknown.
    pub(crate) fn zone_of(&self, peer: SocketAddr) -> Option<&ZoneId> {
        self.nodes.iter().find(|node| node.address == peer).map(|node| &node.zone)
    }

    /// Returns the age of this node's copy of the store. It can't be current since this node heard of
    /// a row that it lacks.
    pub fn age(&self, now: Instant) -> Duration {
        let complete_to = self.behind_since.map_or(self.synced_to, |at| at.min(self.synced_to));
        now.saturating_since(complete_to)
    }

    /// Sets since when this node has heard of a row that it lacks; `None` if it lacks none.
    pub(crate) fn set_behind(&mut self, since: Option<Instant>) {
        self.behind_since = since;
    }

    /// Returns whether there are other nodes that this one could call.
    pub(crate) fn has_other_nodes(&self) -> bool {
        let nodes = self.nodes.iter().map(|node| node.address);
        let mut others = nodes.chain(self.seeds.iter().copied());
        others.any(|address| address != self.own.address)
    }

    /// Returns whether so many calls of other nodes have failed that this node relies on none of them.
    pub(crate) fn peers_fail(&self) -> bool {
        self.peer_failures >= PEER_FAILURES_MAX
    }

    /// Returns the number of consecutive failures of other nodes.
    pub fn peer_failures(&self) -> u32 {
        self.peer_failures
    }

    /// Returns whether this node's copy of the store is young enough to be relayed.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now) < FRESH_AGE_MAX
    }

    /// Returns whether this node tries to become the leader as soon as the current one is
    /// unresponsive.
    pub fn is_candidate(&self) -> bool {
        self.is_among_strongest(CANDIDATES_BY_ZONE)
    }

    /// Returns whether this node relays the store's changes to its zone.
    pub fn is_relay(&self) -> bool {
        self.is_among_strongest(RELAYS_BY_ZONE)
    }

    /// Returns whether this node can relay the store's changes. A node whose own source fails
    /// reports this at once, before its data are old. A leader relays only what it read itself:
    /// other data come from a relay that follows the store in its place, and the relays would wait
    /// for each other.
    pub fn can_relay(&self, now: Instant, leader: LeaderView) -> bool {
        let source_works = match self.synced_to == self.store_synced_to {
            true => self.store_answers,
            false => !leader.is_self && !self.peers_fail(),
        };
        self.is_fresh(now) && source_works
    }

    /// Returns whether the data of this node are younger than those of a caller by
    /// `CONFIRMATION_GAIN_MIN` or more. Its call is then answered without waiting for a change.
    /// `caller_age` is the age of the caller's data now.
    pub fn confirms_newer(&self, now: Instant, caller_age: Duration) -> bool {
        caller_age >= self.age(now).saturating_add(CONFIRMATION_GAIN_MIN)
    }

    /// Returns whether this node must follow the store itself.
    pub fn follows_store(&self, now: Instant, leader: LeaderView) -> bool {
        let leader_fails = match leader.address {
            Some(address) => self.had_provider && self.is_avoided(now, address),
            None => true,
        };
        let without_leader = leader_fails || !self.is_fresh(now);
        let peers_fail = self.had_provider
            && self.peers_fail()
            && self.age(now) > STORE_FALLBACK_AGE_WITHOUT_PEERS;
        let starts = leader.is_self
            || (self.is_relay() && without_leader)
            || peers_fail
            || self.is_cut_off(now);
        starts || self.keeps_following(now)
    }

    /// Returns whether this node continues to follow the store because others may rely on it:
    /// without the leader and the relays, two nodes that wait for each other would both stop.
    fn keeps_following(&self, now: Instant) -> bool {
        let store_is_current = self.store_answers && now < self.store_synced_to + FRESH_AGE_MAX;
        let others_rely = now > self.designated_synced_to + FRESH_AGE_MAX;
        store_is_current && others_rely && self.is_known_to_others()
    }

    /// Returns whether other nodes may call this node. After all processes have restarted, there is
    /// no list of nodes until a leader is elected. Others call only the seeds then.
    fn is_known_to_others(&self) -> bool {
        !self.nodes.is_empty() || self.is_relay()
    }

    /// Returns whether this node's data are of designated origin: whether the leader, or a relay in
    /// its place, read them from the store.
    pub fn has_designated_origin(&self, leader: LeaderView) -> bool {
        match self.synced_to == self.store_synced_to {
            true => leader.is_self || self.is_relay(),
            false => self.provider_has_designated_origin,
        }
    }

    /// Returns whether neither the store nor another node has confirmed this node's data for so
    /// long that it must call the store itself.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.age(now) > self.fallback_age
    }

    /// Returns whether the store was unreachable for all nodes that this one called. A process that
    /// only stood still itself has old data, but no failures of other nodes.
    pub fn shows_outage(&self, now: Instant) -> bool {
        self.age(now) > OUTAGE_AGE && self.peers_fail()
    }

    /// Returns the nodes to call for changes in addition to `pending`, the calls in flight: the
    /// designated source, or several others if it fails and the store does not answer either.
    pub fn peers_to_call<R: Rng>(
        &self,
        now: Instant,
        leader: LeaderView,
        pending: &[SocketAddr],
        random: &mut R,
    ) -> Vec<SocketAddr> {
        let tries_store = self.is_relay() && now < self.failing_since + RELAY_STORE_TRY_PERIOD;
        let uses_store = now.saturating_since(self.store_synced_to) < FRESH_AGE_MAX || tries_store;
        let designated = self
            .designated_source(leader)
            .filter(|designated| !leader.is_self && !self.is_avoided(now, *designated));
        let provider = self.provider.filter(|provider| !self.is_avoided(now, *provider));
        match (designated, provider) {
            (Some(designated), _) => vec![designated],
            (None, _) if uses_store && self.is_known_to_others() => Vec::new(),
            (None, Some(provider)) => vec![provider],
            (None, None) => self.alternative_peers(now, pending, random),
        }
        .into_iter()
        .filter(|peer| !pending.contains(peer))
        .collect()
    }

    /// Records that the store confirmed this node's data up to an instant; returns whether that makes
    /// the data younger.
    pub fn record_store_answer(&mut self, up_to: Instant) -> bool {
        if up_to > self.store_synced_to {
            self.store_synced_to = up_to;
            self.store_answers = true;
        }
        let is_newer = up_to > self.synced_to;
        self.synced_to = self.synced_to.max(up_to);
        is_newer
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.store_answers = false;
    }

    /// Records that another node relayed all changes up to an instant.
    pub fn record_relayed(&mut self, peer: SocketAddr, up_to: Instant, designated_origin: bool) {
        self.synced_to = self.synced_to.max(up_to);
        if designated_origin {
            self.designated_synced_to = self.designated_synced_to.max(up_to);
        }
        self.peer_failures = 0;
        self.had_provider = true;
        self.provider = Some(peer);
        self.provider_has_designated_origin = designated_origin;
        self.avoided.remove(&peer);
    }

    /// Records that another node failed to relay changes, and avoids it for a while.
    pub fn record_peer_failure(&mut self, now: Instant, peer: SocketAddr, failure: PeerFailure) {
        let backoff = match failure {
            PeerFailure::Unresponsive => UNRESPONSIVE_PEER_BACKOFF,
            PeerFailure::Stale => STALE_PEER_BACKOFF,
        };
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer, now + backoff);
        self.provider = self.provider.filter(|provider| *provider != peer);
        if self.peer_failures == 0 {
            self.failing_since = now;
        }
        self.peer_failures += 1;
    }

    /// Returns the node at which this node waits for changes while that works: the leader for a
    /// relay, the relay of the zone for the others.
    fn designated_source(&self, leader: LeaderView) -> Option<SocketAddr> {
        let zone = self.nodes.iter().filter(|node| node.zone == self.own.zone);
        match self.is_relay() {
            true => leader.address,
            false => zone.max_by_key(|node| relay_priority(node)).map(|node| node.address),
        }
    }

    fn is_avoided(&self, now: Instant, peer: SocketAddr) -> bool {
        self.avoided.get(&peer).is_some_and(|until| now < *until)
    }

    /// Returns some other nodes: those that are not avoided come first, and among these the relays
    /// of other zones.
    fn alternative_peers<R: Rng>(
        &self,
        now: Instant,
        pending: &[SocketAddr],
        random: &mut R,
    ) -> Vec<SocketAddr> {
        let mut relays: SortedVec<&ZoneId, &NodeAddress> = SortedVec::new();
        for node in self.nodes.iter().filter(|node| node.zone != self.own.zone) {
            let relay = relays.get_or_insert_with(&node.zone, || node);
            *relay = max_by_key(*relay, node, |node| relay_priority(node));
        }
        let mut relays: Vec<SocketAddr> = relays.values().map(|node| node.address).collect();
        let mut rest: Vec<SocketAddr> =
            self.nodes.iter().map(|node| node.address).chain(self.seeds.clone()).collect();
        relays.shuffle(random);
        rest.shuffle(random);
        let calls_max =
            if self.peer_failures < PEER_FAILURES_SITE_WIDE { PARALLEL_CALLS_MAX } else { 1 };
        let mut chosen: Vec<SocketAddr> = Vec::new();
        for other in relays.into_iter().chain(rest) {
            if other != self.own.address && !pending.contains(&other) && !chosen.contains(&other) {
                chosen.push(other);
            }
        }
        // If all are avoided, the node whose backoff ends first may have fresh data by now.
        let avoided_until = |other: &SocketAddr| self.avoided.get(other).copied();
        chosen.sort_by_key(|other| avoided_until(other).filter(|until| now < *until));
        chosen.truncate(calls_max.saturating_sub(pending.len()));
        chosen
    }

    /// Returns whether this node is among the `count` strongest of its zone. While no nodes are
    /// known the seeds count as the strongest.
    fn is_among_strongest(&self, count: usize) -> bool {
        let own = &self.own;
        let is_other = |node: &&NodeAddress| node.zone == own.zone && node.node != own.node;
        let stronger = |node: &&NodeAddress| relay_priority(node) > relay_priority(own);
        match self.nodes.is_empty() {
            true => self.seeds.is_empty() || self.seeds.contains(&own.address),
            false => self.nodes.iter().filter(is_other).filter(stronger).count() < count,
        }
    }
}

/// Orders the nodes of a zone by their capacity, then by hash.
fn relay_priority(node: &NodeAddress) -> (u32, u64) {
    let item = KeyHash::of(RELAY_HASH_KEY).get();
    (node.capacity, rendezvous_score(item, node.node.as_str()))
}
