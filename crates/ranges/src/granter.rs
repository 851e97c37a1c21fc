//! The state machine of the process that grants ranges.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Instant, ShardKey, SortedVec, TargetId};

use crate::held_range::{HeldRange, RangeState};
use crate::range_list::RangeList;
use crate::range_share::divide;
use crate::release::Release;
use crate::{
    AssignmentTable, Authority, Balancer, GrantOutcome, GranterSettings, Holder, KeyLoad, KeyRange,
    Member, Order, RangeShare, ReleaseOutcome, Room, StoreOutcome,
};

/// Time constant of the load that shows a hot range within a second.
const FAST_LOAD: Duration = Duration::from_millis(500);

/// Time constant of the load that shows a lasting imbalance through the noise.
const SLOW_LOAD: Duration = Duration::from_secs(6);

/// Time for which a target is passed over after its address refused a connection.
const REFUSED_PAUSE: Duration = Duration::from_secs(4);

/// Ranges for each member above which neighbours are joined. Ranges cost a renewal each and bytes
/// in every copy of the table.
const RANGES_BY_MEMBER: usize = 2;

/// Ranges above which neighbours are joined on a large site, so that one row of the store has room
/// for them and for a hot range in parts.
const RANGES_WANTED_MAX: usize = 2_400;

/// Members for each range that may be moving for balance. A hot range on a large site is spread over
/// many targets, and a series of small steps takes longer than the range is hot.
const MEMBERS_BY_MOVE: usize = 2;

/// Parts into which the keys of a lost target are split at most.
const PARTS_MAX: u32 = 8;

/// The state machine of the process that grants the ranges of one back end.
///
/// A range changes its owner only after the owner released it, or after its last grant has run
/// out, or after its process surely ended. The new owner is stored before it is granted anything,
/// so that a later granter never knows less than the targets.
#[derive(Debug)]
pub struct Granter {
    settings: GranterSettings,
    authority: Authority,
    /// Sorted by holder.
    members: Vec<Member>,
    ranges: RangeList,
    storing: Option<Vec<(KeyRange, Epoch)>>,
    refused: Vec<(Holder, Instant)>,
    fast: KeyLoad,
    slow: KeyLoad,
    balance_at: Instant,
    /// When a lasting imbalance is looked for next.
    level_at: Instant,
    merge_at: Instant,
    store_at: Instant,
    members_changed: Instant,
    started: Instant,
}

