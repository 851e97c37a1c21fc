//! Grants, renewals and revocations, batched by target.

use std::time::Duration;

use wagtailmoor_core::{Epoch, GrantId, Instant, KeyHash, TargetId};

use crate::back_end::{BackEnd, PendingRevoke};
use crate::context::{Context, Ids};
use crate::row_state::RowState;
use crate::takeover::row_of;
use crate::target_table::{Call, CompleteGrant, TargetEntry, TargetTable};
use crate::{Grant, Output, Revoke, TargetClock, Unit};

/// A grant that was not sent within this time is dropped.
const SEND_TIMEOUT: Duration = Duration::from_millis(50);

/// Replies to revocations that were sent longer ago than this are ignored.
const REVOKE_RETENTION: Duration = Duration::from_secs(5);

/// Contents of a grant that is being assembled.
struct Batch {
    id: GrantId,
    /// Whether the batch contains every unit of the target; otherwise, it contains only units whose
    /// grant has not been sent yet.
    renewal: bool,
    /// Whether the target has not confirmed one of the units yet.
    has_new_unit: bool,
    expires_at: Option<TargetClock>,
    /// Instant after which the grant can have no effect.
    lapse: Instant,
    units: Vec<(Unit, Epoch)>,
    split_keys: Vec<KeyHash>,
}

impl BackEnd {
    pub(crate) fn send_grants(
        &mut self,
        context: &Context<'_>,
        ids: &mut Ids,
        out: &mut Vec<Output>,
    ) {
        if self.is_unchecked() {
            return;
        }
        let mut batches: Vec<Option<Batch>> = self
            .targets
            .iter()
            .map(|(_, entry)| entry.accepts_grant().then(|| self.new_batch(context, entry, ids)))
            .collect();
        let slots = self.slots(context.settings);
        for row in self.rows.iter_mut().filter(|row| row.home.as_ref() == Some(context.zone)) {
            fill_batches(row, slots, &mut batches, &mut self.targets);
        }
        for (index, batch) in (0..).zip(batches) {
            let Some(mut batch) = batch.filter(|batch| !batch.units.is_empty()) else { continue };
            batch.split_keys.sort_unstable();
            let entry = self.targets.at_mut(index);
            entry.call =
                Some(Call { id: batch.id, sent: context.now, has_new_unit: batch.has_new_unit });
            entry.last_call = Some(context.now);
            if batch.renewal {
                entry.last_renewal = Some(context.now);
            }
            let renews =
                batch.renewal.then(|| entry.renew_by_reference(context, &mut batch)).flatten();
            let target = entry.target.clone();
            out.push(Output::Grant(self.build_grant(context, target, batch, renews)));
        }
    }

    fn new_batch(&self, context: &Context<'_>, entry: &TargetEntry, ids: &mut Ids) -> Batch {
        let interval = Duration::from_millis(context.settings.renew_interval_ms);
        Batch {
            id: ids.grant(),
            renewal: entry.last_renewal.is_none_or(|last| context.now >= last + interval),
            has_new_unit: false,
            expires_at: entry.clock_after(context.now, context.settings.lease()),
            lapse: self.grant_lapse(context, entry),
            units: Vec::new(),
            split_keys: Vec::new(),
        }
    }

    fn build_grant(
        &self,
        context: &Context<'_>,
        target: TargetId,
        batch: Batch,
        renews: Option<GrantId>,
    ) -> Grant {
        Grant {
            target,
            back_end: self.settings.back_end.clone(),
            generation: context.authority.generation,
            grant_id: batch.id,
            lease_ms: context.settings.lease_ms,
            expires_at: batch.expires_at,
            units: batch.units,
            renews,
            complete: batch.renewal && renews.is_none(),
            split_keys: batch.split_keys,
            drop_after: context.authority.until.min(context.now + SEND_TIMEOUT),
        }
    }

    /// Returns the instant after which a grant sent now can have no effect.
    fn grant_lapse(&self, context: &Context<'_>, entry: &TargetEntry) -> Instant {
        let Some((_, received_at)) = entry.clock else {
            return context.now + context.settings.lapse(&self.settings);
        };
        let request_max = Duration::from_millis(self.settings.request_max_ms);
        let span =
            context.now.saturating_since(received_at) + context.settings.lease() + request_max;
        received_at + context.settings.with_drift(span)
    }

