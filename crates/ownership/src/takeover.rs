//! Asking targets what they hold.

use std::time::Duration;

use wagtailmoor_core::{Instant, KeyHash};

use crate::back_end::BackEnd;
use crate::row_state::RowState;
use crate::target_table::{Call, TargetIndex};
use crate::turn::{Ids, Turn};
use crate::{GrantReply, HeldReply, HeldRoutes, HeldUnit, Output, QueryHeld, TargetState, Unit};

impl BackEnd {
    /// Queries targets that were not asked under this authority or did not reply to the last call.
    pub(crate) fn query_targets(&mut self, turn: &Turn<'_>, ids: &mut Ids, out: &mut Vec<Output>) {
        // Replies are compared with the rows, so these have to be known first.
        if self.is_unchecked() || self.rows.iter().any(|row| !row.known) {
            return;
        }
        let interval = Duration::from_millis(turn.settings.query_ms);
        for entry in self.targets.iter_mut().filter(|entry| entry.local) {
            if entry.call.is_some_and(|call| turn.now >= call.sent + turn.settings.call_timeout()) {
                entry.call = None;
                entry.reachable = false;
            }
            let settled = entry.reachable && entry.queried;
            let due = entry.last_call.is_none_or(|last| turn.now >= last + interval);
            if settled || entry.call.is_some() || !due || entry.state == TargetState::Gone {
                continue;
            }
            let query_id = ids.grant();
            entry.call = Some(Call { id: query_id, sent: turn.now, fresh: false });
            entry.last_call = Some(turn.now);
            let (target, back_end) = (entry.target.clone(), self.settings.back_end.clone());
            out.push(Output::QueryHeld(QueryHeld { target, back_end, query_id }));
        }
    }

    /// Returns whether a target has yet to say what it holds.
    pub(crate) fn is_asking(&self) -> bool {
        !self.is_unchecked()
            && self.targets.iter().any(|(_, entry)| entry.can_own() && !entry.queried)
    }

    pub(crate) fn on_held(&mut self, turn: &Turn<'_>, reply: &HeldReply) {
        let Some(index) = self.targets.find(&reply.target) else { return };
        let entry = self.targets.at_mut(index);
        if !entry.replied(turn.now, reply.query_id, reply.clock) {
            return;
        }
        entry.queried = true;
        // A renewal is due: the lease that the target reports started under the earlier controller.
        entry.last_renewal = None;
        let zone = turn.zone.clone();
        let slots = self.slots(turn.settings);
        let is_hot = |held: &&HeldUnit| matches!(held.unit, Unit::HotKey(_));
        let hot: Vec<HeldUnit> = reply.held.iter().filter(is_hot).copied().collect();
        for held in &reply.held {
            let row = row_of(&mut self.rows, held.unit, slots);
            let Some(row) = row.filter(|row| row.home.as_ref() == Some(&zone)) else { continue };
            let known = row.knows_splits(held.unit, &reply.split_keys, slots)
                && row.knows_hot_keys(held, &hot, slots);
            row.on_held_unit(turn.now, index, held, known);
        }
    }

    /// Takes over the owners of unchecked targets from routes that were pulled so recently that the
    /// earlier controller cannot have withdrawn one and waited for its route leases.
    pub(crate) fn on_held_routes(&mut self, turn: &Turn<'_>, routes: &HeldRoutes) {
        let age = turn.authority.start.saturating_since(routes.asked_at);
        let recent = turn.settings.with_drift(age) < turn.settings.lease();
        if !self.is_unchecked() || !turn.active || !recent {
            return;
        }
        let slots = self.slots(turn.settings);
        let hot_key = |unit: &Unit| match unit {
            Unit::HotKey(key) => Some(*key),
            Unit::Slot(_) => None,
        };
        let mut split: Vec<KeyHash> =
            routes.units.iter().filter_map(|(unit, ..)| hot_key(unit)).collect();
        split.sort_unstable();
        for (unit, target, epoch) in &routes.units {
            let Some(index) = self.targets.find(target) else { continue };
            let row = row_of(&mut self.rows, *unit, slots);
            let Some(row) = row.filter(|row| row.home.as_ref() == Some(turn.zone)) else {
                continue;
            };
            let known = row.knows_splits(*unit, &split, slots);
            let held =
                HeldUnit { unit: *unit, epoch: *epoch, remaining_ms: turn.settings.lease_ms };
            if known {
                row.on_held_unit(turn.now, index, &held, known);
            }
        }
    }

