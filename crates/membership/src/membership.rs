//! The membership view of a node.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, RackId, SortedVec, ZoneId};
use wagtailmoor_derive::value;

use crate::member::MemberState;
use crate::rotation::Rotation;
use crate::{Digest, Liveness, MemberRecord, RecordState, Versions};

const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
// Limits the memory used; five times the design scale.
const MAX_MEMBERS: usize = 4_096;
// An unreachable member is dropped after this time. The host list names it again if it returns.
const RETENTION: Duration = Duration::from_secs(600);
// Added to every instant, so that events from before the start of this clock keep distinct times.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
// Every eighth exchange goes to a seed or suspect. Otherwise two sides of a partition would not
// find each other after it heals, since each excludes the suspects of the other side from its
// rotations.
const RECONNECT_TURNS: u64 = 8;
const OTHER_ZONE_TURNS: u64 = 4;

/// The address of a node from the settings, with which a new node makes its first contact.
#[value]
pub struct SeedAddress {
    /// Address for messages between entry processes.
    pub address: SocketAddr,
}

/// A node in the host list.
#[value]
pub struct HostListEntry {
    /// Id of the node.
    pub node: NodeId,
    /// Address for messages between entry processes.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Rack of the node.
    pub rack: RackId,
}

/// A digest to send. The caller passes the reply to [`Membership::on_reply`] and a failure to
/// [`Membership::on_failure`].
#[value]
pub struct Exchange {
    /// The receiver, or `None` if only its address is known.
    pub node: Option<NodeId>,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// The digest.
    pub digest: Digest,
}

/// The other members that a node knows, and the choice of the peer of the next exchange.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    versions: Versions,
    versions_at: Instant,
    seeds: Vec<SeedAddress>,
    members: SortedVec<NodeId, MemberState>,
    own_zone: Rotation,
    other_zones: Rotation,
    records: Rotation,
    next_exchange: Instant,
    turn: u64,
    reconnect_turn: usize,
}

impl Membership {
    /// Creates the view of a node that has just started and knows only its seeds. `seed` makes the
    /// choice of peers reproducible.
    pub fn new(own: MemberRecord, seeds: Vec<SeedAddress>, seed: u64, now: Instant) -> Self {
        let now = now + CLOCK_OFFSET;
        // Spreads out the exchanges of nodes that start at the same time.
        let phase = Duration::from_micros(seed % 500_000);
        Self {
            own: MemberRecord { state: RecordState::Reachable, age_ms: 0, ..own },
            versions: Versions::default(),
            versions_at: now,
            seeds,
            members: SortedVec::new(),
            own_zone: Rotation::new(seed),
            other_zones: Rotation::new(seed.wrapping_add(1)),
            records: Rotation::new(seed.wrapping_add(2)),
            next_exchange: now + phase,
            turn: seed % 1_024,
            reconnect_turn: 0,
        }
    }

    /// Returns the record of this node, as sent in its digests.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Sets the versions to send from now on. Routes beyond [`Versions::MAX_ROUTES`] are dropped.
    pub fn on_versions(&mut self, now: Instant, versions: Versions) {
        self.versions_at = now + CLOCK_OFFSET;
        let routes = versions.routes.into_iter().take(Versions::MAX_ROUTES).collect();
        self.versions = Versions { routes, ..versions };
    }

    /// Adds the live nodes of the host list. Nodes that are already known stay unchanged.
    pub fn on_hosts(&mut self, nodes: Vec<HostListEntry>) {
        for HostListEntry { node, address, zone, rack } in nodes {
            let is_new = node != self.own.node && !self.members.contains_key(&node);
            if is_new && self.members.len() < MAX_MEMBERS {
                // The lowest incarnation, so that any record of the process replaces this one.
                let incarnation = Incarnation::default();
                let state = RecordState::Reachable;
                let record = MemberRecord {
                    node: node.clone(),
                    address,
                    zone,
                    rack,
                    incarnation,
                    state,
                    age_ms: 0,
                };
                self.members.insert(node, MemberState::listed(record));
            }
        }
    }

    /// Announces in the next digests that this node is about to stop.
    pub fn leave(&mut self) {
        self.own.state = RecordState::Leaving;
    }