    pub(crate) fn send_revokes(
        &mut self,
        context: &Context<'_>,
        ids: &mut Ids,
        out: &mut Vec<Output>,
    ) {
        if self.is_unchecked() {
            return;
        }
        self.revokes.retain(|revoke| context.now < revoke.sent + REVOKE_RETENTION);
        let mut batches: Vec<Vec<(Unit, Epoch)>> = vec![Vec::new(); self.targets.len() as usize];
        for row in &mut self.rows {
            fill_revokes(row, context, &mut batches);
        }
        for (target, units) in (0..).zip(batches).filter(|(_, units)| !units.is_empty()) {
            let grant_id = ids.grant();
            let revoke =
                PendingRevoke { id: grant_id, target, sent: context.now, units: units.clone() };
            self.revokes.push(revoke);
            out.push(Output::Revoke(Revoke {
                target: self.targets.at(target).target.clone(),
                back_end: self.settings.back_end.clone(),
                generation: context.authority.generation,
                grant_id,
                units,
                drop_after: context.authority.until,
            }));
        }
    }

    pub(crate) fn on_revoke_reply(
        &mut self,
        context: &Context<'_>,
        target: &TargetId,
        id: GrantId,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        let sent = |revoke: &PendingRevoke| revoke.id == id && revoke.target == index;
        let Some(position) = self.revokes.iter().position(sent) else { return };
        let revoke = self.revokes.swap_remove(position);
        let slots = self.slots(context.settings);
        for (unit, epoch) in revoke.units {
            let row = row_of(&mut self.rows, unit, slots);
            let Some(state) = row.and_then(|row| row.unit_mut(unit)) else { continue };
            let revoked = state.grantee.is_some_and(|grantee| {
                grantee.target == index && grantee.epoch == epoch && grantee.revoking.is_some()
            });
            if revoked {
                state.on_revocation_acknowledged(context.now);
            }
        }
    }
}

impl TargetEntry {
    // A grant is sent only after the reply to the last call. Renewing the grants of a target that
    // does not reply would delay the instant at which its successor may start.
    fn accepts_grant(&self) -> bool {
        self.local && self.reachable && self.queried && self.call.is_none()
    }

    /// Replaces the units of a renewal by a reference to the last complete grant, if the target
    /// accepted that grant and it has the same contents; otherwise records this grant as complete.
    fn renew_by_reference(&mut self, context: &Context<'_>, batch: &mut Batch) -> Option<GrantId> {
        if !context.settings.renew_by_reference {
            return None;
        }
        let matches = |complete: &&CompleteGrant| {
            complete.accepted
                && complete.units == batch.units
                && complete.split_keys == batch.split_keys
        };
        if let Some(complete) = self.complete_grant.as_ref().filter(matches) {
            batch.units.clear();
            batch.split_keys.clear();
            return Some(complete.id);
        }
        let (units, split_keys) = (batch.units.clone(), batch.split_keys.clone());
        self.complete_grant =
            Some(CompleteGrant { id: batch.id, units, split_keys, accepted: false });
        None
    }
}

fn fill_batches(
    row: &mut RowState,
    slots: u32,
    batches: &mut [Option<Batch>],
    targets: &mut TargetTable,
) {
    let splits: Vec<(KeyHash, Epoch)> =
        row.hot_keys.iter().map(|(key, unit)| (*key, unit.split_epoch)).collect();
    for (unit, state) in row.units_mut() {
        let Some(grantee) = state.grantee.filter(|grantee| grantee.revoking.is_none()) else {
            continue;
        };
        let Some(batch) = batches[grantee.target as usize].as_mut() else {
            targets.at_mut(grantee.target).unit_waiting |= grantee.unsent;
            continue;
        };
        if !batch.renewal && !grantee.unsent {
            continue;
        }
        batch.units.push((unit, grantee.epoch));
        batch.has_new_unit |= !grantee.confirmed;
        if let Unit::Slot(slot) = unit {
            let excluded = splits
                .iter()
                .filter(|(key, epoch)| key.slot(slots) == slot && grantee.epoch >= *epoch);
            batch.split_keys.extend(excluded.map(|(key, _)| *key));
        }
        state.on_grant_sent(batch.id, batch.lapse);
    }
}

fn fill_revokes(row: &mut RowState, context: &Context<'_>, batches: &mut [Vec<(Unit, Epoch)>]) {
    for (unit, state) in row.units_mut() {
        let Some(grantee) = state.grantee.as_mut() else { continue };
        let (target, epoch) = (grantee.target, grantee.epoch);
        let Some(revoking) = grantee.revoking.as_mut() else { continue };
        if revoking.sent.is_none_or(|sent| context.now >= sent + context.settings.call_timeout()) {
            revoking.sent = Some(context.now);
            batches[target as usize].push((unit, epoch));
        }
    }
}
