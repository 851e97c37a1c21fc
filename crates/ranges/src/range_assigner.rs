//! Assigns the ranges of a back end to targets, on the leader.

use wagtailmoor_core::{Epoch, Instant, ShardKey};

use crate::epoch_source::EpochSource;
use crate::load_averages::LoadAverages;
use crate::member_set::MemberSet;
use crate::owner_removal::OwnerRemoval;
use crate::placement::Placement;
use crate::process_fault::ProcessFault;
use crate::range_entry::RangeState;
use crate::range_list::RangeList;
use crate::rebalancing::Rebalancing;
use crate::table_writer::TableWriter;
use crate::{
    AssignerSettings, AssignmentTable, Authority, Command, EpochBlock, GrantOutcome, KeyRange,
    Member, RangeShare, ReleaseOutcome, StoreOutcome, TargetCapacity, TargetProcess,
};

/// Upper bound of the fencing tokens that one tick uses for a range: for its release and for the
/// parts into which it is split.
const EPOCHS_PER_RANGE: u64 = 2 + Placement::SPLIT_PARTS_MAX as u64;

/// Assigns the ranges of one back end to targets. The caller executes the commands that it returns
/// and reports their outcomes.
///
/// A range changes its owner only after the owner has released it, its last grant has expired or
/// the process of the owner is known to have exited. The new owner is stored before the first grant
/// is sent to it, so that a later leader knows of every grant.
#[derive(Debug)]
pub struct RangeAssigner {
    settings: AssignerSettings,
    authority: Authority,
    members: MemberSet,
    ranges: RangeList,
    load: LoadAverages,
    rebalancing: Rebalancing,
    placement: Placement,
    writer: TableWriter,
}

impl RangeAssigner {
    /// Continues from the stored table, whose grants this process or another one may have renewed
    /// until now. `None` means that no table was ever stored.
    pub fn new(
        now: Instant,
        settings: AssignerSettings,
        authority: Authority,
        stored: Option<&AssignmentTable>,
    ) -> Self {
        let last_renewal = authority.sole_from.max(now);
        Self::with_last_renewal(now, settings, authority, last_renewal, stored)
    }

    /// Continues from the stored table in a process that has sent no grants of this back end under
    /// its current authority. Its predecessors may have renewed grants until the end of their own
    /// authority, which may have passed.
    pub fn first_under(
        now: Instant,
        settings: AssignerSettings,
        authority: Authority,
        stored: Option<&AssignmentTable>,
    ) -> Self {
        Self::with_last_renewal(now, settings, authority, authority.sole_from, stored)
    }

    /// Continues from the stored table, whose grants were sent at `last_renewal` at the latest.
    fn with_last_renewal(
        now: Instant,
        settings: AssignerSettings,
        authority: Authority,
        last_renewal: Instant,
        stored: Option<&AssignmentTable>,
    ) -> Self {
        let expires = last_renewal + settings.call_timeout + settings.grant_validity_max();
        let ranges = match stored {
            Some(table) => RangeList::from_table(now, expires, table),
            None => RangeList::unassigned(now),
        };
        Self {
            placement: Placement::new(now, &settings),
            settings,
            authority,
            members: MemberSet::new(now),
            ranges,
            load: LoadAverages::new(now),
            rebalancing: Rebalancing::new(now),
            writer: TableWriter::new(now),
        }
    }

    /// Starts without knowing the owners, because the store was restored from an older copy. All
    /// grants must expire first; `known` is a table of the past to which ranges return if possible.
    pub fn after_restore(
        now: Instant,
        settings: AssignerSettings,
        authority: Authority,
        known: Option<&AssignmentTable>,
    ) -> Self {
        let mut assigner = Self::new(now, settings, authority, None);
        let expires = assigner.others_expire(now);
        assigner.ranges =
            RangeList::expiring(expires, known.unwrap_or(&AssignmentTable::default()));
        assigner
    }

    /// Issues only fencing tokens of a block from now on, in a store that states its era.
    pub fn use_epochs(&mut self, block: &EpochBlock) {
        self.ranges.use_block(block);
    }

    /// Returns whether another block of fencing tokens should be reserved.
    pub fn needs_epochs(&self) -> bool {
        self.ranges.epochs().needs_block()
    }

    /// Returns the highest fencing token that a leader may have issued whose last stored table is
    /// known.
    pub fn possibly_issued(table: &AssignmentTable) -> Epoch {
        EpochSource::possibly_issued(table)
    }

    /// Marks the fencing tokens that the former leader may have issued as used, in a store without
    /// eras. A new leader stores the table before its first command. Otherwise the leader after it
    /// would issue the same tokens again if this one stores no other table.
    pub fn claim(table: &mut AssignmentTable) {
        table.mark_epochs_used(Self::possibly_issued(table));
    }

    /// Continues in a new era of the store, which may have lost the newest owners. They are stored
    /// again under fencing tokens of a block of that era before the next grant or release.
    pub fn enter_era(&mut self, now: Instant, block: &EpochBlock) {
        let others_expire = self.others_expire(self.authority.sole_from);
        self.ranges.enter_era(now, block, others_expire);
        self.placement.wait_for_others(others_expire);
        self.writer.restart(now);
    }

    /// Stores the owners again before the next command, because another content was stored.
    pub fn store_again(&mut self, now: Instant) {
        self.writer.store_again(now);
    }

    /// Returns when a grant has expired that was sent at `last_renewal` at the latest.
    fn others_expire(&self, last_renewal: Instant) -> Instant {
        let last_renewal = last_renewal.max(self.authority.sole_from);
        last_renewal + self.settings.call_timeout + self.settings.grant_validity_max()
    }

    /// Sets the period in which this process may act as leader.
    pub fn set_authority(&mut self, authority: Authority) {
        self.authority = authority;
    }

