//! Assigns the ranges of a back end to targets, on the leader.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Instant, ShardKey, SortedVec, TargetId};

use crate::range_entry::{RangeEntry, RangeState};
use crate::range_list::RangeList;
use crate::range_share::divide;
use crate::release::Release;
use crate::{
    AssignerSettings, AssignmentTable, Authority, Balancer, Command, EpochBlock, GrantOutcome,
    KeyLoad, KeyRange, Member, RangeShare, ReleaseOutcome, StoreOutcome, TargetCapacity,
    TargetProcess,
};

/// Time constant of the load average that reveals a hot range within a second.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Time constant of the load average that reveals a lasting imbalance despite random variation.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// A target process that was found to have exited receives no keys for this long.
const EXITED_EXCLUSION: Duration = Duration::from_secs(4);

/// A target process that could not be reached until its grants expired receives no keys for this
/// long.
const UNREACHABLE_EXCLUSION: Duration = Duration::from_secs(4);

/// Number of ranges per member above which adjacent ranges are merged. Each range costs renewals
/// and takes space in every copy of the table.
const RANGES_PER_MEMBER_MAX: usize = 2;

/// Number of ranges above which adjacent ranges are merged on a large site. A row of the store must
/// have room for them and for the parts of a hot range.
const RANGES_LARGE_SITE_MAX: usize = 2_400;

/// Number of members per range that may be moving for balance. A hot range on a large site is
/// spread over many targets; with few moves at a time that takes longer than the range is hot.
const MEMBERS_PER_MOVE: usize = 2;

/// Maximum number of parts into which a vacant range is split.
const SPLIT_PARTS_MAX: u32 = 8;

