//! Choice of targets for single units.

use std::time::Duration;

use crate::Unit;
use crate::placement;
use crate::target_table::{TargetEntry, TargetIndex, TargetTable};
use crate::turn::Turn;
use crate::unit_state::Recorded;

/// Targets that may be recorded as successors.
pub(crate) struct Successors<'a> {
    targets: &'a TargetTable,
    allowed: Vec<bool>,
    usable: Vec<TargetIndex>,
}

impl<'a> Successors<'a> {
    pub(crate) fn new(turn: &Turn<'_>, targets: &'a TargetTable) -> Self {
        let patience = Duration::from_millis(turn.settings.successor_patience_ms);
        let allowed =
            targets.iter().map(|(_, entry)| entry.can_succeed(turn.now, patience)).collect();
        let usable = targets.iter().filter(|(_, entry)| entry.is_usable());
        Self { targets, allowed, usable: usable.map(|(index, _)| index).collect() }
    }

    pub(crate) fn keeps(&self, desired: Recorded) -> bool {
        match desired.successor {
            Some(target) => self.allowed[target as usize] && target != desired.owner,
            None => !self.usable.iter().any(|target| *target != desired.owner),
        }
    }

    pub(crate) fn complete(&self, unit: Unit, desired: Recorded) -> Recorded {
        if self.keeps(desired) {
            return desired;
        }
        let score = |target: &TargetIndex| {
            let entry = self.targets.at(*target);
            placement::score(unit_hash(unit), &entry.target, entry.capacity)
        };
        let others = self.usable.iter().filter(|target| **target != desired.owner);
        let successor = others.max_by(|left, right| score(left).total_cmp(&score(right))).copied();
        Recorded { successor, ..desired }
    }
}

/// Returns the hash by which targets are ranked for a unit.
pub(crate) fn unit_hash(unit: Unit) -> u64 {
    match unit {
        Unit::Slot(slot) => u64::from(slot.get()),
        Unit::HotKey(key) => key.get(),
    }
}

/// Returns the allowed target that ranks first for a hash.
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
