//! Where a node learns of changes in the store: from the store itself or from another node.

use std::cmp::max_by_key;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, KeyHash, SortedVec, ZoneId, rendezvous_score};

use crate::{Lead, NodeAddress};

/// Age up to which a node passes on what it knows of the store. The leader hears of the store every
/// 0.6 s at most, and a relay of the leader every 0.4 s.
const FRESH_AGE_MAX: Duration = Duration::from_millis(1_100);

/// Age from which on a node asks the store itself. It hears of what its relay knows every 0.4 s, and a
/// change must be in force within two seconds.
const STORE_TURN_AGE: Duration = Duration::from_millis(1_600);

/// Time for which a node that did not help is passed over. It may learn from others meanwhile.
const AVOIDED: Duration = Duration::from_millis(3_000);

/// Nodes in a row that did not help, after which any node is asked: it may follow the store itself.
const HELPLESS_MAX: u32 = 2;

/// Item by which the nodes of a zone agree on their relay.
const RELAY_ITEM: &[u8] = b"relay";

/// Nodes of a zone that may become the leader as soon as the present one is silent.
const CANDIDATES_BY_ZONE: usize = 2;

/// Nodes of a zone that follow the store for the others.
const RELAYS_BY_ZONE: usize = 1;

/// Where a node learns of changes in the store.
///
/// Every call to the store costs, and a change wakes every node that waits for it there. So only the
/// leader follows the store; one node of each zone, its relay, waits at the leader, and the others
/// wait at their relay. A relay that does not hear of the leader turns to the store. A node whose
/// relay does not help waits at the relay of another zone, and turns to the store when what it knows
/// is too old all the same.
#[derive(Debug)]
pub struct ChangeSource {
    own: NodeAddress,
    seeds: Vec<SocketAddr>,
    nodes: Vec<NodeAddress>,
    /// Up to when this node knows what was written to the store.
    heard: Instant,
    /// The same, as far as the store itself answered.
    store_heard: Instant,
    /// Nodes in a row that did not help.
    helpless: u32,
    /// The node at which this one waits is passed over until here.
    avoided_until: Instant,
}

impl ChangeSource {
    /// Creates the choice of a node that heard of the store at an instant.
    pub fn new(own: NodeAddress, seeds: Vec<SocketAddr>, heard: Instant) -> Self {
        Self {
            own,
            seeds,
            nodes: Vec::new(),
            heard,
            store_heard: heard,
            helpless: 0,
            avoided_until: Instant::default(),
        }
    }

    /// Takes the nodes of the site.
    pub fn set_nodes(&mut self, nodes: Vec<NodeAddress>) {
        self.nodes = nodes;
    }

    /// Returns the number of known nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Returns how old what this node knows of the store is.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_since(self.heard)
    }

    /// Returns how many nodes in a row did not help.
    pub fn helpless(&self) -> u32 {
        self.helpless
    }

    /// Returns whether this node knows what was written to the store just now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now) < FRESH_AGE_MAX
    }

    /// Returns whether this node is to become the leader as soon as the present one is silent.
    pub fn is_candidate(&self) -> bool {
        self.is_among_first(CANDIDATES_BY_ZONE)
    }

    /// Returns whether this node passes the store's changes on to its zone.
    pub fn is_relay(&self) -> bool {
        self.is_among_first(RELAYS_BY_ZONE)
    }

    /// Returns whether this node is to follow the store itself.
    pub fn follows_store(&self, now: Instant, lead: Lead) -> bool {
        let alone = lead.address.is_none() || !self.is_fresh(now);
        lead.own || (self.is_relay() && alone) || self.is_cut_off(now)
    }

    /// Returns whether neither the store nor another node was heard of for long.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.age(now) > STORE_TURN_AGE
    }

    /// Returns the node at which this one waits for changes; none if it has the store itself.
    pub fn peer<R: Rng>(&self, now: Instant, lead: Lead, random: &mut R) -> Option<SocketAddr> {
        let has_store = now.saturating_since(self.store_heard) < FRESH_AGE_MAX;
        let zone = self.nodes.iter().filter(|node| node.zone == self.own.zone);
        let relay = zone.max_by_key(|node| order(node)).map(|node| node.address);
        let first = match self.is_relay() {
            true => lead.address,
            false => relay,
        };
        match first {
            Some(first) if !lead.own && now >= self.avoided_until => Some(first),
            _ if has_store => None,
            _ => self.other(random),
        }
    }

    /// Takes word of the store itself up to an instant.
    pub fn note_heard(&mut self, up_to: Instant) {
        self.store_heard = self.store_heard.max(up_to);
        self.heard = self.heard.max(up_to);
    }

    /// Takes word of the store up to an instant that another node passed on.
    pub fn note_relayed(&mut self, up_to: Instant) {
        self.heard = self.heard.max(up_to);
        self.helpless = 0;
    }

    /// Takes that the node at which this one waited is silent or lacks the store.
    pub fn note_helpless(&mut self, now: Instant) {
        self.avoided_until = now + AVOIDED;
        self.helpless += 1;
    }

    /// Returns the relay of another zone; if that did not help, any other node.
    fn other<R: Rng>(&self, random: &mut R) -> Option<SocketAddr> {
        let mut relays: SortedVec<&ZoneId, &NodeAddress> = SortedVec::new();
        for node in self.nodes.iter().filter(|node| node.zone != self.own.zone) {
            let known = relays.get_or_insert_with(&node.zone, || node);
            *known = max_by_key(*known, node, |node| order(node));
        }
        let mut others: Vec<SocketAddr> = match self.helpless < HELPLESS_MAX {
            true if !relays.is_empty() => relays.values().map(|node| node.address).collect(),
            _ => self.nodes.iter().map(|node| node.address).chain(self.seeds.clone()).collect(),
        };
        others.retain(|other| *other != self.own.address);
        (!others.is_empty()).then(|| others[random.random_range(0..others.len())])
    }

    /// Returns whether this node is among the strongest of its zone. While no nodes are known the
    /// seeds count as such.
    fn is_among_first(&self, count: usize) -> bool {
        let own = &self.own;
        let is_other = |node: &&NodeAddress| node.zone == own.zone && node.node != own.node;
        let stronger = |node: &&NodeAddress| order(node) > order(own);
        match self.nodes.is_empty() {
            true => self.seeds.is_empty() || self.seeds.contains(&own.address),
            false => self.nodes.iter().filter(is_other).filter(stronger).count() < count,
        }
    }
}

/// Orders the nodes of a zone by what they can do for the others, then by hash.
fn order(node: &NodeAddress) -> (u32, u64) {
    let item = KeyHash::of(RELAY_ITEM).get();
    (node.capacity, rendezvous_score(item, node.node.as_str()))
}
