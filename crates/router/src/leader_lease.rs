//! Which process grants ranges and divides limits.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RowVersion, millis};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::Authority;

/// Time for which a leader acts after it sent its last renewal that took effect.
const LEASE: Duration = Duration::from_secs(4);

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// Time after which a leader's row that did not change counts as abandoned. Two renewals fit in;
/// a write that replaces the row fails if there was one after all.
const ABANDONED_AFTER: Duration = Duration::from_millis(2_200);

/// Time after a renewal was due from which a leader that cannot renew is in trouble.
const TROUBLE_AFTER: Duration = Duration::from_millis(700);

/// Time between reads of the row while the leader cannot be reached.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Covers clocks that run at different speeds over a lease.
const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// The row that names the leader.
#[value]
pub struct LeaderRow {
    /// The leader.
    pub node: NodeId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Number of leaders so far.
    pub generation: Generation,
    /// Raised by each renewal.
    pub renewals: u64,
    /// Whether the leader gave the lease up and acts no more.
    pub resigned: bool,
    /// Number of nodes of the site as the leader knew it; zero if it did not know. Nodes that all
    /// restart at once divide customers' limits by it.
    #[serde(default)]
    pub nodes: u32,
    /// Time after the write of this row for which an earlier leader may still act, in milliseconds.
    /// Whoever replaces the row waits as long, also if this leader never acted.
    #[serde(default)]
    pub sole_in_ms: u64,
}

/// What the lease asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Read the row.
    Read,
    /// Write the row in place of a version.
    Write {
        /// The row.
        row: LeaderRow,
        /// Version that it replaces; zero if there is none.
        expected: RowVersion,
    },
}

/// The part of one process in choosing the leader.
///
/// The row changes only by conditional writes. A leader acts for a bounded time after a renewal,
/// measured from before it was sent; so whoever replaces the row knows when the leader before has
/// stopped, without comparing clocks.
#[derive(Debug)]
pub struct LeaderLease {
    own: LeaderRow,
    /// Version of the row as this process wrote it last.
    own_version: RowVersion,
    seen: Option<(LeaderRow, RowVersion)>,
    seen_changed: Instant,
    last_read: Option<Instant>,
    in_flight: bool,
    write_sent: Instant,
    renewed: Instant,
    /// Version of the row under which its leader said itself that it does not act.
    lapsed: Option<RowVersion>,
    authority: Authority,
    leads: bool,
    /// Whether another process may have replaced the row since the last renewal.
    doubted: bool,
}

impl LeaderLease {
    /// Creates the part of a process that does not lead.
    pub fn new(node: NodeId, incarnation: Incarnation, address: SocketAddr) -> Self {
        let own = LeaderRow {
            node,
            incarnation,
            address,
            generation: Generation::default(),
            renewals: 0,
            resigned: false,
            nodes: 0,
            sole_in_ms: 0,
        };
        Self {
            own,
            own_version: RowVersion::default(),
            seen: None,
            seen_changed: Instant::default(),
            last_read: None,
            in_flight: false,
            write_sent: Instant::default(),
            renewed: Instant::default(),
            lapsed: None,
            authority: Authority::default(),
            leads: false,
            doubted: false,
        }
    }

    /// Returns for how long this process may act as the leader, if it does.
    pub fn authority(&self, now: Instant) -> Option<Authority> {
        (self.leads && !self.doubted && now < self.authority.until).then_some(self.authority)
    }

    /// Returns whether this process leads and cannot renew its lease.
    pub fn is_troubled(&self, now: Instant) -> bool {
        self.leads && now >= self.renewed + RENEW_INTERVAL + TROUBLE_AFTER
    }

    /// Stops acting as the leader, because another node can renew the lease and this one cannot.
    pub fn step_down(&mut self) {
        self.leads = false;
    }

    /// Notes that another process wrote what only the leader writes. This process acts again after its
    /// next renewal, which fails if the row was replaced.
    pub fn doubt(&mut self) {
        self.doubted = self.leads;
    }

    /// Notes that the node which the row names said that it does not act as the leader under the
    /// version of the row that it knew. It may have taken the lead again with a newer version.
    pub fn note_lapsed(&mut self, node: &NodeId, version: RowVersion) {
        if self.leader().is_some_and(|row| row.node == *node) {
            self.lapsed = Some(version);
        }
    }

    /// Returns whether the leader is known not to act any more.
    pub fn is_vacant(&self) -> bool {
        self.seen.as_ref().is_some_and(|(_, version)| self.is_lapsed(*version))
    }

    fn is_lapsed(&self, version: RowVersion) -> bool {
        self.lapsed == Some(version)
    }

    /// Returns the leader that the row names, unless it resigned.
    pub fn leader(&self) -> Option<&LeaderRow> {
        self.seen.as_ref().map(|(row, _)| row).filter(|row| !row.resigned)
    }

    /// Returns the number of nodes that the row names.
    pub fn nodes(&self) -> u32 {
        self.seen.as_ref().map_or(0, |(row, _)| row.nodes)
    }