impl Granter {
    /// Creates a granter from the stored table, if there is one.
    pub fn new(
        now: Instant,
        settings: GranterSettings,
        authority: Authority,
        stored: Option<&AssignmentTable>,
    ) -> Self {
        // An earlier granter may have renewed any of these up to the end of its authority.
        let last_arrival = authority.sole_from.max(now) + settings.call_timeout;
        let expires = last_arrival + settings.hold_max();
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
            refused: Vec::new(),
            fast: KeyLoad::new(now, FAST_LOAD),
            slow: KeyLoad::new(now, SLOW_LOAD),
            balance_at: now,
            level_at: now,
            merge_at: now,
            store_at: now,
            members_changed: now,
            started: now,
        }
    }

    /// Takes for how long this process may act.
    pub fn set_authority(&mut self, authority: Authority) {
        self.authority = authority;
    }

    /// Takes the targets that may own keys.
    pub fn set_members(&mut self, now: Instant, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.holder.cmp(&right.holder));
        if members.len() != self.members.len() {
            self.members_changed = now;
        }
        self.members = members;
    }

    /// Takes requests that arrived for a key.
    pub fn add_load(&mut self, key: ShardKey, requests: u32) {
        self.fast.add(key, requests);
        self.slow.add(key, requests);
    }

    /// Returns the table as it is to be stored.
    pub fn table(&self) -> AssignmentTable {
        self.ranges.table()
    }

    /// Returns the ranges on which more requests arrive than their owners can run in time, given
    /// what each owner can take.
    pub fn shares(&self, now: Instant, room: impl Fn(&Holder) -> Option<Room>) -> Vec<RangeShare> {
        let rates = self.fast.of_each(now, self.ranges.iter().map(|held| &held.range));
        let mut demands: SortedVec<&Holder, Vec<(KeyRange, f64)>> = SortedVec::new();
        for (held, rate) in self.ranges.iter().zip(rates) {
            if let Some(holder) = held.holder.as_ref().filter(|_| rate > 0.0) {
                demands.get_or_insert_with(holder, Vec::new).push((held.range, rate));
            }
        }
        let mut shares: Vec<RangeShare> = demands
            .into_iter()
            .filter_map(|(holder, demands)| Some(divide(room(holder)?, demands)))
            .flatten()
            .collect();
        shares.sort_by_key(|share| share.range);
        shares
    }

    /// Returns what is to be done now.
    pub fn tick(&mut self, now: Instant) -> Vec<Order> {
        if !self.authority.may_renew(now) {
            return Vec::new();
        }
        self.refused.retain(|(_, until)| *until > now);
        self.vacate_lost(now);
        if self.authority.may_move(now) {
            self.release_leaving(now);
            self.balance(now);
            self.merge(now);
        }
        self.place(now);
        let mut orders = self.renewals(now);
        orders.extend(self.releases(now));
        orders.extend(self.store(now));
        orders
    }

    /// Takes what came of a grant.
    pub fn on_grant(
        &mut self,
        now: Instant,
        holder: &Holder,
        range: KeyRange,
        epoch: Epoch,
        sent_at: Instant,
        outcome: GrantOutcome,
    ) {
        let (renew, retry) = (self.settings.renew_interval, self.settings.retry_interval);
        let hold_max = self.settings.hold_max();
        let ended = self.refused.iter().any(|(known, _)| known == holder);
        let mut lost = false;
        for held in self.ranges.iter_mut() {
            let same = held.epoch == epoch && held.range.intersection(range).is_some();
            if !same || held.holder.as_ref() != Some(holder) {
                continue;
            }
            held.in_flight = false;
            let RangeState::Held { renew_at } = &mut held.state else { continue };
            match outcome {
                // The holder has ended, and the last grant that could reach its successor did not.
                GrantOutcome::NotDelivered | GrantOutcome::Refused if ended => {
                    held.state = RangeState::Vacant { free_from: now, to: None };
                }
                GrantOutcome::Held => {
                    *renew_at = sent_at + renew;
                    held.confirmed_expires = held.confirmed_expires.max(now + hold_max);
                    held.expires = held.confirmed_expires;
                    held.handover = None;
                }
                GrantOutcome::Unknown => {
                    *renew_at = now + retry;
                    held.confirmed_expires = held.expires;
                }
                GrantOutcome::NotDelivered | GrantOutcome::Refused => {
                    *renew_at = now + retry;
                    // The grant that was not delivered does not prolong the one before.
                    held.expires = held.confirmed_expires;
                }
                GrantOutcome::Fenced => {
                    // An earlier granter released some of these keys and was lost before it stored
                    // a new owner. The holder may have them at once under a higher epoch, another
                    // target only when the last grant has run out.
                    let (free_from, to) = (held.expires, held.holder.clone());
                    held.state = RangeState::Vacant { free_from, to };
                }
                GrantOutcome::Replaced => lost = true,
            }
        }
        if lost {
            self.on_ended(now, holder);
        }
    }

    /// Takes what came of a release.
    pub fn on_release(
        &mut self,
        now: Instant,
        holder: &Holder,
        range: KeyRange,
        epoch: Epoch,
        outcome: &ReleaseOutcome,
    ) {
        let retry = self.settings.retry_interval;
        for held in self.ranges.iter_mut() {
            let RangeState::Releasing(release) = &mut held.state else { continue };
            if held.range != range || release.from != *holder || release.epoch != epoch {
                continue;
            }
            release.in_flight = false;
            match outcome {
                ReleaseOutcome::Released { handover } => {
                    held.handover = handover.clone();
                    let to = release.to.take();
                    held.state = RangeState::Vacant { free_from: now, to };
                }
                ReleaseOutcome::Replaced => {
                    let to = release.to.take();
                    held.state = RangeState::Vacant { free_from: now, to };
                }
                ReleaseOutcome::Refused | ReleaseOutcome::Unknown => release.ask_at = now + retry,
            }
        }
    }

    /// Takes what came of storing the table.
    pub fn on_store(&mut self, now: Instant, outcome: StoreOutcome) {
        let Some(stored) = self.storing.take() else { return };
        if outcome != StoreOutcome::Stored {
            return;
        }
        for held in self.ranges.iter_mut() {
            let included = stored.contains(&(held.range, held.epoch));
            if included && held.state == RangeState::Storing {
                held.state = RangeState::Held { renew_at: now };
            }
        }
    }

    /// Takes sure evidence that the process of a holder has ended. A range with a grant on its way
    /// waits for its outcome, because a next process of the target may accept it.
    pub fn on_ended(&mut self, now: Instant, holder: &Holder) {
        self.refused.push((holder.clone(), now + REFUSED_PAUSE));
        for held in self.ranges.iter_mut() {
            let live = matches!(
                held.state,
                RangeState::Held { .. } | RangeState::Releasing(_) | RangeState::Vacant { .. }
            );
            if live && !held.in_flight && held.keeper() == Some(holder) {
                held.state = RangeState::Vacant { free_from: now, to: None };
            }
        }
    }

    /// Gives up on holders that restarted, left the registry or let their grant run out.
    fn vacate_lost(&mut self, now: Instant) {
        for index in 0..self.ranges.len() {
            let held = self.ranges.get(index);
            let Some(holder) = &held.holder else { continue };
            let life = self.member(&holder.target);
            let restarted = life
                .map(|member| &member.holder)
                .filter(|present| present.incarnation > holder.incarnation)
                .cloned();
            let (present, expires) = (life.is_some(), held.expires);
            let state = match (&held.state, restarted) {
                (RangeState::Held { .. }, Some(successor)) => {
                    Some(RangeState::Releasing(self.release_again(now, successor, None)))
                }
                (RangeState::Releasing(release), Some(successor)) if release.from != successor => {
                    let to = release.to.clone();
                    Some(RangeState::Releasing(self.release_again(now, successor, to)))
                }
                (RangeState::Held { .. }, None) if !present => {
                    Some(RangeState::Vacant { free_from: expires, to: None })
                }
                (RangeState::Releasing(release), _) if now >= expires => {
                    Some(RangeState::Vacant { free_from: now, to: release.to.clone() })
                }
                // The entry of a live target came back before its keys went elsewhere.
                (RangeState::Vacant { free_from, to: None }, None)
                    if present && now < *free_from =>
                {
                    Some(RangeState::Held { renew_at: now })
                }
                _ => None,
            };
            if let Some(state) = state {
                self.ranges.set_state(index, state);
            }
        }
    }

    /// Asks the process that follows a holder to give a range up. A new process holds nothing, but a
    /// grant names the target and not its process: one that was sent before the registration of the
    /// new process arrived is accepted by it.
    fn release_again(&mut self, now: Instant, successor: Holder, to: Option<Holder>) -> Release {
        Release::new(now, successor, self.ranges.take_epoch(), to)
    }

    fn release_leaving(&mut self, now: Instant) {
        if !self.members.iter().any(|member| self.is_eligible(member)) {
            return;
        }
        let leaving = self.members.iter().filter(|member| member.leaving);
        let leaving: Vec<Holder> = leaving.map(|member| member.holder.clone()).collect();
        for index in 0..self.ranges.len() {
            let from =
                leaving.iter().find(|holder| self.ranges.get(index).is_held_by(holder)).cloned();
            if let Some(from) = from {
                let release = Release::new(now, from, self.ranges.take_epoch(), None);
                self.ranges.set_state(index, RangeState::Releasing(release));
            }
        }
    }

    fn balance(&mut self, now: Instant) {
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + self.settings.balance_interval;
        self.fast.decay(now);
        self.slow.decay(now);
        let moving = self
            .ranges
            .iter()
            .filter(|held| matches!(held.state, RangeState::Releasing(_) | RangeState::Storing));
        let moving = moving.count();
        // A hot range is spread at once; what is uneven for long need not be.
        let (steady, hot) = (self.settings.moves_min, self.members.len() / MEMBERS_BY_MOVE);
        let free = steady.max(hot).saturating_sub(moving);
        let mut moves = Balancer::new(&self.fast, self.owned()).moves(free);
        if moves.is_empty() && now >= self.level_at {
            self.level_at = now + self.settings.level_interval;
            let free = steady.saturating_sub(moving);
            moves = Balancer::new(&self.slow, self.owned()).moves(free);
        }
        for next in moves {
            self.ranges.start_move(now, &next);
        }
    }

    /// Joins neighbouring ranges of one holder, when there are many ranges.
    fn merge(&mut self, now: Instant) {
        let members = self.members.len();
        let wanted = (members * RANGES_BY_MEMBER).min(members.max(RANGES_WANTED_MAX));
        if now < self.merge_at || self.ranges.len() <= wanted {
            return;
        }
        self.merge_at = now + self.settings.merge_interval;
        self.ranges.join_neighbours(self.settings.merges_max);
    }

    /// Returns the eligible members with the ranges that they hold.
    fn owned(&self) -> Vec<(Member, Vec<KeyRange>)> {
        let eligible = self.members.iter().filter(|member| self.is_eligible(member));
        let mut owned: Vec<_> = eligible.map(|member| (member.clone(), Vec::new())).collect();
        for held in self.ranges.iter() {
            let holder = match held.state {
                RangeState::Held { .. } | RangeState::Storing => held.holder.as_ref(),
                _ => None,
            };
            let found = holder
                .map(|holder| owned.binary_search_by(|(member, _)| member.holder.cmp(holder)));
            if let Some(Ok(index)) = found {
                owned[index].1.push(held.range);
            }
        }
        owned
    }

    /// Returns the member that a target is registered as at present.
    fn member(&self, target: &TargetId) -> Option<&Member> {
        let found = self.members.binary_search_by(|member| member.holder.target.cmp(target));
        found.ok().map(|index| &self.members[index])
    }

    fn is_eligible(&self, member: &Member) -> bool {
        member.eligible && !self.refused.iter().any(|(holder, _)| *holder == member.holder)
    }

    /// Chooses owners for vacant ranges.
    fn place(&mut self, now: Instant) {
        if !self.is_settled(now) {
            return;
        }
        let moves = self.authority.may_move(now);
        let members = &self.members;
        let returns = |held: &HeldRange, to: &Option<Holder>| {
            to.is_some()
                && *to == held.holder
                && members
                    .iter()
                    .any(|member| Some(&member.holder) == to.as_ref() && member.eligible)
        };
        let ready = |held: &HeldRange| match &held.state {
            RangeState::Vacant { free_from, to } => {
                let free = now >= *free_from || returns(held, to);
                free && (moves || held.holder.is_none())
            }
            _ => false,
        };
        if !self.ranges.iter().any(ready) || self.owned().is_empty() {
            return;
        }
        let vacant = self.ranges.take(ready);
        let load = std::mem::replace(&mut self.slow, KeyLoad::new(now, SLOW_LOAD));
        let mut shares = Balancer::new(&load, self.owned());
        let mut placed = Vec::new();
        for held in vacant {
            self.place_range(held, &mut shares, &mut placed);
        }
        drop(shares);
        self.slow = load;
        self.ranges.put_back(placed);
    }

    fn place_range(
        &mut self,
        held: HeldRange,
        shares: &mut Balancer<'_>,
        placed: &mut Vec<HeldRange>,
    ) {
        let chosen = match &held.state {
            RangeState::Vacant { to: Some(to), .. } => {
                self.members.iter().find(|member| member.holder == *to).cloned()
            }
            _ => None,
        };
        let chosen = chosen.filter(|member| self.is_eligible(member));
        let parts = match &chosen {
            Some(_) => vec![held.range],
            None => self.parts(held.range),
        };
        for range in parts {
            let member = match &chosen {
                Some(member) => member.clone(),
                None => match shares.least_busy() {
                    Some(member) => member.clone(),
                    None => return placed.push(held),
                },
            };
            shares.add(&member.holder, range);
            placed.push(self.ranges.reassigned(&held, range, member.holder));
        }
    }

    /// Splits the keys of a lost target, so that they do not all fall on one other.
    fn parts(&self, range: KeyRange) -> Vec<KeyRange> {
        let eligible = self.members.iter().filter(|member| self.is_eligible(member)).count();
        let eligible = u32::try_from(eligible.max(1)).unwrap_or(u32::MAX);
        let fair = (KeyRange::ALL.len() / eligible).max(1);
        let parts = match range == KeyRange::ALL {
            true => eligible,
            false => (range.len() * 4 / fair).clamp(1, PARTS_MAX).min(range.len()),
        };
        range.split(parts)
    }

    /// The first assignment waits until the targets of a new site have registered.
    fn is_settled(&self, now: Instant) -> bool {
        let assigned = self.ranges.iter().any(|held| held.holder.is_some());
        let quiet = now.saturating_since(self.members_changed) >= self.settings.settle;
        let late = now.saturating_since(self.started) >= self.settings.settle_max;
        assigned || (!self.members.is_empty() && (quiet || late))
    }

    fn renewals(&mut self, now: Instant) -> Vec<Order> {
        let (hold, hold_max) = (self.settings.hold, self.settings.hold_max());
        let call_timeout = self.settings.call_timeout;
        let mut orders = Vec::new();
        for held in self.ranges.iter_mut() {
            match (&mut held.state, &held.holder) {
                (RangeState::Held { renew_at }, Some(holder))
                    if !held.in_flight && now >= *renew_at =>
                {
                    held.in_flight = true;
                    held.expires = held.expires.max(now + call_timeout + hold_max);
                    orders.push(Order::Grant {
                        holder: holder.clone(),
                        range: held.range,
                        epoch: held.epoch,
                        hold,
                        handover: held.handover.clone(),
                    });
                }
                _ => {}
            }
        }
        orders
    }

    fn releases(&mut self, now: Instant) -> Vec<Order> {
        let mut orders = Vec::new();
        for held in self.ranges.iter_mut() {
            match &mut held.state {
                RangeState::Releasing(release) if !release.in_flight && now >= release.ask_at => {
                    release.in_flight = true;
                    let (holder, epoch) = (release.from.clone(), release.epoch);
                    orders.push(Order::Release { holder, range: held.range, epoch });
                }
                _ => {}
            }
        }
        orders
    }

    fn store(&mut self, now: Instant) -> Option<Order> {
        let waiting = self.ranges.iter().filter(|held| held.state == RangeState::Storing);
        let waiting: Vec<_> = waiting.map(|held| (held.range, held.epoch)).collect();
        if waiting.is_empty() || self.storing.is_some() || now < self.store_at {
            return None;
        }
        self.store_at = now + self.settings.store_interval;
        self.storing = Some(waiting);
        Some(Order::Store { table: self.table() })
    }
}
