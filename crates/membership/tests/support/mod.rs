//! Deterministic simulation of nodes that exchange digests over a network, with a simulated clock.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{ConfigVersion, Incarnation, Instant, NodeId, RackId, SortedVec, ZoneId};
use wagtailmoor_membership::{
    Digest, HostListEntry, Liveness, Losses, MemberRecord, Membership, RecordState, SeedAddress,
    Versions,
};

pub(crate) const SIZES: [usize; 4] = [12, 100, 400, 800];
pub(crate) const SECOND_US: u64 = 1_000_000;
const STEP_US: u64 = 10_000;
const CALL_TIMEOUT_US: u64 = 200_000;

pub(crate) struct Node {
    pub(crate) id: NodeId,
    /// `None` while the process is down.
    pub(crate) view: Option<Membership>,
    pub(crate) version: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) paused_until_us: u64,
    starts: u64,
    started_us: u64,
}

enum Event {
    Request { from: usize, to: usize, call: u64, digest: Digest },
    Reply { from: usize, to: usize, call: u64, digest: Digest },
    Timeout { from: usize, to: usize, call: u64 },
}

pub(crate) struct World {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now_us: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) loss_percent: u32,
    pub(crate) late_percent: u32,
    pub(crate) largest_digest: usize,
    zones: usize,
    listings: Vec<HostListEntry>,
    routes: SortedVec<ZoneId, u64>,
    events: BTreeMap<(u64, u64), Event>,
    calls: BTreeMap<u64, u64>,
    sequence: u64,
    cuts: Vec<(usize, usize)>,
}

