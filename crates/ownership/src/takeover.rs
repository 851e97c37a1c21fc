//! Queries of targets, and replies to queries and grants.

use std::time::Duration;

use wagtailmoor_core::{Instant, KeyHash};

use crate::back_end::BackEnd;
use crate::context::{Context, Ids};
use crate::row_state::RowState;
use crate::target_table::{Call, TargetIndex};
use crate::{GrantReply, HeldReply, HeldRoutes, HeldUnit, Output, QueryHeld, TargetState, Unit};

impl BackEnd {
    /// Queries targets that were not queried under the current authority or did not reply to the
    /// last call.
    pub(crate) fn query_targets(
        &mut self,
        context: &Context<'_>,
        ids: &mut Ids,
        out: &mut Vec<Output>,
    ) {
        // Replies are compared with the rows, so all rows must be known first.
        if self.is_unchecked() || self.rows.iter().any(|row| !row.known) {
            return;
        }
        let interval = Duration::from_millis(context.settings.query_interval_ms);
        for entry in self.targets.iter_mut().filter(|entry| entry.local) {
            if entry
                .call
                .is_some_and(|call| context.now >= call.sent + context.settings.call_timeout())
            {
                entry.call = None;
                entry.reachable = false;
            }
            let up_to_date = entry.reachable && entry.queried;
            let due = entry.last_call.is_none_or(|last| context.now >= last + interval);
            if up_to_date || entry.call.is_some() || !due || entry.state == TargetState::Gone {
                continue;
            }
            let query_id = ids.grant();
            entry.call = Some(Call { id: query_id, sent: context.now, has_new_unit: false });
            entry.last_call = Some(context.now);
            let (target, back_end) = (entry.target.clone(), self.settings.back_end.clone());
            out.push(Output::QueryHeld(QueryHeld { target, back_end, query_id }));
        }
    }

    /// Returns whether a target that may own units has not replied to a query yet.
    pub(crate) fn has_unqueried_target(&self) -> bool {
        !self.is_unchecked()
            && self.targets.iter().any(|(_, entry)| entry.can_own() && !entry.queried)
    }

    pub(crate) fn on_held_reply(&mut self, context: &Context<'_>, reply: &HeldReply) {
        let Some(index) = self.targets.find(&reply.target) else { return };
        let entry = self.targets.at_mut(index);
        if !entry.on_reply(context.now, reply.query_id, reply.clock) {
            return;
        }
        entry.queried = true;
        // Forces a renewal: the reported leases started under the previous controller.
        entry.last_renewal = None;
        let zone = context.zone.clone();
        let slots = self.slots(context.settings);
        let is_hot = |held: &&HeldUnit| matches!(held.unit, Unit::HotKey(_));
        let hot: Vec<HeldUnit> = reply.held.iter().filter(is_hot).copied().collect();
        for held in &reply.held {
            let row = row_of(&mut self.rows, held.unit, slots);
            let Some(row) = row.filter(|row| row.home.as_ref() == Some(&zone)) else { continue };
            let splits_known = row.splits_match(held.unit, &reply.split_keys, slots)
                && row.hot_keys_match(held, &hot, slots);
            row.on_held_unit(context.now, index, held, splits_known);
        }
    }

