//! Choice of successors and owners for single units.

use std::time::Duration;

use crate::Unit;
use crate::context::Context;
use crate::placement;
use crate::target_table::{TargetEntry, TargetIndex, TargetTable};
use crate::unit_state::IndexedAssignment;

/// Targets that may be recorded as successors.
pub(crate) struct Successors<'a> {
    targets: &'a TargetTable,
    allowed: Vec<bool>,
    usable: Vec<TargetIndex>,
}

impl<'a> Successors<'a> {
    pub(crate) fn new(context: &Context<'_>, targets: &'a TargetTable) -> Self {
        let timeout = Duration::from_millis(context.settings.successor_timeout_ms);
        let allowed =
            targets.iter().map(|(_, entry)| entry.can_succeed(context.now, timeout)).collect();
        let usable = targets.iter().filter(|(_, entry)| entry.is_usable());
        Self { targets, allowed, usable: usable.map(|(index, _)| index).collect() }
    }

    pub(crate) fn is_valid(&self, desired: IndexedAssignment) -> bool {
        match desired.successor {
            Some(target) => self.allowed[target as usize] && target != desired.owner,
            None => !self.usable.iter().any(|target| *target != desired.owner),
        }
    }

    pub(crate) fn with_successor(
        &self,
        unit: Unit,
        desired: IndexedAssignment,
    ) -> IndexedAssignment {
        if self.is_valid(desired) {
            return desired;
        }
        let score = |target: &TargetIndex| {
            let entry = self.targets.at(*target);
            placement::score(unit_hash(unit), &entry.target, entry.capacity)
        };
        let others = self.usable.iter().filter(|target| **target != desired.owner);
        let successor = others.max_by(|left, right| score(left).total_cmp(&score(right))).copied();
        IndexedAssignment { successor, ..desired }
    }
}

/// Returns the hash that ranks targets for a unit.
pub(crate) fn unit_hash(unit: Unit) -> u64 {
    match unit {
        Unit::Slot(slot) => u64::from(slot.get()),
        Unit::HotKey(key) => key.get(),
    }
}

/// Returns the target that ranks first for a hash among those that `allowed` accepts.
pub(crate) fn best(
    targets: &TargetTable,
    hash: u64,
    allowed: impl Fn(&TargetEntry) -> bool,
) -> Option<TargetIndex> {
    let candidates = targets.iter().filter(|(_, entry)| allowed(entry));
    let score = |entry: &TargetEntry| placement::score(hash, &entry.target, entry.capacity);
    candidates
        .max_by(|(_, left), (_, right)| score(left).total_cmp(&score(right)))
        .map(|(index, _)| index)
}