impl World {
    pub(crate) fn new(seed: u64, size: usize) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            now_us: 100 * SECOND_US,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            late_percent: 0,
            largest_digest: 0,
            zones: if size <= 12 { 3 } else { 8 },
            listings: Vec::new(),
            routes: SortedVec::new(),
            events: BTreeMap::new(),
            calls: BTreeMap::new(),
            sequence: 0,
            cuts: Vec::new(),
        };
        for index in 0..size {
            let id = format!("entry-{index:04}").parse().expect("id");
            world.nodes.push(Node {
                id,
                view: None,
                version: 0,
                messages: 0,
                bytes: 0,
                paused_until_us: 0,
                starts: 0,
                started_us: 0,
            });
        }
        world.routes = (0..8).map(|zone| (world.zone_id(zone), 1)).collect();
        let listing = |index: usize| HostListEntry {
            node: world.nodes[index].id.clone(),
            address: Self::address(index),
            zone: world.zone_id(world.zone_of(index)),
            rack: world.rack_id(index),
        };
        world.listings = (0..size).map(listing).collect();
        (0..size).for_each(|index| world.start(index));
        world
    }

    fn address(index: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], u16::try_from(10_000 + index).expect("port")))
    }

    pub(crate) fn zone_of(&self, index: usize) -> usize {
        index % self.zones
    }

    fn zone_id(&self, zone: usize) -> ZoneId {
        format!("region-0-zone-{zone}").parse().expect("id")
    }

    fn rack_id(&self, index: usize) -> RackId {
        format!("rack-{}", index / self.zones % 4).parse().expect("id")
    }

    /// Starts a process without state, with three seed addresses and the host list.
    pub(crate) fn start(&mut self, index: usize) {
        let seed = self.rng.random_range(0..u64::MAX);
        let (zone, rack) = (self.zone_id(self.zone_of(index)), self.rack_id(index));
        let node = &mut self.nodes[index];
        node.starts += 1;
        (node.started_us, node.paused_until_us, node.version) = (self.now_us, 0, 0);
        let own = MemberRecord {
            node: node.id.clone(),
            address: Self::address(index),
            zone,
            rack,
            incarnation: Incarnation::new(node.starts),
            state: RecordState::Reachable,
            age_ms: 0,
        };
        let contact = |index| SeedAddress { address: Self::address(index) };
        let mut view =
            Membership::new(own, (0..3).map(contact).collect(), seed, Instant::default());
        view.on_hosts(self.listings.clone());
        self.nodes[index].view = Some(view);
        self.publish(index);
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.nodes[index].view = None;
    }

    /// Makes a node apply a version, as the caller does after it has pulled the changes.
    pub(crate) fn set_version(&mut self, index: usize, version: u64) {
        self.nodes[index].version = version;
        self.publish(index);
    }

    fn publish(&mut self, index: usize) {
        let versions = Versions {
            config: ConfigVersion::new(self.nodes[index].version),
            freshness_age_ms: Some(10),
            routes: self.routes.clone(),
            losses: Losses::new(vec![0; 64]).expect("small"),
        };
        let now = self.clock(index);
        if let Some(view) = self.nodes[index].view.as_mut() {
            view.on_versions(now, versions);
        }
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        (self.loss_percent, self.late_percent) = (0, 0);
    }

    pub(crate) fn clock(&self, index: usize) -> Instant {
        Instant::default() + Duration::from_micros(self.now_us - self.nodes[index].started_us)
    }

    /// Returns the liveness of `other` in the view of node `index`, or `None` if it is not running
    /// or does not know `other`.
    pub(crate) fn liveness_seen_by(&self, index: usize, other: usize) -> Option<Liveness> {
        let now = self.clock(index);
        self.nodes[index].view.as_ref().and_then(|view| view.liveness(now, &self.nodes[other].id))
    }

    /// Counts the ordered pairs of running nodes in which the first has this liveness for the
    /// second.
    pub(crate) fn count(&self, liveness: Option<Liveness>) -> usize {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].view.is_some()).collect();
        let pairs =
            running.iter().flat_map(|&left| running.iter().map(move |&right| (left, right)));
        pairs
            .filter(|(left, right)| {
                left != right && self.liveness_seen_by(*left, *right) == liveness
            })
            .count()
    }

    /// Runs until a condition holds and returns the time taken.
    pub(crate) fn run_until(
        &mut self,
        bound_us: u64,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        let start_us = self.now_us;
        while self.now_us < start_us + bound_us {
            self.step();
            if condition(self) {
                return Some(self.now_us - start_us);
            }
        }
        None
    }

    pub(crate) fn run_for(&mut self, us: u64) {
        self.run_until(us, |_| false);
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        let now_us = self.now_us;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= now_us) {
            let event = entry.remove();
            self.deliver(event);
        }
        for from in 0..self.nodes.len() {
            let now = self.clock(from);
            if now_us < self.nodes[from].paused_until_us {
                continue;
            }
            let exchange = self.nodes[from].view.as_mut().and_then(|view| view.tick(now));
            if let Some(exchange) = exchange {
                let to = usize::from(exchange.address.port()) - 10_000;
                self.sequence += 1;
                let call = self.sequence;
                self.calls.insert(call, self.nodes[from].starts);
                self.events
                    .insert((now_us + CALL_TIMEOUT_US, call), Event::Timeout { from, to, call });
                let digest = exchange.digest;
                self.send(from, to, &digest.clone(), Event::Request { from, to, call, digest });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, digest: &Digest, event: Event) {
        let size = usize::try_from(digest.size().get()).expect("small");
        self.largest_digest = self.largest_digest.max(size);
        self.nodes[from].messages += 1;
        self.nodes[from].bytes += digest.size().get();
        let is_cut = self.cuts.contains(&(from, to));
        if is_cut || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let is_late = self.rng.random_range(0..100) < self.late_percent;
        let delay_us = if is_late {
            self.rng.random_range(100_000..5_000_000)
        } else {
            self.rng.random_range(500..40_000)
        };
        self.sequence += 1;
        self.events.insert((self.now_us + delay_us, self.sequence), event);
    }

    fn deliver(&mut self, event: Event) {
        let (Event::Request { to: receiver, .. }
        | Event::Reply { to: receiver, .. }
        | Event::Timeout { from: receiver, .. }) = event;
        let paused_until_us = self.nodes[receiver].paused_until_us;
        if self.now_us < paused_until_us {
            self.sequence += 1;
            self.events.insert((paused_until_us, self.sequence), event);
            return;
        }
        let now = self.clock(receiver);
        let node = &mut self.nodes[receiver];
        let Some(view) = node.view.as_mut() else { return };
        match event {
            Event::Request { from, to, call, digest } => {
                let reply = view.on_exchange(now, &digest);
                self.apply_version(to, &digest);
                self.send(
                    to,
                    from,
                    &reply.clone(),
                    Event::Reply { from: to, to: from, call, digest: reply },
                );
            }
            Event::Reply { to, call, digest, .. } => {
                // The caller drops late replies and replies to a previous incarnation.
                if self.calls.remove(&call) == Some(node.starts) {
                    view.on_reply(now, &digest);
                    self.apply_version(to, &digest);
                }
            }
            Event::Timeout { to, call, .. } => {
                if self.calls.remove(&call) == Some(node.starts) {
                    let other = self.nodes[to].id.clone();
                    self.nodes[receiver].view.as_mut().expect("runs").on_failure(now, &other);
                }
            }
        }
    }

    fn apply_version(&mut self, index: usize, digest: &Digest) {
        let version = digest.versions.config.get();
        if version > self.nodes[index].version {
            self.set_version(index, version);
        }
    }
}
