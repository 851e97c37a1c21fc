//! Planned moves within a zone, and splits and merges of hot keys.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use wagtailmoor_core::{KeyHash, SlotId, SortedVec};

use crate::back_end::BackEnd;
use crate::row_state::RowState;
use crate::successors::unit_hash;
use crate::target_table::{TargetEntry, TargetIndex, TargetTable};
use crate::turn::Turn;
use crate::unit_state::UnitState;
use crate::{Candidate, HotKeyChange, Item, Placement, TargetState, Unit};

impl BackEnd {
    /// Plans moves off targets that leave or are above the cap.
    pub(crate) fn plan_moves(&mut self, turn: &Turn<'_>) {
        let interval = Duration::from_millis(turn.settings.plan_ms);
        let due = self.last_plan.is_none_or(|last| turn.now >= last + interval);
        if !due || !self.store_ok || turn.out_since.is_some() {
            return;
        }
        self.last_plan = Some(turn.now);
        self.plan_hot_keys(turn);
        let moving = self.rows.iter().flat_map(RowState::units);
        let moving = moving.filter(|(_, unit)| unit.move_to.is_some()).count();
        let budget = (turn.settings.moves as usize).saturating_sub(moving);
        for (row, unit, to) in self.wanted_moves(turn).into_iter().take(budget) {
            if let Some(state) = self.rows[row].unit_mut(unit) {
                state.move_to = Some(to);
            }
        }
    }

    fn wanted_moves(&mut self, turn: &Turn<'_>) -> Vec<(usize, Unit, TargetIndex)> {
        let usable: Vec<TargetIndex> = self
            .targets
            .iter()
            .filter(|(_, entry)| entry.is_usable())
            .map(|(index, _)| index)
            .collect();
        let positions: SortedVec<TargetIndex, usize> =
            usable.iter().enumerate().map(|(position, target)| (*target, position)).collect();
        let movable = self.movable_units(turn);
        let item = |(_, unit, state): &(usize, Unit, &UnitState)| Item {
            hash: unit_hash(*unit),
            heat: state.heat.max(1),
            owner: state.holder.and_then(|holder| positions.get(&holder.target).copied()),
            successor: None,
        };
        let items: Vec<Item> = movable.iter().map(item).collect();
        let plan = fingerprint(&usable, &items);
        if self.balanced == Some(plan) {
            return Vec::new();
        }
        let Some(placed) = placement(turn, &self.targets, &usable).place(&items) else {
            return Vec::new();
        };
        let settled = self.is_settled(turn);
        let changed = movable.iter().zip(&items).zip(placed).filter(|((_, item), placed)| {
            item.owner.is_none_or(|owner| settled && owner != placed.owner)
        });
        let wanted: Vec<_> = changed
            .map(|(((row, unit, _), _), placed)| (*row, *unit, usable[placed.owner]))
            .collect();
        self.balanced = (wanted.is_empty() && settled).then_some(plan);
        wanted
    }

    // After a loss the load is not rebalanced, so that no key is interrupted twice.
    fn is_settled(&self, turn: &Turn<'_>) -> bool {
        let settle = Duration::from_millis(turn.settings.settle_ms);
        let missing = |entry: &TargetEntry| {
            entry.can_own() && !entry.is_usable() && turn.now < entry.last_reply + settle
        };
        let failover = self.last_failover.is_some_and(|last| turn.now < last + settle);
        !failover && !self.targets.iter().any(|(_, entry)| missing(entry))
    }

    // Units of a lost target are left to failover.
    fn movable_units(&self, turn: &Turn<'_>) -> Vec<(usize, Unit, &UnitState)> {
        let mut movable = Vec::new();
        for (index, row) in self.rows.iter().enumerate() {
            if row.home.as_ref() != Some(turn.zone) || row.rehome.is_some() || row.is_exclusive() {
                continue;
            }
            let units = row.units().filter(|(_, unit)| unit.is_movable(&self.targets));
            movable.extend(units.map(|(unit, state)| (index, unit, state)));
        }
        movable
    }

    pub(crate) fn on_heat(&mut self, slots: &[(SlotId, u32)], keys: &[(KeyHash, u32)]) {
        for (slot, heat) in slots {
            let row = self.rows.iter_mut().find(|row| row.unit(Unit::Slot(*slot)).is_some());
            if let Some(state) = row.and_then(|row| row.unit_mut(Unit::Slot(*slot))) {
                state.heat = *heat;
            }
        }
        for (key, heat) in keys {
            let mut rows = self.rows.iter_mut();
            if let Some(state) = rows.find_map(|row| row.hot_keys.get_mut(key)) {
                state.heat = *heat;
            }
        }
        self.key_heat = keys.to_vec();
    }

    fn plan_hot_keys(&mut self, turn: &Turn<'_>) {
        let Some(capacity) = self.settings.target_capacity else { return };
        let rows = || self.rows.iter().filter(|row| row.home.as_ref() == Some(turn.zone));
        let split: Vec<KeyHash> = rows().flat_map(|row| row.hot_keys.keys().copied()).collect();
        let changes = self.rule.decide(turn.now, capacity.get(), &self.key_heat, &split);
        let slots = self.slots(turn.settings);
        for change in changes {
            let (HotKeyChange::Split(key) | HotKeyChange::Merge(key)) = change;
            let Some(row) = self.rows.iter_mut().find(|row| row.slot_of(key, slots).is_some())
            else {
                continue;
            };
            if row.home.as_ref() == Some(turn.zone) {
                row.change_hot_key(change, slots);
            }
        }
    }
}

impl RowState {
    fn change_hot_key(&mut self, change: HotKeyChange, slots: u32) {
        if self.in_flight.is_some() || self.rehome.is_some() {
            return;
        }
        match change {
            HotKeyChange::Split(key) => {
                let Some(position) = self.slot_of(key, slots) else { return };
                if self.slots[position].is_settled() {
                    self.split = Some(key);
                }
            }
            HotKeyChange::Merge(key) => {
                if let Some(unit) = self.hot_keys.get_mut(&key).filter(|unit| unit.is_settled()) {
                    unit.merging = true;
                }
            }
        }
    }
}

impl UnitState {
    /// Returns whether the recorded owner holds the unit and nothing else is under way.
    pub(crate) fn is_settled(&self) -> bool {
        let Some(holder) = self.holder.filter(|holder| holder.confirmed) else { return false };
        let Some(recorded) = self.recorded else { return false };
        holder.revoking.is_none()
            && (holder.target, holder.epoch) == (recorded.owner, recorded.epoch)
            && self.proposed.is_none()
            && self.move_to.is_none()
            && !self.merging
    }

    fn is_movable(&self, targets: &TargetTable) -> bool {
        let Some(holder) = self.holder.filter(|_| self.is_settled()) else { return false };
        let entry = targets.at(holder.target);
        entry.is_usable() || entry.state == TargetState::Leaving
    }
}

// Placement ranks every item for every target, so it is skipped while nothing has changed.
fn fingerprint(usable: &[TargetIndex], items: &[Item]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (usable, items).hash(&mut hasher);
    hasher.finish()
}

fn placement(turn: &Turn<'_>, targets: &TargetTable, usable: &[TargetIndex]) -> Placement {
    let candidate = |index: &TargetIndex| {
        let entry = targets.at(*index);
        Candidate { target: entry.target.clone(), capacity: entry.capacity }
    };
    Placement::new(usable.iter().map(candidate).collect(), turn.settings.cap_ppm)
}