    /// Notes the number of nodes, which the next renewal stores.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.own.nodes = nodes;
    }

    /// Returns the row as it was last seen.
    pub fn seen(&self) -> Option<(LeaderRow, RowVersion)> {
        self.seen.clone()
    }

    /// Returns what to do now. `leader_answers` tells whether the leader was heard of recently.
    pub fn tick(&mut self, now: Instant, leader_answers: bool) -> Option<LeaseAction> {
        if self.in_flight {
            return None;
        }
        if self.leads && now >= self.authority.until {
            self.leads = false;
        }
        match self.leads {
            true if self.doubted || now >= self.write_sent + RENEW_INTERVAL => {
                Some(self.renew(now))
            }
            true => None,
            false if leader_answers => None,
            false => self.watch(now),
        }
    }

    /// Takes the row as it was read; `None` if there is none.
    pub fn on_read(&mut self, now: Instant, row: Option<(LeaderRow, RowVersion)>) {
        self.in_flight = false;
        self.see(now, row);
    }

    /// Takes a row from another source, such as a feed.
    pub fn see(&mut self, now: Instant, row: Option<(LeaderRow, RowVersion)>) {
        let newer = match (&self.seen, &row) {
            (Some((_, known)), Some((_, version))) => version > known,
            (None, Some(_)) => true,
            _ => false,
        };
        if newer {
            self.note_replaced(row.as_ref());
            self.seen = row;
            self.seen_changed = now;
        }
    }

    /// Compares a newer row with the one that this process wrote as the leader. Another leader's row
    /// must not be overwritten by a renewal.
    fn note_replaced(&mut self, row: Option<&(LeaderRow, RowVersion)>) {
        let is_own = |row: &LeaderRow| {
            (&row.node, row.incarnation, row.generation)
                == (&self.own.node, self.own.incarnation, self.own.generation)
        };
        match row {
            Some((row, version)) if self.leads && is_own(row) => self.own_version = *version,
            _ => self.leads = false,
        }
    }

    /// Notes that the store did not answer.
    pub fn on_failed(&mut self) {
        self.in_flight = false;
    }

    /// Takes the version under which the row was written, or `None` if another write came first.
    pub fn on_written(&mut self, now: Instant, row: LeaderRow, version: Option<RowVersion>) {
        self.in_flight = false;
        let Some(version) = version else {
            self.leads = false;
            self.last_read = None;
            return;
        };
        self.seen = Some((row.clone(), version));
        self.own_version = version;
        if !self.leads {
            self.authority.sole_from = now + Duration::from_millis(row.sole_in_ms);
        }
        self.seen_changed = now;
        self.renewed = self.write_sent;
        self.lapsed = None;
        self.authority.until = self.write_sent + LEASE;
        self.leads = !row.resigned;
        self.doubted = false;
        self.own = row;
    }

    /// Returns the row that gives the lease up, if this process leads.
    pub fn resign(&mut self, now: Instant) -> Option<LeaseAction> {
        if !self.leads {
            return None;
        }
        self.leads = false;
        let expected = self.own_version;
        self.write_sent = now;
        let row =
            LeaderRow { resigned: true, sole_in_ms: self.sole_in_ms(now), ..self.own.clone() };
        Some(LeaseAction::Write { row, expected })
    }

    fn renew(&mut self, now: Instant) -> LeaseAction {
        let expected = self.own_version;
        let row = LeaderRow {
            renewals: self.own.renewals + 1,
            sole_in_ms: self.sole_in_ms(now),
            ..self.own.clone()
        };
        self.write(now, row, expected)
    }

    /// Returns for how much longer an earlier leader may act.
    fn sole_in_ms(&self, now: Instant) -> u64 {
        millis(self.authority.sole_from.saturating_since(now))
    }

    /// Returns for how long the leader of a row, or one before it, may act once it is replaced.
    fn wait_after(&self, row: &LeaderRow, version: RowVersion) -> u64 {
        // It stopped, was an earlier life of this process, or could act again only after a write,
        // which would come before the one that replaces this version.
        let stopped = row.resigned || row.node == self.own.node || self.is_lapsed(version);
        match stopped {
            true => row.sole_in_ms,
            false => row.sole_in_ms.max(millis(LEASE + DRIFT_MARGIN)),
        }
    }

    fn watch(&mut self, now: Instant) -> Option<LeaseAction> {
        let due = self.last_read.is_none_or(|read| now >= read + READ_INTERVAL);
        match &self.seen {
            _ if self.last_read.is_none() => self.read(now),
            None => Some(self.claim(now)),
            Some((row, version)) => {
                let own_past = row.node == self.own.node && row.incarnation != self.own.incarnation;
                let abandoned = now.saturating_since(self.seen_changed) >= ABANDONED_AFTER;
                let lapsed = self.is_lapsed(*version);
                match row.resigned || own_past || lapsed || abandoned {
                    true if due || row.resigned || own_past => Some(self.claim(now)),
                    false if due => self.read(now),
                    _ => None,
                }
            }
        }
    }

    fn read(&mut self, now: Instant) -> Option<LeaseAction> {
        self.in_flight = true;
        self.last_read = Some(now);
        Some(LeaseAction::Read)
    }

    /// Returns the write that replaces the row as it was last seen, or creates it.
    fn claim(&mut self, now: Instant) -> LeaseAction {
        self.last_read = Some(now);
        let (generation, sole_in_ms, expected) = match &self.seen {
            Some((row, version)) => (row.generation, self.wait_after(row, *version), *version),
            None => (Generation::default(), 0, RowVersion::default()),
        };
        let row = LeaderRow {
            generation: generation.next(),
            renewals: 0,
            resigned: false,
            nodes: self.nodes(),
            sole_in_ms,
            ..self.own.clone()
        };
        self.write(now, row, expected)
    }

    fn write(&mut self, now: Instant, row: LeaderRow, expected: RowVersion) -> LeaseAction {
        self.in_flight = true;
        self.write_sent = now;
        LeaseAction::Write { row, expected }
    }
}
