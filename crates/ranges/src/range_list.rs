//! All ranges of a back end, on the leader.

use std::slice::{Iter, IterMut};

use wagtailmoor_core::{Epoch, Instant};

use crate::epoch_source::EpochSource;
use crate::range_entry::{RangeEntry, RangeState};
use crate::release::Release;
use crate::{Assignment, AssignmentTable, EpochBlock, KeyRange, Move, TargetProcess};

/// All ranges of a back end, sorted and without gaps, and the source of their epochs.
#[derive(Debug)]
pub(crate) struct RangeList {
    entries: Vec<RangeEntry>,
    epochs: EpochSource,
}

impl RangeList {
    /// Creates the list of a back end whose keys never had an owner.
    pub(crate) fn unassigned(now: Instant) -> Self {
        let entries = vec![RangeEntry::unassigned(KeyRange::ALL, now)];
        Self { entries, epochs: EpochSource::default() }
    }

    /// Creates the list from a stored table whose grants expire at `expires` at the latest.
    pub(crate) fn from_table(now: Instant, expires: Instant, table: &AssignmentTable) -> Self {
        let assigned = table.iter().map(|assignment| RangeEntry {
            range: assignment.range,
            owner: Some(assignment.owner.clone()),
            epoch: assignment.epoch,
            expires,
            confirmed_expires: expires,
            handover: None,
            in_flight: false,
            state: RangeState::Granted { renew_at: now },
        });
        let gaps = table.gaps().into_iter().map(|range| RangeEntry::unassigned(range, expires));
        let epochs = EpochSource::following(table);
        let mut list = Self { entries: assigned.chain(gaps).collect(), epochs };
        list.sort();
        list
    }

    /// Creates the list of a back end whose owners are not known. All grants expire at `expires` at
    /// the latest. Ranges then return to the owners in `known` where these can own them.
    pub(crate) fn expiring(expires: Instant, known: &AssignmentTable) -> Self {
        let vacant = |range, to| RangeEntry {
            state: RangeState::Vacant { free_from: expires, to },
            ..RangeEntry::unassigned(range, expires)
        };
        let known_ranges = known.iter().map(|known| vacant(known.range, Some(known.owner.clone())));
        let gaps = known.gaps().into_iter().map(|range| vacant(range, None));
        let epochs = EpochSource::following(known);
        let mut list = Self { entries: known_ranges.chain(gaps).collect(), epochs };
        list.sort();
        list
    }

    /// Uses only epochs of a block from now on.
    pub(crate) fn use_block(&mut self, block: &EpochBlock) {
        self.epochs.use_block(block);
    }

    /// Returns the source of epochs.
    pub(crate) fn epochs(&self) -> &EpochSource {
        &self.epochs
    }

    /// Gives each owner an epoch of a new era. No grant that any process sent before expires before
    /// `others_expire`. The next grants and releases use the new epochs; the outcomes of those in
    /// flight no longer count.
    pub(crate) fn enter_era(&mut self, now: Instant, block: &EpochBlock, others_expire: Instant) {
        self.use_block(block);
        for index in 0..self.entries.len() {
            let epoch = self.allocate_epoch();
            let release_epoch = self.allocate_epoch();
            let entry = &mut self.entries[index];
            entry.expires = entry.expires.max(others_expire);
            // A grant in flight may have been accepted.
            entry.confirmed_expires = entry.expires;
            entry.in_flight = false;
            entry.epoch = epoch;
            match &mut entry.state {
                RangeState::Granted { renew_at } => *renew_at = now,
                RangeState::Releasing(release) => {
                    release.epoch = release_epoch;
                    release.in_flight = false;
                    release.call_at = now;
                }
                RangeState::Vacant { free_from, .. } => {
                    *free_from = (*free_from).max(others_expire)
                }
                // Another leader may have granted the range to its previous owner again, by a table
                // without this assignment, which the restore lost. The owner of a merged range has
                // grants of this process besides.
                RangeState::Storing if now < others_expire => {
                    let to = entry.owner.take();
                    entry.state = RangeState::Vacant { free_from: entry.expires, to };
                }
                RangeState::Storing => {}
            }
        }
    }

