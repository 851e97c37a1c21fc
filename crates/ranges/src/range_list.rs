//! All ranges of a back end as their granter knows them.

use std::slice::{Iter, IterMut};

use wagtailmoor_core::{Epoch, Instant};

use crate::held_range::{HeldRange, RangeState};
use crate::release::Release;
use crate::{Assignment, AssignmentTable, Holder, KeyRange, Move};

/// Epochs that a new granter skips: an earlier one may have used one to release each range without
/// storing it, and a row of the store has room for fewer ranges than this.
const EPOCH_GAP: u64 = 4_096;

/// All ranges of a back end, sorted and without gaps, and the highest epoch that was used.
#[derive(Debug)]
pub(crate) struct RangeList {
    ranges: Vec<HeldRange>,
    last_epoch: Epoch,
}

impl RangeList {
    /// Creates the list of a back end of which no key was ever granted.
    pub(crate) fn unassigned(now: Instant) -> Self {
        let ranges = vec![HeldRange::unassigned(KeyRange::ALL, now)];
        Self { ranges, last_epoch: Epoch::default() }
    }

    /// Creates the list from a stored table whose grants run out at an instant.
    pub(crate) fn from_table(now: Instant, expires: Instant, table: &AssignmentTable) -> Self {
        let held = table.iter().map(|assignment| HeldRange {
            range: assignment.range,
            holder: Some(assignment.holder.clone()),
            epoch: assignment.epoch,
            expires,
            confirmed_expires: expires,
            handover: None,
            in_flight: false,
            state: RangeState::Held { renew_at: now },
        });
        let gaps = table.gaps().into_iter().map(|range| HeldRange::unassigned(range, expires));
        let last_epoch = Epoch::new(table.last_epoch().get() + EPOCH_GAP);
        let mut list = Self { ranges: held.chain(gaps).collect(), last_epoch };
        list.sort();
        list
    }

    /// Returns the table as it is to be stored.
    pub(crate) fn table(&self) -> AssignmentTable {
        let mut table = AssignmentTable::default();
        for held in &self.ranges {
            if let Some(holder) = held.holder.clone() {
                table.insert(Assignment { range: held.range, holder, epoch: held.epoch });
            }
        }
        table.raise_epoch(self.last_epoch);
        table
    }

    /// Returns an epoch above all that were used.
    pub(crate) fn take_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Returns the number of ranges.
    pub(crate) fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Returns a range by its position.
    pub(crate) fn get(&self, index: usize) -> &HeldRange {
        &self.ranges[index]
    }

    /// Sets what happens to a range.
    pub(crate) fn set_state(&mut self, index: usize, state: RangeState) {
        self.ranges[index].state = state;
    }

    /// Iterates over the ranges in the order of their keys.
    pub(crate) fn iter(&self) -> Iter<'_, HeldRange> {
        self.ranges.iter()
    }

    /// The same for change.
    pub(crate) fn iter_mut(&mut self) -> IterMut<'_, HeldRange> {
        self.ranges.iter_mut()
    }

    /// Asks the holder of the keys of a move to give them up; the rest of its range stays.
    pub(crate) fn start_move(&mut self, now: Instant, next: &Move) {
        let found = self.ranges.iter().position(|held| {
            held.is_held_by(&next.from) && held.range.intersection(next.range) == Some(next.range)
        });
        let Some(found) = found else { return };
        let epoch = self.take_epoch();
        let whole = &self.ranges[found];
        let release = Release::new(now, next.from.clone(), epoch, Some(next.to.clone()));
        let state = RangeState::Releasing(release);
        let moved = HeldRange { state, ..whole.part(next.range) };
        let below = whole.range.below(next.range).map(|range| whole.part(range));
        let above = whole.range.above(next.range).map(|range| whole.part(range));
        let parts = [below, Some(moved), above].into_iter().flatten();
        self.ranges.splice(found..=found, parts);
    }

    /// Joins neighbouring ranges of one holder. The holder gets the whole under a new epoch and gives
    /// nothing up meanwhile.
    pub(crate) fn join_neighbours(&mut self, joins_max: usize) {
        let mut left = joins_max;
        let mut index = 0;
        while index + 1 < self.ranges.len() && left > 0 {
            let (held, next) = (&self.ranges[index], &self.ranges[index + 1]);
            if !held.can_join(next) {
                index += 1;
                continue;
            }
            let epoch = self.take_epoch();
            let next = self.ranges.remove(index + 1);
            let held = &mut self.ranges[index];
            held.range = held.range.joined(next.range);
            held.epoch = epoch;
            held.expires = held.expires.max(next.expires);
            held.confirmed_expires = held.confirmed_expires.max(next.confirmed_expires);
            held.state = RangeState::Storing;
            left -= 1;
            index += 1;
        }
    }

    /// Takes out the ranges for which a condition holds.
    pub(crate) fn take(&mut self, condition: impl Fn(&HeldRange) -> bool) -> Vec<HeldRange> {
        let ranges = std::mem::take(&mut self.ranges);
        let (taken, kept) = ranges.into_iter().partition(condition);
        self.ranges = kept;
        taken
    }

    /// Puts ranges back that were taken out, whole or in parts.
    pub(crate) fn put_back(&mut self, ranges: Vec<HeldRange>) {
        self.ranges.extend(ranges);
        self.sort();
    }

    /// Gives a range to a holder under a new epoch, once that is stored.
    pub(crate) fn reassigned(
        &mut self,
        held: &HeldRange,
        range: KeyRange,
        holder: Holder,
    ) -> HeldRange {
        HeldRange {
            holder: Some(holder),
            epoch: self.take_epoch(),
            in_flight: false,
            state: RangeState::Storing,
            ..held.part(range)
        }
    }

    fn sort(&mut self) {
        self.ranges.sort_by_key(|held| held.range);
    }
}