/// Upper bound of the fencing tokens that one tick uses for a range: for its release and for the
/// parts into which it is split.
const EPOCHS_PER_RANGE: u64 = 2 + SPLIT_PARTS_MAX as u64;

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
    /// Sorted by process.
    members: Vec<Member>,
    ranges: RangeList,
    /// Ranges that the write in flight assigns.
    storing: Option<Vec<(KeyRange, Epoch)>>,
    /// Leaving members, each with the end of its notice.
    leaving: Vec<(TargetProcess, Instant)>,
    /// Processes that exited, each with the end of its exclusion.
    recently_exited: Vec<(TargetProcess, Instant)>,
    /// Processes that could not be reached, each with the end of its exclusion.
    unreachable: Vec<(TargetProcess, Instant)>,
    fast_load: KeyLoad,
    slow_load: KeyLoad,
    balance_at: Instant,
    /// When the next check for lasting imbalance is due.
    slow_balance_at: Instant,
    merge_at: Instant,
    store_at: Instant,
    members_changed_at: Instant,
    started_at: Instant,
    /// Whether the owners must be stored before any other command.
    must_store: bool,
    /// Until then, another leader of a former era may have renewed grants of any range that this
    /// process knows to be free.
    others_until: Instant,
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
            settings,
            authority,
            members: Vec::new(),
            ranges,
            storing: None,
            leaving: Vec::new(),
            recently_exited: Vec::new(),
            unreachable: Vec::new(),
            fast_load: KeyLoad::new(now, FAST_TIME_CONSTANT),
            slow_load: KeyLoad::new(now, SLOW_TIME_CONSTANT),
            balance_at: now,
            slow_balance_at: now,
            merge_at: now,
            store_at: now,
            members_changed_at: now,
            started_at: now,
            must_store: false,
            others_until: Instant::default(),
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
        self.ranges.epochs_left() < EpochBlock::LEN / 2
    }

    /// Returns the highest fencing token that a leader may have issued whose last stored table is
    /// known.
    pub fn possibly_issued(table: &AssignmentTable) -> Epoch {
        RangeList::possibly_used(table)
    }

    /// Continues in a new era of the store, which may have lost the newest owners. They are stored
    /// again under fencing tokens of a block of that era before the next grant or release.
    pub fn enter_era(&mut self, now: Instant, block: &EpochBlock) {
        let others_expire = self.others_expire(self.authority.sole_from);
        self.ranges.enter_era(now, block, others_expire);
        self.others_until = others_expire;
        self.storing = None;
        self.store_at = now;
        self.must_store = true;
    }

    /// Stores the owners again before the next command, because another content was stored.
    pub fn store_again(&mut self, now: Instant) {
        self.store_at = now;
        self.must_store = true;
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
    pub fn set_members(&mut self, now: Instant, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.process.cmp(&right.process));
        if members.len() != self.members.len() {
            self.members_changed_at = now;
        }
        self.members = members;
        self.update_leaving(now);
    }

    /// Updates the leaving members. The notice of a member starts when it is first seen leaving.
    fn update_leaving(&mut self, now: Instant) {
        let notice_ends = now + self.settings.release_notice;
        let leaving = self.members.iter().filter(|member| member.leaving);
        self.leaving = leaving
            .map(|member| {
                let known = self.leaving.iter().find(|(process, _)| *process == member.process);
                (member.process.clone(), known.map_or(notice_ends, |(_, ends)| *ends))
            })
            .collect();
    }

    /// Adds requests that arrived for a key since the last call.
    pub fn add_load(&mut self, key: ShardKey, requests: u32) {
        self.fast_load.add(key, requests);
        self.slow_load.add(key, requests);
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
        let rates =
            self.fast_load.unbiased_rates(now, self.ranges.iter().map(|entry| &entry.range));
        let mut demands: SortedVec<&TargetProcess, Vec<(KeyRange, f64)>> = SortedVec::new();
        for (entry, rate) in self.ranges.iter().zip(rates) {
            if let Some(owner) = entry.owner.as_ref().filter(|_| rate > 0.0) {
                demands.get_or_insert_with(owner, Vec::new).push((entry.range, rate));
            }
        }
        let mut shares: Vec<RangeShare> = demands
            .into_iter()
            .filter_map(|(owner, demands)| Some(divide(capacity(owner)?, demands)))
            .flatten()
            .collect();
        shares.sort_by_key(|share| share.range);
        shares
    }

    /// Advances the state to `now` and returns the commands to execute.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        if !self.authority.may_renew(now) {
            return Vec::new();
        }
        if self.must_store {
            return self.store(now).into_iter().collect();
        }
        self.recently_exited.retain(|(_, until)| *until > now);
        self.unreachable.retain(|(_, until)| *until > now);
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
        self.update_lost_owners(now);
        if self.authority.may_move(now) {
            self.start_releases_of_leaving(now);
            self.start_balance_moves(now);
            self.merge_ranges(now);
        }
        self.assign_vacant(now);
    }

    /// Returns whether enough fencing tokens are left for all that one tick may assign and release.
    fn has_epochs(&self) -> bool {
        let changes_max = (self.ranges.len() + self.members.len()) as u64 * EPOCHS_PER_RANGE;
        self.ranges.epochs_left() >= changes_max
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
        let (renew, retry) = (self.settings.renew_interval, self.settings.retry_interval);
        let validity_max = self.settings.grant_validity_max();
        let has_exited = self.recently_exited.iter().any(|(known, _)| known == process);
        let (mut replaced, mut unreachable) = (false, false);
        for entry in self.ranges.iter_mut() {
            let is_affected = entry.epoch == epoch && entry.range.intersection(range).is_some();
            if !is_affected || entry.owner.as_ref() != Some(process) {
                continue;
            }
            entry.in_flight = false;
            // Also for a range that is vacant at present: its owner may be listed again, and a later
            // grant that is not delivered then falls back to this expiry.
            match outcome {
                GrantOutcome::Held => {
                    entry.confirmed_expires = entry.confirmed_expires.max(now + validity_max);
                }
                GrantOutcome::Unknown => entry.confirmed_expires = entry.expires,
                _ => {}
            }
            let RangeState::Granted { renew_at } = &mut entry.state else { continue };
            match outcome {
                // The owner has exited, and the last grant that could have reached its successor
                // was not delivered.
                GrantOutcome::NotDelivered | GrantOutcome::Refused if has_exited => {
                    entry.state = RangeState::Vacant { free_from: now, to: None };
                }
                GrantOutcome::Held => {
                    *renew_at = sent_at + renew;
                    entry.expires = entry.confirmed_expires;
                    entry.handover = None;
                }
                GrantOutcome::Unknown => *renew_at = now + retry,
                // The target no longer owns the keys, so they may go to one that can be reached.
                GrantOutcome::NotDelivered | GrantOutcome::Refused
                    if now >= entry.confirmed_expires =>
                {
                    entry.expires = entry.confirmed_expires;
                    entry.state = RangeState::Vacant { free_from: now, to: None };
                    unreachable = true;
                }
                GrantOutcome::NotDelivered | GrantOutcome::Refused => {
                    *renew_at = now + retry;
                    // A grant that was not delivered does not extend the previous one.
                    entry.expires = entry.confirmed_expires;
                }
                GrantOutcome::Fenced => {
                    // A previous leader released some of these keys and stopped before it stored a
                    // new owner. The same owner may get them at once under a higher epoch, another
                    // target only after the last grant has expired.
                    let (free_from, to) = (entry.expires, entry.owner.clone());
                    entry.state = RangeState::Vacant { free_from, to };
                }
                GrantOutcome::Replaced => replaced = true,
            }
        }
        if unreachable {
            self.unreachable.push((process.clone(), now + UNREACHABLE_EXCLUSION));
        }
        if replaced {
            self.on_exited(now, process);
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
        let retry = self.settings.retry_interval;
        for entry in self.ranges.iter_mut() {
            let RangeState::Releasing(release) = &mut entry.state else { continue };
            if entry.range != range || release.from != *process || release.epoch != epoch {
                continue;
            }
            release.in_flight = false;
            match outcome {
                ReleaseOutcome::Released { handover } => {
                    entry.handover = handover.clone();
                    let to = release.to.take();
                    entry.state = RangeState::Vacant { free_from: now, to };
                }
                ReleaseOutcome::Replaced => {
                    let to = release.to.take();
                    entry.state = RangeState::Vacant { free_from: now, to };
                }
                ReleaseOutcome::Refused | ReleaseOutcome::Unknown => release.call_at = now + retry,
            }
        }
    }

    /// Records the outcome of storing the table.
    pub fn on_store_outcome(&mut self, now: Instant, outcome: StoreOutcome) {
        let Some(stored) = self.storing.take() else { return };
        if outcome != StoreOutcome::Stored {
            return;
        }
        self.must_store = false;
        for entry in self.ranges.iter_mut() {
            let included = stored.contains(&(entry.range, entry.epoch));
            if included && entry.state == RangeState::Storing {
                entry.state = RangeState::Granted { renew_at: now };
            }
        }
    }

    /// Vacates the ranges of a process that is known to have exited. A range with a grant in flight
    /// waits for the outcome, because the next process of the target may accept that grant.
    pub fn on_exited(&mut self, now: Instant, process: &TargetProcess) {
        self.recently_exited.push((process.clone(), now + EXITED_EXCLUSION));
        for entry in self.ranges.iter_mut() {
            let may_be_owned = matches!(
                entry.state,
                RangeState::Granted { .. } | RangeState::Releasing(_) | RangeState::Vacant { .. }
            );
            if may_be_owned && !entry.in_flight && entry.possible_owner() == Some(process) {
                entry.state = RangeState::Vacant { free_from: now, to: None };
            }
        }
    }

    /// Updates the ranges whose owner has restarted, was removed from the registry or came back to
    /// it, and those whose grant expired during a release.
    fn update_lost_owners(&mut self, now: Instant) {
        for index in 0..self.ranges.len() {
            let entry = self.ranges.get(index);
            let Some(owner) = &entry.owner else { continue };
            let registered = self.member(&owner.target);
            let restarted = registered
                .map(|member| &member.process)
                .filter(|current| current.incarnation > owner.incarnation)
                .cloned();
            let (is_registered, expires) = (registered.is_some(), entry.expires);
            let state = match (&entry.state, restarted) {
                (RangeState::Granted { .. }, Some(successor)) => {
                    Some(RangeState::Releasing(self.release_by_successor(now, successor, None)))
                }
                (RangeState::Releasing(release), Some(successor)) if release.from != successor => {
                    let to = release.to.clone();
                    Some(RangeState::Releasing(self.release_by_successor(now, successor, to)))
                }
                (RangeState::Granted { .. }, None) if !is_registered => {
                    Some(RangeState::Vacant { free_from: expires, to: None })
                }
                (RangeState::Releasing(release), _) if now >= expires => {
                    Some(RangeState::Vacant { free_from: now, to: release.to.clone() })
                }
                // A running target was listed again before its grant expired.
                (RangeState::Vacant { free_from, to: None }, None)
                    if is_registered && now < *free_from =>
                {
                    Some(RangeState::Granted { renew_at: now })
                }
                _ => None,
            };
            if let Some(state) = state {
                self.ranges.set_state(index, state);
            }
        }
    }

    /// Returns a release to be sent to the process that succeeded an owner after a restart. A new
    /// process starts without grants, but grants name the target and not its process. The new
    /// process may therefore have accepted a grant that was sent before its registration arrived
    /// here.
    fn release_by_successor(
        &mut self,
        now: Instant,
        successor: TargetProcess,
        to: Option<TargetProcess>,
    ) -> Release {
        Release::new(now, successor, self.ranges.allocate_epoch(), to)
    }

    /// Starts the release of the ranges of leaving members, unless no other target could own them.
    fn start_releases_of_leaving(&mut self, now: Instant) {
        if !self.members.iter().any(|member| self.is_eligible(member)) {
            return;
        }
        let due = self.leaving.iter().filter(|(_, notice_ends)| now >= *notice_ends);
        let due: Vec<TargetProcess> = due.map(|(process, _)| process.clone()).collect();
        for index in 0..self.ranges.len() {
            let from =
                due.iter().find(|process| self.ranges.get(index).is_granted_to(process)).cloned();
            if let Some(from) = from {
                let release = Release::new(now, from, self.ranges.allocate_epoch(), None);
                self.ranges.set_state(index, RangeState::Releasing(release));
            }
        }
    }

    /// Starts moves that spread hot ranges or, if there are none, correct a lasting imbalance.
    fn start_balance_moves(&mut self, now: Instant) {
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + self.settings.balance_interval;
        self.fast_load.decay(now);
        self.slow_load.decay(now);
        let moving = self
            .ranges
            .iter()
            .filter(|entry| matches!(entry.state, RangeState::Releasing(_) | RangeState::Storing));
        let moving = moving.count();
        // A hot range is spread at once; a lasting imbalance is corrected with fewer moves at a
        // time.
        let (base, hot) =
            (self.settings.concurrent_moves_min, self.members.len() / MEMBERS_PER_MOVE);
        let budget = base.max(hot).saturating_sub(moving);
        let mut moves = Balancer::new(&self.fast_load, self.member_ranges()).moves(budget);
        if moves.is_empty() && now >= self.slow_balance_at {
            self.slow_balance_at = now + self.settings.slow_balance_interval;
            let budget = base.saturating_sub(moving);
            moves = Balancer::new(&self.slow_load, self.member_ranges()).moves(budget);
        }
        for next in moves {
            self.ranges.start_move(now, &next);
        }
    }

    /// Merges adjacent ranges of the same owner if there are too many ranges.
    fn merge_ranges(&mut self, now: Instant) {
        let members = self.members.len();
        let ranges_max = (members * RANGES_PER_MEMBER_MAX).min(members.max(RANGES_LARGE_SITE_MAX));
        if now < self.merge_at || self.ranges.len() <= ranges_max {
            return;
        }
        self.merge_at = now + self.settings.merge_interval;
        self.ranges.merge_adjacent(self.settings.merges_max);
    }

    /// Returns the eligible members with the ranges that are assigned to them.
    fn member_ranges(&self) -> Vec<(Member, Vec<KeyRange>)> {
        let eligible = self.members.iter().filter(|member| self.is_eligible(member));
        let mut member_ranges: Vec<_> =
            eligible.map(|member| (member.clone(), Vec::new())).collect();
        for entry in self.ranges.iter() {
            let owner = match entry.state {
                RangeState::Granted { .. } | RangeState::Storing => entry.owner.as_ref(),
                _ => None,
            };
            let found = owner.map(|owner| {
                member_ranges.binary_search_by(|(member, _)| member.process.cmp(owner))
            });
            if let Some(Ok(index)) = found {
                member_ranges[index].1.push(entry.range);
            }
        }
        member_ranges
    }

    /// Returns the current registration of a target.
    fn member(&self, target: &TargetId) -> Option<&Member> {
        let found = self.members.binary_search_by(|member| member.process.target.cmp(target));
        found.ok().map(|index| &self.members[index])
    }

    fn is_eligible(&self, member: &Member) -> bool {
        let mut excluded = self.recently_exited.iter().chain(&self.unreachable);
        member.eligible && !excluded.any(|(process, _)| *process == member.process)
    }

    /// Assigns owners to vacant ranges.
    fn assign_vacant(&mut self, now: Instant) {
        if now < self.others_until || !self.can_assign(now) {
            return;
        }
        let may_move = self.authority.may_move(now);
        let members = &self.members;
        let returns_to_owner = |entry: &RangeEntry, to: &Option<TargetProcess>| {
            to.is_some()
                && *to == entry.owner
                && members
                    .iter()
                    .any(|member| Some(&member.process) == to.as_ref() && member.eligible)
        };
        let is_ready = |entry: &RangeEntry| match &entry.state {
            RangeState::Vacant { free_from, to } => {
                let is_free = now >= *free_from || returns_to_owner(entry, to);
                is_free && (may_move || entry.owner.is_none())
            }
            _ => false,
        };
        if !self.ranges.iter().any(is_ready) || self.member_ranges().is_empty() {
            return;
        }
        let vacant = self.ranges.extract(is_ready);
        let load = std::mem::replace(&mut self.slow_load, KeyLoad::new(now, SLOW_TIME_CONSTANT));
        let mut balancer = Balancer::new(&load, self.member_ranges());
        let mut assigned = Vec::new();
        for entry in vacant {
            self.assign_range(entry, &mut balancer, &mut assigned);
        }
        drop(balancer);
        self.slow_load = load;
        self.ranges.insert(assigned);
    }

    fn assign_range(
        &mut self,
        entry: RangeEntry,
        balancer: &mut Balancer<'_>,
        assigned: &mut Vec<RangeEntry>,
    ) {
        let chosen = match &entry.state {
            RangeState::Vacant { to: Some(to), .. } => {
                self.members.iter().find(|member| member.process == *to).cloned()
            }
            _ => None,
        };
        let chosen = chosen.filter(|member| self.is_eligible(member));
        let parts = match &chosen {
            Some(_) => vec![entry.range],
            None => self.split_vacant(entry.range),
        };
        for range in parts {
            let member = match &chosen {
                Some(member) => member.clone(),
                None => match balancer.least_busy() {
                    Some(member) => member.clone(),
                    None => return assigned.push(entry),
                },
            };
            balancer.add(&member.process, range);
            assigned.push(self.ranges.reassigned(&entry, range, member.process));
        }
    }

    /// Splits a vacant range, so that the keys of a lost target are spread over several targets.
    fn split_vacant(&self, range: KeyRange) -> Vec<KeyRange> {
        let eligible = self.members.iter().filter(|member| self.is_eligible(member)).count();
        let eligible = u32::try_from(eligible.max(1)).unwrap_or(u32::MAX);
        let fair_len = (KeyRange::ALL.len() / eligible).max(1);
        let part_count = match range == KeyRange::ALL {
            true => eligible,
            false => (range.len() * 4 / fair_len).clamp(1, SPLIT_PARTS_MAX).min(range.len()),
        };
        range.split(part_count)
    }

    /// Returns whether ranges may be assigned. The first assignment is delayed until the targets of
    /// a new site have registered.
    fn can_assign(&self, now: Instant) -> bool {
        let has_owners = self.ranges.iter().any(|entry| entry.owner.is_some());
        let is_quiet =
            now.saturating_since(self.members_changed_at) >= self.settings.initial_quiet_period;
        let is_overdue = now.saturating_since(self.started_at) >= self.settings.initial_wait_max;
        has_owners || (!self.members.is_empty() && (is_quiet || is_overdue))
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

    /// Returns a write of the table if it must be stored again, or a new assignment is not stored yet.
    fn store(&mut self, now: Instant) -> Option<Command> {
        let unstored = self.ranges.iter().filter(|entry| entry.state == RangeState::Storing);
        let unstored: Vec<_> = unstored.map(|entry| (entry.range, entry.epoch)).collect();
        if (unstored.is_empty() && !self.must_store)
            || self.storing.is_some()
            || now < self.store_at
        {
            return None;
        }
        self.store_at = now + self.settings.store_interval;
        self.storing = Some(unstored);
        Some(Command::Store { table: self.table() })
    }
}