    /// Replaces the set of targets that may own keys.
    pub fn set_members(&mut self, now: Instant, members: Vec<Member>) {
        self.members.replace(now, members, self.settings.release_notice);
    }

    /// Adds requests that arrived for a key since the last call.
    pub fn add_load(&mut self, key: ShardKey, requests: u32) {
        self.load.add(key, requests);
    }

    /// Returns the table to store.
    pub fn table(&self) -> AssignmentTable {
        self.ranges.table()
    }

    /// Returns the admitted shares of the ranges that receive more requests than their owners can
    /// run in time. `capacity` returns the capacity of an owner; owners for which it returns `None`
    /// are not limited.
    pub fn limited_shares(
        &self,
        now: Instant,
        capacity: impl Fn(&TargetProcess) -> Option<TargetCapacity>,
    ) -> Vec<RangeShare> {
        self.load.limited_shares(now, &self.ranges, capacity)
    }

    /// Advances the state to `now` and returns the commands to execute.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        if !self.authority.may_renew(now) {
            return Vec::new();
        }
        if self.writer.must_store() {
            return self.store(now).into_iter().collect();
        }
        self.members.end_exclusions(now);
        if self.has_epochs() {
            self.change_owners(now);
        }
        let mut commands = self.renewals(now);
        commands.extend(self.releases(now));
        commands.extend(self.store(now));
        commands
    }

    /// Starts the releases and assignments that are due.
    fn change_owners(&mut self, now: Instant) {
        let (settings, members) = (&self.settings, &self.members);
        let mut removal = OwnerRemoval { members, ranges: &mut self.ranges };
        removal.update_lost_owners(now);
        if self.authority.may_move(now) {
            removal.start_releases_of_leaving(now);
            let (load, ranges) = (&mut self.load, &mut self.ranges);
            self.rebalancing.start_moves(now, settings, load, members, ranges);
            self.rebalancing.merge_ranges(now, settings, members, ranges);
        }
        let (load, ranges) = (self.load.slow(), &mut self.ranges);
        self.placement.assign_vacant(now, self.authority, load, members, ranges);
    }

    /// Returns whether enough fencing tokens are left for all that one tick may assign and release.
    fn has_epochs(&self) -> bool {
        let changes_max = (self.ranges.len() + self.members.len()) as u64 * EPOCHS_PER_RANGE;
        self.ranges.epochs().has(changes_max)
    }

    /// Records the outcome of a grant that was sent at `sent_at`.
    pub fn on_grant_outcome(
        &mut self,
        now: Instant,
        process: &TargetProcess,
        range: KeyRange,
        epoch: Epoch,
        sent_at: Instant,
        outcome: GrantOutcome,
    ) {
        let has_exited = self.members.has_recently_exited(process);
        let mut fault = None;
        for entry in self.ranges.iter_mut() {
            if entry.is_affected_by_grant(process, range, epoch) {
                let settings = &self.settings;
                let found = entry.record_grant_outcome(now, settings, sent_at, outcome, has_exited);
                fault = fault.or(found);
            }
        }
        match fault {
            Some(ProcessFault::Unreachable) => self.members.exclude_unreachable(now, process),
            Some(ProcessFault::Exited) => self.on_exited(now, process),
            None => {}
        }
    }

    /// Records the outcome of a release.
    pub fn on_release_outcome(
        &mut self,
        now: Instant,
        process: &TargetProcess,
        range: KeyRange,
        epoch: Epoch,
        outcome: &ReleaseOutcome,
    ) {
        let retry_at = now + self.settings.retry_interval;
        for entry in self.ranges.iter_mut() {
            if entry.awaits_release(process, range, epoch) {
                entry.record_release_outcome(now, retry_at, outcome);
            }
        }
    }

    /// Records the outcome of storing the table.
    pub fn on_store_outcome(&mut self, now: Instant, outcome: StoreOutcome) {
        self.writer.on_outcome(now, &mut self.ranges, outcome);
    }

    /// Vacates the ranges of a process that is known to have exited. A range with a grant in flight
    /// waits for the outcome, because the next process of the target may accept that grant.
    pub fn on_exited(&mut self, now: Instant, process: &TargetProcess) {
        self.members.exclude_exited(now, process);
        for entry in self.ranges.iter_mut() {
            entry.record_exit(now, process);
        }
    }

    fn renewals(&mut self, now: Instant) -> Vec<Command> {
        let (validity, validity_max) =
            (self.settings.grant_validity, self.settings.grant_validity_max());
        let call_timeout = self.settings.call_timeout;
        let mut commands = Vec::new();
        for entry in self.ranges.iter_mut() {
            match (&mut entry.state, &entry.owner) {
                (RangeState::Granted { renew_at }, Some(owner))
                    if !entry.in_flight && now >= *renew_at =>
                {
                    entry.in_flight = true;
                    entry.expires = entry.expires.max(now + call_timeout + validity_max);
                    commands.push(Command::Grant {
                        process: owner.clone(),
                        range: entry.range,
                        epoch: entry.epoch,
                        validity,
                        handover: entry.handover.clone(),
                    });
                }
                _ => {}
            }
        }
        commands
    }

    fn releases(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        for entry in self.ranges.iter_mut() {
            match &mut entry.state {
                RangeState::Releasing(release) if !release.in_flight && now >= release.call_at => {
                    release.in_flight = true;
                    let (process, epoch) = (release.from.clone(), release.epoch);
                    commands.push(Command::Release { process, range: entry.range, epoch });
                }
                _ => {}
            }
        }
        commands
    }

    /// Returns a write of the table if one is due.
    fn store(&mut self, now: Instant) -> Option<Command> {
        self.writer.write(now, &self.ranges, self.settings.store_interval)
    }
}