    /// Returns the exchange to start now, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<Exchange> {
        let now = now + CLOCK_OFFSET;
        if now < self.next_exchange {
            return None;
        }
        // After a pause, missed exchanges are skipped.
        let next = self.next_exchange + EXCHANGE_INTERVAL;
        self.next_exchange = if next > now { next } else { now + EXCHANGE_INTERVAL };
        self.turn = self.turn.wrapping_add(1);
        self.members.retain(|_, member| member.unreachable_for(now) < RETENTION);
        let (node, address) = self.choose(now)?;
        let digest = self.digest(now, node.as_ref(), &[]);
        Some(Exchange { node, address, digest })
    }

    /// Handles the digest of a node that started an exchange and returns the digest to reply with.
    pub fn on_exchange(&mut self, now: Instant, digest: &Digest) -> Digest {
        let now = now + CLOCK_OFFSET;
        self.apply(now, digest);
        self.digest(now, Some(&digest.sender.node), &digest.records)
    }

    /// Handles the reply to an exchange that this node started.
    pub fn on_reply(&mut self, now: Instant, digest: &Digest) {
        self.apply(now + CLOCK_OFFSET, digest);
    }

    /// Handles an exchange to which a node did not reply.
    pub fn on_failure(&mut self, now: Instant, node: &NodeId) {
        if let Some(member) = self.members.get_mut(node) {
            member.on_failure(now + CLOCK_OFFSET);
        }
    }

    /// Iterates over the other members and their liveness.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&MemberRecord, Liveness)> {
        let (now, suspect_after) = (now + CLOCK_OFFSET, self.suspect_after());
        self.members
            .values()
            .map(move |member| (member.record(), member.liveness(now, suspect_after)))
    }

    /// Returns the liveness of a member, or `None` if the node is unknown.
    pub fn liveness(&self, now: Instant, node: &NodeId) -> Option<Liveness> {
        let member = self.members.get(node)?;
        Some(member.liveness(now + CLOCK_OFFSET, self.suspect_after()))
    }

    /// Returns the memory in bytes that the members use, including the ids.
    pub fn state_bytes(&self) -> usize {
        let entries = self.members.iter();
        entries
            .map(|(node, member)| size_of_val(node) + node.as_str().len() + member.state_bytes())
            .sum()
    }

    /// Returns how long a member has to be unreachable before it is suspect:
    /// 5 s + 0.5 s × log2(members).
    pub fn suspect_after(&self) -> Duration {
        let rounds = (self.members.len() + 1).next_power_of_two().ilog2();
        Duration::from_secs(5) + EXCHANGE_INTERVAL * rounds
    }

    fn choose(&mut self, now: Instant) -> Option<(Option<NodeId>, SocketAddr)> {
        let is_reconnect_turn = self.turn.is_multiple_of(RECONNECT_TURNS);
        if is_reconnect_turn && let Some(contact) = self.choose_reconnect_peer(now) {
            return Some(contact);
        }
        let prefers_other_zone = self.turn % OTHER_ZONE_TURNS == 1;
        let node = match prefers_other_zone {
            true => self.choose_member(now, false).or_else(|| self.choose_member(now, true)),
            false => self.choose_member(now, true).or_else(|| self.choose_member(now, false)),
        };
        match node {
            Some(node) => {
                let address = self.members.get(&node)?.record().address;
                Some((Some(node), address))
            }
            None => self.choose_reconnect_peer(now),
        }
    }

    fn choose_member(&mut self, now: Instant, in_own_zone: bool) -> Option<NodeId> {
        let suspect_after = self.suspect_after();
        let Self { members, own, own_zone, other_zones, .. } = self;
        let is_eligible = |node: &NodeId| {
            members.get(node).is_some_and(|member| {
                (member.record().zone == own.zone) == in_own_zone
                    && member.liveness(now, suspect_after) != Liveness::Suspect
            })
        };
        let rotation = if in_own_zone { own_zone } else { other_zones };
        rotation.next(members.keys().filter(|node| is_eligible(node)), is_eligible)
    }

    /// Chooses round-robin among suspects and seed addresses that belong to no known member.
    fn choose_reconnect_peer(&mut self, now: Instant) -> Option<(Option<NodeId>, SocketAddr)> {
        let suspect_after = self.suspect_after();
        let mut known: Vec<SocketAddr> =
            self.members.values().map(|member| member.record().address).collect();
        known.push(self.own.address);
        known.sort_unstable();
        let is_unknown = |address: &SocketAddr| known.binary_search(address).is_err();
        let suspects = self
            .members
            .values()
            .filter(|member| member.liveness(now, suspect_after) == Liveness::Suspect)
            .map(|member| (Some(member.record().node.clone()), member.record().address));
        let addresses = self.seeds.iter().map(|contact| contact.address);
        let unknown = addresses.filter(is_unknown).map(|address| (None, address));
        let peers: Vec<_> = unknown.chain(suspects).collect();
        self.reconnect_turn = self.reconnect_turn.wrapping_add(1);
        match peers.len() {
            0 => None,
            len => peers.into_iter().nth(self.reconnect_turn % len),
        }
    }

    fn apply(&mut self, now: Instant, digest: &Digest) {
        let sender = MemberRecord { age_ms: 0, ..digest.sender.clone() };
        if sender.state != RecordState::Unreachable {
            self.apply_record(now, &sender);
        }
        for record in digest.records.iter().take(Digest::MAX_RECORDS) {
            self.apply_record(now, record);
        }
    }

    fn apply_record(&mut self, now: Instant, record: &MemberRecord) {
        if record.node == self.own.node {
            // The wall clock went back between two starts. Other nodes ignore the records of this
            // node until its incarnation is higher than the one that they know.
            if record.incarnation > self.own.incarnation {
                self.own.incarnation = Incarnation::new(record.incarnation.get() + 1);
            }
            return;
        }
        let has_room = self.members.len() < MAX_MEMBERS;
        match self.members.get_mut(&record.node) {
            Some(member) => {
                member.apply(now, record);
            }
            None if has_room => {
                self.members.insert(record.node.clone(), MemberState::new(now, record.clone()));
            }
            None => {}
        }
    }

    /// Builds a digest: first members that the receiver reported as unreachable and that are
    /// reachable, then updates, then the other members in rotation.
    fn digest(
        &mut self,
        now: Instant,
        receiver: Option<&NodeId>,
        reported: &[MemberRecord],
    ) -> Digest {
        let age = now.saturating_since(self.versions_at).as_millis();
        let mut versions = self.versions.clone();
        versions.freshness_age_ms = versions
            .freshness_age_ms
            .map(|at| at.saturating_add(u64::try_from(age).unwrap_or(u64::MAX)));
        let mut digest = Digest { sender: self.own.clone(), versions, records: Vec::new() };
        for node in self.records_to_send(receiver, reported) {
            let Some(member) = self.members.get_mut(&node) else { continue };
            if !digest.push(member.to_record(now)) {
                break;
            }
            member.sends = member.sends.saturating_add(1);
        }
        digest
    }

    fn records_to_send(
        &mut self,
        receiver: Option<&NodeId>,
        reported: &[MemberRecord],
    ) -> Vec<NodeId> {
        let max_sends = 3 * (self.members.len() + 1).next_power_of_two().ilog2();
        let Self { members, records, own, turn, .. } = self;
        let is_sendable = |node: &NodeId| Some(node) != receiver;
        let reported_failures =
            reported.iter().filter(|record| record.state == RecordState::Unreachable);
        let refuted = reported_failures.filter(|record| {
            members.get(&record.node).is_some_and(|member| !member.is_unreachable())
        });
        let mut chosen: Vec<NodeId> =
            refuted.map(|record| record.node.clone()).filter(|node| is_sendable(node)).collect();
        // Reported failures come first, since they have to be confirmed or refuted before the
        // member becomes suspect, then updates of the own zone, which the lease of the zone needs.
        // The order among equals varies from turn to turn.
        let len = members.len();
        let rank = |index: usize| (index + usize::try_from(*turn).unwrap_or_default() * 31) % len;
        let mut updates: Vec<_> = members
            .iter()
            .enumerate()
            .filter(|(_, (node, member))| {
                member.sends < max_sends && is_sendable(node) && !chosen.contains(node)
            })
            .map(|(index, (node, member))| {
                let is_other_zone = member.record().zone != own.zone;
                ((!member.has_reported_failure(), is_other_zone, member.sends, rank(index)), node)
            })
            .collect();
        if updates.len() > Digest::MAX_RECORDS {
            updates.select_nth_unstable(Digest::MAX_RECORDS);
        }
        chosen.extend(updates.into_iter().take(Digest::MAX_RECORDS).map(|(_, node)| node.clone()));
        while chosen.len() < Digest::MAX_RECORDS.min(members.len()) {
            let is_eligible = |node: &NodeId| {
                members.get(node).is_some_and(MemberState::has_observation)
                    && is_sendable(node)
                    && !chosen.contains(node)
            };
            match records.next(members.keys(), is_eligible) {
                Some(node) => chosen.push(node),
                None => break,
            }
        }
        chosen.truncate(Digest::MAX_RECORDS);
        chosen
    }
}