    /// Returns whether anything may be due before the next tick.
    pub(crate) fn on_grant_reply(&mut self, turn: &Turn<'_>, reply: &GrantReply) -> bool {
        let Some(index) = self.targets.find(&reply.target) else { return false };
        let entry = self.targets.at_mut(index);
        let fresh = entry.call.is_some_and(|call| call.fresh);
        if !entry.replied(turn.now, reply.grant_id, reply.clock) {
            return false;
        }
        if reply.expired || reply.unknown || reply.newer_generation.is_some() {
            // Nothing was accepted. A query refreshes the clock of the target.
            entry.queried = false;
            entry.complete = None;
            return true;
        }
        match entry.complete.as_mut() {
            Some(complete) if reply.refused.is_empty() => {
                complete.accepted |= complete.id == reply.grant_id;
            }
            Some(_) | None => entry.complete = None,
        }
        let waiting = std::mem::take(&mut entry.waiting);
        let slots = self.slots(turn.settings);
        for (unit, highest) in &reply.refused {
            let row = row_of(&mut self.rows, *unit, slots);
            if let Some(state) = row.and_then(|row| row.unit_mut(*unit)) {
                state.refuse(index, *highest);
            }
        }
        if fresh {
            self.confirm(index, reply);
        }
        fresh || waiting || !reply.refused.is_empty()
    }

    fn confirm(&mut self, target: TargetIndex, reply: &GrantReply) {
        for row in &mut self.rows {
            for (_, unit) in row.units_mut() {
                let confirmed = unit.holder.as_mut().filter(|holder| {
                    holder.target == target && holder.grant == reply.grant_id && !holder.unsent
                });
                if let Some(holder) = confirmed {
                    holder.confirmed = true;
                }
            }
        }
    }
}

impl RowState {
    /// Returns whether a target excludes the same keys from a slot as this controller would.
    fn knows_splits(&self, unit: Unit, split_keys: &[KeyHash], slots: u32) -> bool {
        let Unit::Slot(slot) = unit else { return true };
        let reported = split_keys.iter().filter(|key| key.slot(slots) == slot);
        reported.eq(self.hot_keys.keys().filter(|key| key.slot(slots) == slot))
    }

    /// Returns whether a target knows no hot key of a slot that the row does not know. One with a lower
    /// epoch than the slot was merged back since.
    fn knows_hot_keys(&self, slot: &HeldUnit, reported: &[HeldUnit], slots: u32) -> bool {
        let Unit::Slot(number) = slot.unit else { return true };
        reported.iter().all(|held| match held.unit {
            Unit::HotKey(key) if key.slot(slots) == number && held.epoch >= slot.epoch => {
                self.hot_keys.contains_key(&key)
            }
            Unit::HotKey(_) | Unit::Slot(_) => true,
        })
    }

    fn on_held_unit(&mut self, now: Instant, target: TargetIndex, held: &HeldUnit, known: bool) {
        let Some(state) = self.unit_mut(held.unit) else { return };
        let unheld = state.holder.is_none() && state.needs_write && state.proposed.is_none();
        let serves = held.remaining_ms > 0 && now < state.lapse && held.epoch >= state.floor;
        if unheld && serves && state.adopt(target, held.epoch, known) {
            return;
        }
        let is_holder = state.holder.is_some_and(|holder| holder.target == target);
        let ended = held.epoch == state.floor && held.remaining_ms == 0 && !is_holder;
        if held.epoch > state.floor || ended {
            state.floor = held.epoch;
            state.floor_target = None;
        }
    }
}

/// Returns the row that contains a unit.
pub(crate) fn row_of(rows: &mut [RowState], unit: Unit, slots: u32) -> Option<&mut RowState> {
    let slot = match unit {
        Unit::Slot(slot) => slot,
        Unit::HotKey(key) => key.slot(slots),
    };
    let per_row = rows.first()?.slots.len();
    rows.get_mut(slot.get() as usize / per_row)
}
