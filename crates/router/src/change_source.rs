//! Where a node learns of changes in the store: from the store itself or from another node.

use std::cmp::max_by_key;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use wagtailmoor_core::{Instant, KeyHash, SortedVec, ZoneId, rendezvous_score};

use crate::{Helpless, Lead, NodeAddress};

/// Age up to which a node passes on what it knows of the store. The leader hears of the store every
/// 0.6 s at most, and a relay of the leader every 0.4 s.
const FRESH_AGE_MAX: Duration = Duration::from_millis(1_100);

/// Age from which on a node asks the store itself. It hears of what its relay knows every 0.4 s, and a
/// change must be in force within two seconds.
const STORE_TURN_AGE: Duration = Duration::from_millis(1_600);

/// The same on a node that asked others in vain; none of them will pass a change on in time.
const HELPLESS_TURN_AGE: Duration = Duration::from_millis(400);

/// Time for which a relay whose leader does not help tries the store before it asks other nodes.
const STORE_TRY: Duration = Duration::from_millis(150);

/// Time for which a node that lacks the store is passed over. It may learn from others meanwhile.
const LACKS_STORE_AVOIDED: Duration = Duration::from_millis(600);

/// Time for which a silent node is passed over.
const SILENT_AVOIDED: Duration = Duration::from_millis(3_000);

/// Nodes in a row that did not help, after which a node counts on none of them.
const HELPLESS_MAX: u32 = 2;

/// Nodes asked at a time by one whose usual source does not help. While the store turns most nodes
/// away, few of them know more, and asking one after the other takes longer than a change may.
const ASKED_MAX: usize = 3;

/// Nodes in a row that did not help, after which the others are asked one at a time: the store is
/// away for all of them.
const HELPLESS_ALL: u32 = 30;

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
/// wait at their relay. A relay follows the store itself as long as the leader does not help. A node
/// whose relay does not help asks several others, and turns to the store when what it knows is too
/// old all the same. Only the node that did not help is passed over, not the next one in its place.
#[derive(Debug)]
pub struct ChangeSource {
    own: NodeAddress,
    seeds: Vec<SocketAddr>,
    nodes: Vec<NodeAddress>,
    /// Up to when this node knows what was written to the store.
    heard: Instant,
    /// The same, as far as the store itself answered.
    store_heard: Instant,
    /// Whether the store answered the last call of this node.
    store_answers: bool,
    /// Up to when a node passed on what is known of the leader, or of a relay in its place.
    steady_heard: Instant,
    /// Whether the node that helped last is such a source.
    helper_is_steady: bool,
    /// Nodes in a row that did not help.
    helpless: u32,
    /// Nodes that are passed over, and until when.
    avoided: SortedVec<SocketAddr, Instant>,
    /// The node that helped last.
    helper: Option<SocketAddr>,
    /// When a node last failed to help after one that did.
    alone_since: Instant,
    /// Whether any node helped yet. While a site starts none can, and the store is not asked by all.
    was_helped: bool,
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
            store_answers: false,
            steady_heard: Instant::default(),
            helper_is_steady: false,
            helpless: 0,
            avoided: SortedVec::new(),
            helper: None,
            alone_since: Instant::default(),
            was_helped: false,
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

    /// Returns whether this node can pass on what is written to the store. One whose own source does
    /// not help says so at once, before what it knows is old.
    pub fn passes_on(&self, now: Instant) -> bool {
        let source_helps = match self.heard == self.store_heard {
            true => self.store_answers,
            false => self.helpless < HELPLESS_MAX,
        };
        self.is_fresh(now) && source_helps
    }

    /// Returns whether this node is to follow the store itself.
    pub fn follows_store(&self, now: Instant, lead: Lead) -> bool {
        let leader_fails = match lead.address {
            Some(leader) => self.was_helped && self.is_avoided(now, leader),
            None => true,
        };
        let alone = leader_fails || !self.is_fresh(now);
        let in_vain =
            self.was_helped && self.helpless >= HELPLESS_MAX && self.age(now) > HELPLESS_TURN_AGE;
        let starts = lead.own || (self.is_relay() && alone) || in_vain || self.is_cut_off(now);
        starts || self.stands_in(now)
    }

    /// Returns whether this node goes on following the store because others may rely on it: without
    /// the leader and the relays, two nodes that wait at each other would both stop.
    fn stands_in(&self, now: Instant) -> bool {
        let hears_store = self.store_answers && now < self.store_heard + FRESH_AGE_MAX;
        hears_store && now > self.steady_heard + FRESH_AGE_MAX
    }

    /// Returns whether what this node knows comes from the leader, or from a relay in its place.
    pub fn is_steady(&self, lead: Lead) -> bool {
        match self.heard == self.store_heard {
            true => lead.own || self.is_relay(),
            false => self.helper_is_steady,
        }
    }

