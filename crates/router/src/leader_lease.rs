//! The lease that elects the leader: the process that grants ranges and divides limits.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RowVersion, StoreEra, millis};
use wagtailmoor_derive::value;
use wagtailmoor_ranges::Authority;

/// Duration of the lease, from the sending of a renewal that took effect.
const LEASE_DURATION: Duration = Duration::from_secs(4);

const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// A leader's row that did not change for this long counts as abandoned: its next renewal has been
/// due for 0.9 s. The write that replaces the row fails if the leader renewed after all.
const ABANDONED_AFTER: Duration = Duration::from_millis(2_200);

/// A leader whose renewal is late by this much counts as unable to renew.
const RENEWAL_OVERDUE_AFTER: Duration = Duration::from_millis(700);

/// Interval of reads of the row while the leader cannot be reached.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Allowance for the drift between two clocks during a lease.
const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// The row of the store that names the leader.
#[value]
pub struct LeaderRow {
    /// The node that leads.
    pub node: NodeId,
    /// Incarnation of the leading process.
    pub incarnation: Incarnation,
    /// Address at which other nodes reach the leader.
    pub address: SocketAddr,
    /// Raised with each change of the leader. A generation of a former era of the store was written
    /// before the store was restored, or arrived late from before that.
    pub generation: Generation,
    /// Renewals under this generation.
    pub renewals: u64,
    /// Whether the leader gave up the lease and no longer acts.
    pub resigned: bool,
    /// Number of nodes of the site that the leader counted; zero if unknown. Nodes that all restart
    /// at once divide customers' limits by this number.
    #[serde(default)]
    pub nodes: u32,
    /// An earlier leader may still act for this long after the write of this row, in milliseconds.
    /// A process that replaces the row waits as long, even if this leader never acted.
    #[serde(default)]
    pub sole_in_ms: u64,
}

/// An operation on the row that the lease requests.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Read the row and pass the result to [`LeaderLease::on_read`].
    Read,
    /// Write the row if its version is the expected one, and pass the result to
    /// [`LeaderLease::on_written`].
    Write {
        /// The new row.
        row: LeaderRow,
        /// Version that the new row replaces; zero if there is none.
        expected: RowVersion,
    },
}

/// One process's side of the leader election.
///
/// The row changes only by conditional writes. A leader acts for a bounded time after a renewal,
/// measured from before the renewal was sent. So a process that replaces the row knows when the
/// previous leader has stopped, without comparing clocks.
#[derive(Debug)]
pub struct LeaderLease {
    own: LeaderRow,
    /// Version of the row that this process wrote last.
    own_version: RowVersion,
    observed: Option<(LeaderRow, RowVersion)>,
    observed_at: Instant,
    last_read: Option<Instant>,
    in_flight: bool,
    write_sent_at: Instant,
    /// Instant from which no earlier leader acts if the claim in flight takes effect; `None` unless
    /// the write in flight is a claim.
    claimed_sole_from: Option<Instant>,
    renewed_at: Instant,
    /// Version of the row under which the leader that it names reported that it does not act.
    lapsed: Option<RowVersion>,
    authority: Authority,
    leads: bool,
    /// Whether this process must not act before its next renewal, because another process may have
    /// replaced the row.
    suspended: bool,
    /// The highest era of the store that this process knows; `None` before the first answer.
    era: Option<StoreEra>,
    /// When this process learned of the era.
    era_seen_at: Instant,
    has_seen_restore: bool,
    /// Generation of a former era from which this process continued to lead without a gap.
    continued: Option<Generation>,
}