    /// Adopts the owners of an unchecked back end from routes that this node pulled before it
    /// became controller.
    ///
    /// Routes as old as the lease are ignored: since the pull, the previous controller may have
    /// withdrawn a route and waited until its leases had ended.
    pub(crate) fn on_held_routes(&mut self, context: &Context<'_>, routes: &HeldRoutes) {
        let age = context.authority.start.saturating_since(routes.requested_at);
        let recent = context.settings.with_drift(age) < context.settings.lease();
        if !self.is_unchecked() || !context.active || !recent {
            return;
        }
        let slots = self.slots(context.settings);
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
            let Some(row) = row.filter(|row| row.home.as_ref() == Some(context.zone)) else {
                continue;
            };
            let splits_known = row.splits_match(*unit, &split, slots);
            let held =
                HeldUnit { unit: *unit, epoch: *epoch, remaining_ms: context.settings.lease_ms };
            if splits_known {
                row.on_held_unit(context.now, index, &held, splits_known);
            }
        }
    }

    /// Handles a reply to a grant; returns whether work may be due before the next tick.
    pub(crate) fn on_grant_reply(&mut self, context: &Context<'_>, reply: &GrantReply) -> bool {
        let Some(index) = self.targets.find(&reply.target) else { return false };
        let entry = self.targets.at_mut(index);
        let has_new_unit = entry.call.is_some_and(|call| call.has_new_unit);
        if !entry.on_reply(context.now, reply.grant_id, reply.clock) {
            return false;
        }
        if reply.expired || reply.unknown || reply.newer_generation.is_some() {
            // The target accepted no unit. A query refreshes the known clock of the target.
            entry.queried = false;
            entry.complete_grant = None;
            return true;
        }
        match entry.complete_grant.as_mut() {
            Some(complete) if reply.refused.is_empty() => {
                complete.accepted |= complete.id == reply.grant_id;
            }
            Some(_) | None => entry.complete_grant = None,
        }
        let unit_waiting = std::mem::take(&mut entry.unit_waiting);
        let slots = self.slots(context.settings);
        for (unit, highest) in &reply.refused {
            let row = row_of(&mut self.rows, *unit, slots);
            if let Some(state) = row.and_then(|row| row.unit_mut(*unit)) {
                state.on_refusal(index, *highest);
            }
        }
        if has_new_unit {
            self.confirm(index, reply);
        }
        has_new_unit || unit_waiting || !reply.refused.is_empty()
    }

    fn confirm(&mut self, target: TargetIndex, reply: &GrantReply) {
        for row in &mut self.rows {
            for (_, unit) in row.units_mut() {
                let confirmed = unit.grantee.as_mut().filter(|grantee| {
                    grantee.target == target && grantee.grant == reply.grant_id && !grantee.unsent
                });
                if let Some(grantee) = confirmed {
                    grantee.confirmed = true;
                }
            }
        }
    }
}

impl RowState {
    /// Returns whether a target excludes from a slot the same keys as the known row.
    fn splits_match(&self, unit: Unit, split_keys: &[KeyHash], slots: u32) -> bool {
        let Unit::Slot(slot) = unit else { return true };
        let reported = split_keys.iter().filter(|key| key.slot(slots) == slot);
        reported.eq(self.hot_keys.keys().filter(|key| key.slot(slots) == slot))
    }

    /// Returns whether the known row contains every hot key of a slot that a target reported. A hot
    /// key with a lower epoch than the slot is ignored, because it was merged back since.
    fn hot_keys_match(&self, slot: &HeldUnit, reported: &[HeldUnit], slots: u32) -> bool {
        let Unit::Slot(number) = slot.unit else { return true };
        reported.iter().all(|held| match held.unit {
            Unit::HotKey(key) if key.slot(slots) == number && held.epoch >= slot.epoch => {
                self.hot_keys.contains_key(&key)
            }
            Unit::HotKey(_) | Unit::Slot(_) => true,
        })
    }

    fn on_held_unit(
        &mut self,
        now: Instant,
        target: TargetIndex,
        held: &HeldUnit,
        splits_known: bool,
    ) {
        let Some(state) = self.unit_mut(held.unit) else { return };
        let unclaimed = state.grantee.is_none() && state.needs_write && state.proposed.is_none();
        let serves =
            held.remaining_ms > 0 && now < state.lapse && held.epoch >= state.highest_epoch;
        if unclaimed && serves && state.adopt_held(target, held.epoch, splits_known) {
            return;
        }
        let is_grantee = state.grantee.is_some_and(|grantee| grantee.target == target);
        let lease_ended =
            held.epoch == state.highest_epoch && held.remaining_ms == 0 && !is_grantee;
        if held.epoch > state.highest_epoch || lease_ended {
            state.highest_epoch = held.epoch;
            state.highest_epoch_target = None;
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
