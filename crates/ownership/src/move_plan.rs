//! Planned moves within a zone, and splits and merges of hot keys.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use wagtailmoor_core::{KeyHash, SlotId, SortedVec};

use crate::back_end::BackEnd;
use crate::context::Context;
use crate::row_state::RowState;
use crate::successors::unit_hash;
use crate::target_table::{TargetEntry, TargetIndex, TargetTable};
use crate::unit_state::UnitState;
use crate::{Candidate, HotKeyChange, Item, Placement, TargetState, Unit};

impl BackEnd {
    /// Plans moves of units away from targets that are leaving or above the load cap, and to
    /// targets with too little load.
    pub(crate) fn plan_moves(&mut self, context: &Context<'_>) {
        let interval = Duration::from_millis(context.settings.plan_interval_ms);
        let due = self.last_plan.is_none_or(|last| context.now >= last + interval);
        if !due || !self.store_available || context.out_since.is_some() {
            return;
        }
        self.last_plan = Some(context.now);
        self.plan_hot_keys(context);
        let moving = self.rows.iter().flat_map(RowState::units);
        let moving = moving.filter(|(_, unit)| unit.move_to.is_some()).count();
        let budget = (context.settings.max_moves as usize).saturating_sub(moving);
        for (row, unit, to) in self.planned_moves(context).into_iter().take(budget) {
            if let Some(state) = self.rows[row].unit_mut(unit) {
                state.move_to = Some(to);
            }
        }
    }

    fn planned_moves(&mut self, context: &Context<'_>) -> Vec<(usize, Unit, TargetIndex)> {
        let usable: Vec<TargetIndex> = self
            .targets
            .iter()
            .filter(|(_, entry)| entry.is_usable())
            .map(|(index, _)| index)
            .collect();
        let positions: SortedVec<TargetIndex, usize> =
            usable.iter().enumerate().map(|(position, target)| (*target, position)).collect();
        let movable = self.movable_units(context);
        let item = |(_, unit, state): &(usize, Unit, &UnitState)| Item {
            hash: unit_hash(*unit),
            heat: state.heat.max(1),
            owner: state.grantee.and_then(|grantee| positions.get(&grantee.target).copied()),
            successor: None,
        };
        let items: Vec<Item> = movable.iter().map(item).collect();
        let input_fingerprint = fingerprint(&usable, &items);
        if self.balanced_fingerprint == Some(input_fingerprint) {
            return Vec::new();
        }
        let Some(placed) = placement(context, &self.targets, &usable).place(&items) else {
            return Vec::new();
        };
        let settled = self.is_settled(context);
        let changed = movable.iter().zip(&items).zip(placed).filter(|((_, item), placed)| {
            item.owner.is_none_or(|owner| settled && owner != placed.owner)
        });
        let planned: Vec<_> = changed
            .map(|(((row, unit, _), _), placed)| (*row, *unit, usable[placed.owner]))
            .collect();
        self.balanced_fingerprint = (planned.is_empty() && settled).then_some(input_fingerprint);
        planned
    }

    // Load is not rebalanced soon after the loss of a target, so that no key is interrupted twice.
    fn is_settled(&self, context: &Context<'_>) -> bool {
        let settle = Duration::from_millis(context.settings.settle_ms);
        let missing = |entry: &TargetEntry| {
            entry.can_own() && !entry.is_usable() && context.now < entry.last_reply + settle
        };
        let failover = self.last_failover.is_some_and(|last| context.now < last + settle);
        !failover && !self.targets.iter().any(|(_, entry)| missing(entry))
    }

    // Excludes units of a lost target, which failover handles.
    fn movable_units(&self, context: &Context<'_>) -> Vec<(usize, Unit, &UnitState)> {
        let mut movable = Vec::new();
        for (index, row) in self.rows.iter().enumerate() {
            if row.home.as_ref() != Some(context.zone) || row.rehome.is_some() || row.is_exclusive()
            {
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

    fn plan_hot_keys(&mut self, context: &Context<'_>) {
        let Some(capacity) = self.settings.target_capacity else { return };
        let rows = || self.rows.iter().filter(|row| row.home.as_ref() == Some(context.zone));
        let split: Vec<KeyHash> = rows().flat_map(|row| row.hot_keys.keys().copied()).collect();
        let changes = self.heat_rule.decide(context.now, capacity.get(), &self.key_heat, &split);
        let slots = self.slots(context.settings);
        for change in changes {
            let (HotKeyChange::Split(key) | HotKeyChange::Merge(key)) = change;
            let Some(row) = self.rows.iter_mut().find(|row| row.slot_of(key, slots).is_some())
            else {
                continue;
            };
            if row.home.as_ref() == Some(context.zone) {
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
    /// Returns whether the recorded owner has a confirmed grant and no change of the unit is
    /// pending.
    pub(crate) fn is_settled(&self) -> bool {
        let Some(grantee) = self.grantee.filter(|grantee| grantee.confirmed) else { return false };
        let Some(recorded) = self.recorded else { return false };
        grantee.revoking.is_none()
            && (grantee.target, grantee.epoch) == (recorded.owner, recorded.epoch)
            && self.proposed.is_none()
            && self.move_to.is_none()
            && !self.merging
    }

    fn is_movable(&self, targets: &TargetTable) -> bool {
        let Some(grantee) = self.grantee.filter(|_| self.is_settled()) else { return false };
        let entry = targets.at(grantee.target);
        entry.is_usable() || entry.state == TargetState::Leaving
    }
}

// Placement ranks every target for every item, so it is skipped while its input is unchanged.
fn fingerprint(usable: &[TargetIndex], items: &[Item]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (usable, items).hash(&mut hasher);
    hasher.finish()
}

fn placement(context: &Context<'_>, targets: &TargetTable, usable: &[TargetIndex]) -> Placement {
    let candidate = |index: &TargetIndex| {
        let entry = targets.at(*index);
        Candidate { target: entry.target.clone(), capacity: entry.capacity }
    };
    Placement::new(usable.iter().map(candidate).collect(), context.settings.cap_ppm)
}
