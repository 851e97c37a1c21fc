//! The table of range owners of a back end.

use wagtailmoor_core::{Epoch, ShardKey};
use wagtailmoor_derive::value;

use crate::compact_table::CompactTable;
use crate::{Assignment, KeyRange, TargetProcess};

/// The owners of all keys of a back end, as written to the store.
///
/// Ranges are sorted and never overlap. A key without an assignment has never been granted, or has
/// been released and not granted again.
#[value]
#[derive(Default)]
#[serde(into = "CompactTable", try_from = "CompactTable")]
pub struct AssignmentTable {
    assignments: Vec<Assignment>,
    last_epoch: Epoch,
}

impl AssignmentTable {
    /// Returns the assignment that covers a key, or `None` if the key has no owner.
    pub fn assignment_of(&self, key: ShardKey) -> Option<&Assignment> {
        let after = self.assignments.partition_point(|assignment| assignment.range.first() <= key);
        let candidate = &self.assignments[after.checked_sub(1)?];
        candidate.range.contains(key).then_some(candidate)
    }

    /// Assigns a range to `owner` under a new epoch, in place of its previous owners.
    pub fn assign(&mut self, range: KeyRange, owner: TargetProcess) -> Epoch {
        let epoch = self.allocate_epoch();
        self.insert(Assignment { range, owner, epoch });
        epoch
    }

    /// Allocates an epoch that is higher than any used before.
    pub fn allocate_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Returns the highest epoch used so far.
    pub fn last_epoch(&self) -> Epoch {
        self.last_epoch
    }

    /// Marks all epochs up to `used` as used.
    pub fn mark_epochs_used(&mut self, used: Epoch) {
        self.last_epoch = self.last_epoch.max(used);
    }

    /// Inserts an assignment in place of all previous assignments of its range.
    pub fn insert(&mut self, assignment: Assignment) {
        let index = self.remove(assignment.range);
        self.mark_epochs_used(assignment.epoch);
        self.assignments.insert(index, assignment);
    }

    /// Removes a range from the table. Returns the index at which to insert a new assignment of it.
    pub fn remove(&mut self, range: KeyRange) -> usize {
        let first =
            self.assignments.partition_point(|assignment| assignment.range.last() < range.first());
        let end =
            self.assignments.partition_point(|assignment| assignment.range.first() <= range.last());
        let overlapping = &self.assignments[first..end];
        let part = |assignment: &Assignment, range| Assignment { range, ..assignment.clone() };
        let below = overlapping
            .first()
            .and_then(|assignment| Some(part(assignment, assignment.range.below(range)?)));
        let above = overlapping
            .last()
            .and_then(|assignment| Some(part(assignment, assignment.range.above(range)?)));
        let index = first + usize::from(below.is_some());
        self.assignments.splice(first..end, below.into_iter().chain(above));
        index
    }

    /// Iterates over the assignments in key order.
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

    /// Returns the ranges that have no owner, in key order.
    pub fn gaps(&self) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut rest = Some(KeyRange::ALL);
        for assignment in &self.assignments {
            let Some(uncovered) = rest else { break };
            gaps.extend(uncovered.below(assignment.range));
            rest = uncovered.above(assignment.range);
        }
        gaps.extend(rest);
        gaps
    }
}
