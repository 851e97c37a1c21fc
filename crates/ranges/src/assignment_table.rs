//! The owners of all keys of a back end.

use wagtailmoor_core::{Epoch, ShardKey};
use wagtailmoor_derive::value;

use crate::compact_table::CompactTable;
use crate::{Assignment, Holder, KeyRange};

/// The owners of all keys of a back end, as they are stored.
///
/// Ranges never overlap and are sorted. A key without an assignment was never granted, or was
/// released and not granted again.
#[value]
#[derive(Default)]
#[serde(into = "CompactTable", try_from = "CompactTable")]
pub struct AssignmentTable {
    assignments: Vec<Assignment>,
    last_epoch: Epoch,
}

impl AssignmentTable {
    /// Returns the assignment of a key.
    pub fn owner(&self, key: ShardKey) -> Option<&Assignment> {
        let after = self.assignments.partition_point(|known| known.range.first() <= key);
        let candidate = &self.assignments[after.checked_sub(1)?];
        candidate.range.contains(key).then_some(candidate)
    }

    /// Takes a range from its owners and gives it to `holder` under a new epoch.
    pub fn assign(&mut self, range: KeyRange, holder: Holder) -> Epoch {
        let epoch = self.take_epoch();
        self.insert(Assignment { range, holder, epoch });
        epoch
    }

    /// Returns an epoch above all that were used.
    pub fn take_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Returns the highest epoch that was used.
    pub fn last_epoch(&self) -> Epoch {
        self.last_epoch
    }

    /// Notes that epochs up to this one were used.
    pub fn raise_epoch(&mut self, used: Epoch) {
        self.last_epoch = self.last_epoch.max(used);
    }

    /// Puts an assignment in the place of what its range held before.
    pub fn insert(&mut self, assignment: Assignment) {
        let at = self.remove(assignment.range);
        self.raise_epoch(assignment.epoch);
        self.assignments.insert(at, assignment);
    }

    /// Takes a range from its owners; returns the position at which an assignment of it belongs.
    pub fn remove(&mut self, range: KeyRange) -> usize {
        let first = self.assignments.partition_point(|known| known.range.last() < range.first());
        let end = self.assignments.partition_point(|known| known.range.first() <= range.last());
        let overlapping = &self.assignments[first..end];
        let part = |known: &Assignment, range| Assignment { range, ..known.clone() };
        let below =
            overlapping.first().and_then(|known| Some(part(known, known.range.below(range)?)));
        let above =
            overlapping.last().and_then(|known| Some(part(known, known.range.above(range)?)));
        let at = first + usize::from(below.is_some());
        self.assignments.splice(first..end, below.into_iter().chain(above));
        at
    }

    /// Iterates over the assignments in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments.iter()
    }

    /// Returns the number of assignments.
    pub fn len(&self) -> usize {
        self.assignments.len()
    }

    /// Returns whether no key is assigned.
    pub fn is_empty(&self) -> bool {
        self.assignments.is_empty()
    }

    /// Returns the ranges that nobody owns.
    pub fn gaps(&self) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut rest = Some(KeyRange::ALL);
        for known in &self.assignments {
            let Some(left) = rest else { break };
            gaps.extend(left.below(known.range));
            rest = left.above(known.range);
        }
        gaps.extend(rest);
        gaps
    }
}