    /// Returns whether neither the store nor another node was heard of for long.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.age(now) > STORE_TURN_AGE
    }

    /// Returns the nodes to ask for changes beside those that are being asked: the usual source, or
    /// several others if it does not help and this node does not hear from the store either.
    pub fn peers<R: Rng>(
        &self,
        now: Instant,
        lead: Lead,
        asked: &[SocketAddr],
        random: &mut R,
    ) -> Vec<SocketAddr> {
        let tries_store = self.is_relay() && now < self.alone_since + STORE_TRY;
        let has_store = now.saturating_since(self.store_heard) < FRESH_AGE_MAX || tries_store;
        let usual = self.usual(lead).filter(|usual| !lead.own && !self.is_avoided(now, *usual));
        let helper = self.helper.filter(|helper| !self.is_avoided(now, *helper));
        match (usual, helper) {
            (Some(usual), _) => vec![usual],
            (None, _) if has_store => Vec::new(),
            (None, Some(helper)) => vec![helper],
            (None, None) => self.others(now, asked, random),
        }
        .into_iter()
        .filter(|peer| !asked.contains(peer))
        .collect()
    }

    /// Takes word of the store itself up to an instant.
    pub fn note_heard(&mut self, up_to: Instant) {
        if up_to > self.store_heard {
            self.store_heard = up_to;
            self.store_answers = true;
        }
        self.heard = self.heard.max(up_to);
    }

    /// Takes that a call to the store failed.
    pub fn note_store_failed(&mut self) {
        self.store_answers = false;
    }

    /// Takes word of the store up to an instant that another node passed on.
    pub fn note_relayed(&mut self, peer: SocketAddr, up_to: Instant, steady: bool) {
        self.heard = self.heard.max(up_to);
        if steady {
            self.steady_heard = self.steady_heard.max(up_to);
        }
        self.helpless = 0;
        self.was_helped = true;
        self.helper = Some(peer);
        self.helper_is_steady = steady;
        self.avoided.remove(&peer);
    }

    /// Takes that a node did not help.
    pub fn note_helpless(&mut self, now: Instant, peer: SocketAddr, cause: Helpless) {
        let span = match cause {
            Helpless::Silent => SILENT_AVOIDED,
            Helpless::LacksStore => LACKS_STORE_AVOIDED,
        };
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer, now + span);
        self.helper = self.helper.filter(|helper| *helper != peer);
        if self.helpless == 0 {
            self.alone_since = now;
        }
        self.helpless += 1;
    }

    /// Returns the node at which this one waits as long as that helps: a relay at the leader, the
    /// others at their relay.
    fn usual(&self, lead: Lead) -> Option<SocketAddr> {
        let zone = self.nodes.iter().filter(|node| node.zone == self.own.zone);
        match self.is_relay() {
            true => lead.address,
            false => zone.max_by_key(|node| order(node)).map(|node| node.address),
        }
    }

    fn is_avoided(&self, now: Instant, peer: SocketAddr) -> bool {
        self.avoided.get(&peer).is_some_and(|until| now < *until)
    }

    /// Returns some other nodes: those that are not passed over first, and of these the relays of
    /// other zones.
    fn others<R: Rng>(
        &self,
        now: Instant,
        asked: &[SocketAddr],
        random: &mut R,
    ) -> Vec<SocketAddr> {
        let mut relays: SortedVec<&ZoneId, &NodeAddress> = SortedVec::new();
        for node in self.nodes.iter().filter(|node| node.zone != self.own.zone) {
            let known = relays.get_or_insert_with(&node.zone, || node);
            *known = max_by_key(*known, node, |node| order(node));
        }
        let mut relays: Vec<SocketAddr> = relays.values().map(|node| node.address).collect();
        let mut rest: Vec<SocketAddr> =
            self.nodes.iter().map(|node| node.address).chain(self.seeds.clone()).collect();
        relays.shuffle(random);
        rest.shuffle(random);
        let at_once = if self.helpless < HELPLESS_ALL { ASKED_MAX } else { 1 };
        let mut chosen: Vec<SocketAddr> = Vec::new();
        for other in relays.into_iter().chain(rest) {
            if other != self.own.address && !asked.contains(&other) && !chosen.contains(&other) {
                chosen.push(other);
            }
        }
        // Where all are passed over, the one for which that ends first may know more by now.
        let known_helpless = |other: &SocketAddr| self.avoided.get(other).copied();
        chosen.sort_by_key(|other| known_helpless(other).filter(|until| now < *until));
        chosen.truncate(at_once.saturating_sub(asked.len()));
        chosen
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