    /// Returns the table to store.
    pub(crate) fn table(&self) -> AssignmentTable {
        let mut table = AssignmentTable::default();
        for entry in &self.entries {
            if let Some(owner) = entry.owner.clone() {
                table.insert(Assignment { range: entry.range, owner, epoch: entry.epoch });
            }
        }
        table.mark_epochs_used(self.epochs.last());
        table
    }

    /// Allocates an epoch that is higher than any used before.
    pub(crate) fn allocate_epoch(&mut self) -> Epoch {
        self.epochs.allocate()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, index: usize) -> &RangeEntry {
        &self.entries[index]
    }

    pub(crate) fn set_state(&mut self, index: usize, state: RangeState) {
        self.entries[index].state = state;
    }

    /// Iterates over the ranges in key order.
    pub(crate) fn iter(&self) -> Iter<'_, RangeEntry> {
        self.entries.iter()
    }

    /// Iterates mutably over the ranges in key order.
    pub(crate) fn iter_mut(&mut self) -> IterMut<'_, RangeEntry> {
        self.entries.iter_mut()
    }

    /// Starts the release of the keys of a move. The owner keeps the rest of the range.
    pub(crate) fn start_move(&mut self, now: Instant, next: &Move) {
        let index = self.entries.iter().position(|entry| {
            entry.is_granted_to(&next.from)
                && entry.range.intersection(next.range) == Some(next.range)
        });
        let Some(index) = index else { return };
        let epoch = self.allocate_epoch();
        let whole = &self.entries[index];
        let release = Release::new(now, next.from.clone(), epoch, Some(next.to.clone()));
        let state = RangeState::Releasing(release);
        let moved = RangeEntry { state, ..whole.part(next.range) };
        let below = whole.range.below(next.range).map(|range| whole.part(range));
        let above = whole.range.above(next.range).map(|range| whole.part(range));
        let parts = [below, Some(moved), above].into_iter().flatten();
        self.entries.splice(index..=index, parts);
    }

    /// Merges up to `merges_max` pairs of adjacent ranges of the same owner. The owner is granted
    /// the merged range under a new epoch and keeps both ranges meanwhile.
    pub(crate) fn merge_adjacent(&mut self, merges_max: usize) {
        let mut remaining = merges_max;
        let mut index = 0;
        while index + 1 < self.entries.len() && remaining > 0 {
            let (entry, next) = (&self.entries[index], &self.entries[index + 1]);
            if !entry.can_merge_with(next) {
                index += 1;
                continue;
            }
            let epoch = self.allocate_epoch();
            let next = self.entries.remove(index + 1);
            let entry = &mut self.entries[index];
            entry.range = entry.range.merged_with(next.range);
            entry.epoch = epoch;
            entry.expires = entry.expires.max(next.expires);
            entry.confirmed_expires = entry.confirmed_expires.max(next.confirmed_expires);
            entry.state = RangeState::Storing;
            remaining -= 1;
            index += 1;
        }
    }

    /// Removes and returns the ranges that satisfy `condition`.
    pub(crate) fn extract(&mut self, condition: impl Fn(&RangeEntry) -> bool) -> Vec<RangeEntry> {
        let entries = std::mem::take(&mut self.entries);
        let (extracted, kept) = entries.into_iter().partition(condition);
        self.entries = kept;
        extracted
    }

    /// Inserts ranges, which must fill the gaps that [`RangeList::extract`] left.
    pub(crate) fn insert(&mut self, entries: Vec<RangeEntry>) {
        self.entries.extend(entries);
        self.sort();
    }

    /// Returns a part of `entry` with a new owner and epoch, to be granted once it is stored.
    pub(crate) fn reassigned(
        &mut self,
        entry: &RangeEntry,
        range: KeyRange,
        owner: TargetProcess,
    ) -> RangeEntry {
        RangeEntry {
            owner: Some(owner),
            epoch: self.allocate_epoch(),
            in_flight: false,
            state: RangeState::Storing,
            ..entry.part(range)
        }
    }

    fn sort(&mut self) {
        self.entries.sort_by_key(|entry| entry.range);
    }
}