impl LeaderLease {
    /// Creates the lease of a process that does not lead.
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
            observed: None,
            observed_at: Instant::default(),
            last_read: None,
            in_flight: false,
            write_sent_at: Instant::default(),
            claimed_sole_from: None,
            renewed_at: Instant::default(),
            lapsed: None,
            authority: Authority::default(),
            leads: false,
            suspended: false,
            era: None,
            era_seen_at: Instant::default(),
            has_seen_restore: false,
            continued: None,
        }
    }

    /// Returns the era of the store; zero before its first answer.
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Handles the era that an answer of the store or another node stated. Returns the former era if
    /// the store has been restored since this process first knew of it.
    ///
    /// A leader continues in the new era if it may act at this instant. It writes its row again
    /// before its next renewal.
    pub fn on_era(&mut self, now: Instant, era: StoreEra) -> Option<StoreEra> {
        if self.era.is_some_and(|known| known >= era) {
            return None;
        }
        let former = self.era.replace(era);
        self.era_seen_at = now;
        // The first era that a process knows is no restore.
        former?;
        self.has_seen_restore = true;
        self.leads = self.authority(now).is_some();
        // The known row may be lost, so it must be read before it is replaced.
        self.last_read = None;
        self.lapsed = None;
        former
    }

    /// Returns whether the store was restored while this process knew of it.
    pub fn has_seen_restore(&self) -> bool {
        self.has_seen_restore
    }

    /// Returns the generation of a former era from which the present term continued: between the two
    /// this process led without a gap.
    pub fn continued(&self) -> Option<Generation> {
        self.continued
    }

    /// Returns whether this process leads by a row that was written in a former era.
    fn must_continue(&self) -> bool {
        self.leads && self.own.generation.era() < self.era()
    }

    /// Returns whether a row was written in a former era: before the restore, or by a write that
    /// arrived after it.
    fn is_of_former_era(&self, row: &LeaderRow) -> bool {
        row.generation.era() < self.era()
    }

    /// Returns the authority under which this process acts as the leader; `None` if it may not act.
    pub fn authority(&self, now: Instant) -> Option<Authority> {
        (self.leads && !self.suspended && now < self.authority.until).then_some(self.authority)
    }

    /// Returns the generation under which this process may act as the leader; `None` if it may not
    /// act.
    pub fn term(&self, now: Instant) -> Option<Generation> {
        self.authority(now).map(|_| self.own.generation)
    }

    /// Returns whether this process leads and has failed to renew its lease in time.
    pub fn is_renewal_overdue(&self, now: Instant) -> bool {
        self.leads && now >= self.renewed_at + RENEW_INTERVAL + RENEWAL_OVERDUE_AFTER
    }

    /// Stops acting as the leader without writing the row, for a process that cannot renew the
    /// lease while another node can.
    pub fn step_down(&mut self) {
        self.leads = false;
    }

    /// Suspends the authority after another process wrote a row that only the leader writes. This
    /// process acts again after its next renewal, which fails if the leader's row was replaced.
    pub fn suspend(&mut self) {
        self.suspended = self.leads;
    }

    /// Records that `node` reported not to act as the leader under `version` of the row; ignored if
    /// the row names another node. The node may lead again under a newer version.
    pub fn record_lapsed(&mut self, node: &NodeId, version: RowVersion) {
        if self.leader().is_some_and(|row| row.node == *node) {
            self.lapsed = Some(version);
        }
    }

    /// Returns whether the leader that the row names reported that it no longer acts.
    pub fn is_vacant(&self) -> bool {
        self.observed.as_ref().is_some_and(|(_, version)| self.is_lapsed(*version))
    }

    fn is_lapsed(&self, version: RowVersion) -> bool {
        self.lapsed == Some(version)
    }

    /// Returns the leader that the row names, unless it resigned.
    pub fn leader(&self) -> Option<&LeaderRow> {
        self.observed.as_ref().map(|(row, _)| row).filter(|row| !row.resigned)
    }

    /// Returns the number of nodes that the row names.
    pub fn nodes(&self) -> u32 {
        self.observed.as_ref().map_or(0, |(row, _)| row.nodes)
    }

    /// Sets the number of nodes, which the next renewal stores.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.own.nodes = nodes;
    }

    /// Returns the newest row that this process knows.
    pub fn observed(&self) -> Option<(LeaderRow, RowVersion)> {
        self.observed.clone()
    }

    /// Returns the next operation on the row, if any is due. `leader_answers` states whether the
    /// leader answered recently.
    pub fn tick(&mut self, now: Instant, leader_answers: bool) -> Option<LeaseAction> {
        if self.in_flight {
            return None;
        }
        if self.leads && now >= self.authority.until {
            self.leads = false;
        }
        match self.leads {
            true if self.must_continue() => self.continue_in_era(now),
            true if self.suspended || now >= self.write_sent_at + RENEW_INTERVAL => {
                Some(self.renew(now))
            }
            true => None,
            false if leader_answers => None,
            false => self.watch_leader(now),
        }
    }

    /// Handles the result of a read; `None` if there is no row.
    pub fn on_read(&mut self, now: Instant, row: Option<(LeaderRow, RowVersion)>) {
        self.in_flight = false;
        let is_known_row_lost = row.is_none()
            && self.observed.as_ref().is_some_and(|(_, version)| version.era() < self.era());
        match is_known_row_lost {
            true => self.observed = None,
            false => self.observe(now, row),
        }
    }

    /// Handles a row from another source, such as another node.
    pub fn observe(&mut self, now: Instant, row: Option<(LeaderRow, RowVersion)>) {
        if let Some((_, version)) = &row {
            self.on_era(now, version.era());
        }
        let newer = match (&self.observed, &row) {
            (Some((_, known)), Some((_, version))) => version > known,
            (None, Some(_)) => true,
            _ => false,
        };
        if newer {
            self.check_replaced(now, row.as_ref());
            self.observed = row;
            self.observed_at = now;
        }
    }

    /// Stops leading if a newer row names another leader, whose row a renewal must not overwrite.
    /// A newer row of this leader gives the version that its next write expects.
    fn check_replaced(&mut self, now: Instant, row: Option<&(LeaderRow, RowVersion)>) {
        let is_own = |row: &LeaderRow| {
            (&row.node, row.incarnation, row.generation)
                == (&self.own.node, self.own.incarnation, self.own.generation)
        };
        match row {
            Some((row, version)) if self.leads && is_own(row) => self.own_version = *version,
            Some((row, version)) if self.must_continue() && self.is_of_former_era(row) => {
                self.own_version = *version;
            }
            // A write of a former era arrived late. It may hide the row of another leader, unless
            // none could have replaced the row of this process yet. This process writes its row
            // again before it acts.
            Some((row, version))
                if self.leads
                    && !self.suspended
                    && self.is_of_former_era(row)
                    && now < self.replaceable_from() =>
            {
                self.own_version = *version;
                self.suspended = true;
            }
            _ => self.leads = false,
        }
    }

    /// Handles an operation without an answer from the store.
    pub fn on_failed(&mut self) {
        self.in_flight = false;
        self.claimed_sole_from = None;
    }

    /// Handles the result of a write: the version of the row, or `None` if another write came
    /// first.
    pub fn on_written(&mut self, now: Instant, row: LeaderRow, version: Option<RowVersion>) {
        self.in_flight = false;
        let Some(version) = version else {
            self.leads = false;
            self.claimed_sole_from = None;
            self.last_read = None;
            return;
        };
        self.on_era(now, version.era());
        if self.is_of_former_era(&row) {
            // The write was sent before the store was restored and applied after it, on a version
            // that was issued again. It proves nothing about other leaders.
            self.claimed_sole_from = None;
            self.observe(now, Some((row, version)));
            return;
        }
        let former = self.own.generation;
        let is_continued = self.must_continue() && now < self.authority.until;
        if former != row.generation {
            self.continued = is_continued.then_some(former);
        }
        self.observed = Some((row.clone(), version));
        self.own_version = version;
        if let Some(sole_from) = self.claimed_sole_from.take() {
            self.authority.sole_from = sole_from;
        }
        self.observed_at = now;
        self.renewed_at = self.write_sent_at;
        self.lapsed = None;
        self.authority.until = self.write_sent_at + LEASE_DURATION;
        self.leads = !row.resigned;
        self.suspended = false;
        self.own = row;
    }

    /// Returns the write that gives up the lease, if this process leads.
    pub fn resign(&mut self, now: Instant) -> Option<LeaseAction> {
        if !self.leads {
            return None;
        }
        self.leads = false;
        let expected = self.own_version;
        self.write_sent_at = now;
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

    /// Returns for how much longer an earlier leader may act, in milliseconds.
    fn sole_in_ms(&self, now: Instant) -> u64 {
        millis(self.authority.sole_from.saturating_since(now))
    }

    /// Returns the instant from which neither the leader of a row nor an earlier one acts, if the
    /// write that replaces this version of the row takes effect. It may have passed.
    ///
    /// All times of the row are counted from when this process first saw the version: the row was
    /// written no later than that, and the leader's lease is counted from before the write.
    fn sole_from_on_takeover(&self, now: Instant, row: &LeaderRow, version: RowVersion) -> Instant {
        if self.is_of_former_era(row) {
            // The row says nothing about the leaders that wrote rows which the restore lost, or which
            // a late write replaced.
            return self.observed_at.max(self.era_seen_at) + LEASE_DURATION + DRIFT_MARGIN;
        }
        let earlier_end = self.observed_at + Duration::from_millis(row.sole_in_ms);
        // A previous incarnation of this node, or a leader that could act again only after a write,
        // which would make the write that replaces this version fail. Either may have acted until
        // now.
        let stopped = row.node == self.own.node || self.is_lapsed(version);
        match (row.resigned, stopped) {
            (true, _) => earlier_end,
            (false, true) => earlier_end.max(now),
            (false, false) => earlier_end.max(self.observed_at + LEASE_DURATION + DRIFT_MARGIN),
        }
    }

    fn watch_leader(&mut self, now: Instant) -> Option<LeaseAction> {
        let due = self.last_read.is_none_or(|read| now >= read + READ_INTERVAL);
        match &self.observed {
            _ if self.last_read.is_none() => self.read(now),
            None if self.is_vacant_since_restore(now) => Some(self.claim(now)),
            None if due => self.read(now),
            None => None,
            // A leader of the former era continues, and knows the owners. It goes first.
            Some((row, _)) if self.is_of_former_era(row) => {
                let abandoned = now.saturating_since(self.observed_at) >= ABANDONED_AFTER;
                match due {
                    true if abandoned => Some(self.claim(now)),
                    true => self.read(now),
                    false => None,
                }
            }
            Some((row, version)) => {
                let own_predecessor =
                    row.node == self.own.node && row.incarnation != self.own.incarnation;
                let abandoned = now.saturating_since(self.observed_at) >= ABANDONED_AFTER;
                let lapsed = self.is_lapsed(*version);
                match row.resigned || own_predecessor || lapsed || abandoned {
                    true if due || row.resigned || own_predecessor => Some(self.claim(now)),
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

    /// Returns whether a leader of the former era had time to write its row again, or this process
    /// knows of no former era.
    fn is_vacant_since_restore(&self, now: Instant) -> bool {
        self.observed_at == Instant::default()
            || now.saturating_since(self.era_seen_at) >= ABANDONED_AFTER
    }

    /// Returns the next operation of a leader of a former era: it reads the row, and writes it again
    /// unless another process leads in this era.
    fn continue_in_era(&mut self, now: Instant) -> Option<LeaseAction> {
        let due = self.last_read.is_none_or(|read| now >= read + RENEW_INTERVAL);
        let is_outdated =
            self.observed.as_ref().is_some_and(|(_, version)| version.era() < self.era());
        match self.last_read {
            None => self.read(now),
            // The read failed, or stated an older era.
            Some(_) if is_outdated && due => self.read(now),
            Some(_) if is_outdated => None,
            Some(_) => Some(self.claim_continued(now)),
        }
    }

    /// Returns the instant before which no other process can have replaced the row that this process
    /// last renewed, because it must see a row unchanged for a time first.
    fn replaceable_from(&self) -> Instant {
        self.renewed_at + (ABANDONED_AFTER - DRIFT_MARGIN)
    }

    /// Returns the instant from which no other leader acts if this process continues now. The row of
    /// another leader may be lost with the restore or hidden by a late write, although that leader
    /// acts by it.
    fn sole_from_on_continuation(&self, now: Instant) -> Instant {
        match now < self.replaceable_from() {
            true => self.authority.sole_from,
            false => self.authority.sole_from.max(now + LEASE_DURATION + DRIFT_MARGIN),
        }
    }

    /// Returns the first write of a continuing leader in a new era.
    fn claim_continued(&mut self, now: Instant) -> LeaseAction {
        let sole_from = self.sole_from_on_continuation(now);
        self.claim_from(now, sole_from)
    }

    /// Returns the generation that follows the newest known row. In place of a row of a former era
    /// it is counted from the version of that row: versions rise with every write of an era, so it
    /// is above all generations of this era, also if a late write hides them.
    fn next_generation(&self) -> Generation {
        match &self.observed {
            Some((row, _)) if !self.is_of_former_era(row) => row.generation.next(),
            Some((_, version)) => Generation::in_era(self.era(), version.number() + 1),
            None => Generation::in_era(self.era(), 1),
        }
    }

    /// Returns the write that replaces the newest known row, or creates the row.
    fn claim(&mut self, now: Instant) -> LeaseAction {
        let sole_from = match &self.observed {
            Some((row, version)) => self.sole_from_on_takeover(now, row, *version),
            None if self.era() > StoreEra::default() => {
                self.era_seen_at + LEASE_DURATION + DRIFT_MARGIN
            }
            None => now,
        };
        self.claim_from(now, sole_from)
    }

    /// Returns the claim of a process that is the only leader from `sole_from` on.
    fn claim_from(&mut self, now: Instant, sole_from: Instant) -> LeaseAction {
        self.last_read = Some(now);
        let expected =
            self.observed.as_ref().map_or(RowVersion::default(), |(_, version)| *version);
        let row = LeaderRow {
            generation: self.next_generation(),
            renewals: 0,
            resigned: false,
            nodes: self.nodes(),
            sole_in_ms: millis(sole_from.saturating_since(now)),
            ..self.own.clone()
        };
        self.claimed_sole_from = Some(sole_from);
        self.write(now, row, expected)
    }

    fn write(&mut self, now: Instant, row: LeaderRow, expected: RowVersion) -> LeaseAction {
        self.in_flight = true;
        self.write_sent_at = now;
        LeaseAction::Write { row, expected }
    }
}
