//! Grants, renewals and revocations, batched by target.

use std::time::Duration;

use wagtailmoor_core::{Epoch, GrantId, Instant, KeyHash, TargetId};

use crate::back_end::{BackEnd, PendingRevoke};
use crate::row_state::RowState;
use crate::takeover::row_of;
use crate::target_table::{Call, Complete, TargetEntry, TargetTable};
use crate::turn::{Ids, Turn};
use crate::{Grant, Output, Revoke, TargetClock, Unit};

/// Time a shell may hold a grant before it sends it.
const SEND_WITHIN: Duration = Duration::from_millis(50);

/// Replies to revocations that are older than this are of no use.
const REVOKES_KEPT: Duration = Duration::from_secs(5);

/// A grant in the making.
struct Batch {
    id: GrantId,
    renewal: bool,
    fresh: bool,
    expires_at: Option<TargetClock>,
    lapse: Instant,
    units: Vec<(Unit, Epoch)>,
    split_keys: Vec<KeyHash>,
}

impl BackEnd {
    pub(crate) fn send_grants(&mut self, turn: &Turn<'_>, ids: &mut Ids, out: &mut Vec<Output>) {
        if self.is_unchecked() {
            return;
        }
        let mut batches: Vec<Option<Batch>> = self
            .targets
            .iter()
            .map(|(_, entry)| entry.accepts_grant().then(|| self.batch(turn, entry, ids)))
            .collect();
        let slots = self.slots(turn.settings);
        for row in self.rows.iter_mut().filter(|row| row.home.as_ref() == Some(turn.zone)) {
            fill_batches(row, slots, &mut batches, &mut self.targets);
        }
        for (index, batch) in (0..).zip(batches) {
            let Some(mut batch) = batch.filter(|batch| !batch.units.is_empty()) else { continue };
            batch.split_keys.sort_unstable();
            let entry = self.targets.at_mut(index);
            entry.call = Some(Call { id: batch.id, sent: turn.now, fresh: batch.fresh });
            entry.last_call = Some(turn.now);
            if batch.renewal {
                entry.last_renewal = Some(turn.now);
            }
            let renews = batch.renewal.then(|| entry.refer(turn, &mut batch)).flatten();
            let target = entry.target.clone();
            out.push(Output::Grant(self.grant(turn, target, batch, renews)));
        }
    }

    fn batch(&self, turn: &Turn<'_>, entry: &TargetEntry, ids: &mut Ids) -> Batch {
        let interval = Duration::from_millis(turn.settings.renew_ms);
        Batch {
            id: ids.grant(),
            renewal: entry.last_renewal.is_none_or(|last| turn.now >= last + interval),
            fresh: false,
            expires_at: entry.clock_after(turn.now, turn.settings.lease()),
            lapse: self.grant_lapse(turn, entry),
            units: Vec::new(),
            split_keys: Vec::new(),
        }
    }

    fn grant(
        &self,
        turn: &Turn<'_>,
        target: TargetId,
        batch: Batch,
        renews: Option<GrantId>,
    ) -> Grant {
        Grant {
            target,
            back_end: self.settings.back_end.clone(),
            generation: turn.authority.generation,
            grant_id: batch.id,
            lease_ms: turn.settings.lease_ms,
            expires_at: batch.expires_at,
            units: batch.units,
            renews,
            complete: batch.renewal && renews.is_none(),
            split_keys: batch.split_keys,
            drop_after: turn.authority.until.min(turn.now + SEND_WITHIN),
        }
    }

    /// Returns the instant after which a grant that is sent now can have no effect.
    fn grant_lapse(&self, turn: &Turn<'_>, entry: &TargetEntry) -> Instant {
        let Some((_, received_at)) = entry.clock else {
            return turn.now + turn.settings.lapse(&self.settings);
        };
        let request_max = Duration::from_millis(self.settings.request_max_ms);
        let span = turn.now.saturating_since(received_at) + turn.settings.lease() + request_max;
        received_at + turn.settings.with_drift(span)
    }

    pub(crate) fn send_revokes(&mut self, turn: &Turn<'_>, ids: &mut Ids, out: &mut Vec<Output>) {
        if self.is_unchecked() {
            return;
        }
        self.revokes.retain(|revoke| turn.now < revoke.sent + REVOKES_KEPT);
        let mut batches: Vec<Vec<(Unit, Epoch)>> = vec![Vec::new(); self.targets.len() as usize];
        for row in &mut self.rows {
            fill_revokes(row, turn, &mut batches);
        }
        for (target, units) in (0..).zip(batches).filter(|(_, units)| !units.is_empty()) {
            let grant_id = ids.grant();
            let revoke =
                PendingRevoke { id: grant_id, target, sent: turn.now, units: units.clone() };
            self.revokes.push(revoke);
            out.push(Output::Revoke(Revoke {
                target: self.targets.at(target).target.clone(),
                back_end: self.settings.back_end.clone(),
                generation: turn.authority.generation,
                grant_id,
                units,
                drop_after: turn.authority.until,
            }));
        }
    }

    pub(crate) fn on_revoke_reply(&mut self, turn: &Turn<'_>, target: &TargetId, id: GrantId) {
        let Some(index) = self.targets.find(target) else { return };
        let sent = |revoke: &PendingRevoke| revoke.id == id && revoke.target == index;
        let Some(position) = self.revokes.iter().position(sent) else { return };
        let revoke = self.revokes.swap_remove(position);
        let slots = self.slots(turn.settings);
        for (unit, epoch) in revoke.units {
            let row = row_of(&mut self.rows, unit, slots);
            let Some(state) = row.and_then(|row| row.unit_mut(unit)) else { continue };
            let revoked = state.holder.is_some_and(|holder| {
                holder.target == index && holder.epoch == epoch && holder.revoking.is_some()
            });
            if revoked {
                state.acknowledge_revocation(turn.now);
            }
        }
    }
}

impl TargetEntry {
    // A grant is sent only after the last call was answered. Renewing a silent target would put off
    // the instant at which its successor may start.
    fn accepts_grant(&self) -> bool {
        self.local && self.reachable && self.queried && self.call.is_none()
    }

    /// Replaces the units of a renewal by a reference to the last complete grant, if the target
    /// accepted that and it names the same; otherwise remembers this one as complete.
    fn refer(&mut self, turn: &Turn<'_>, batch: &mut Batch) -> Option<GrantId> {
        if !turn.settings.renew_by_reference {
            return None;
        }
        let same = |complete: &&Complete| {
            complete.accepted
                && complete.units == batch.units
                && complete.split_keys == batch.split_keys
        };
        if let Some(complete) = self.complete.as_ref().filter(same) {
            batch.units.clear();
            batch.split_keys.clear();
            return Some(complete.id);
        }
        let (units, split_keys) = (batch.units.clone(), batch.split_keys.clone());
        self.complete = Some(Complete { id: batch.id, units, split_keys, accepted: false });
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
        let Some(holder) = state.holder.filter(|holder| holder.revoking.is_none()) else {
            continue;
        };
        let Some(batch) = batches[holder.target as usize].as_mut() else {
            targets.at_mut(holder.target).waiting |= holder.unsent;
            continue;
        };
        if !batch.renewal && !holder.unsent {
            continue;
        }
        batch.units.push((unit, holder.epoch));
        batch.fresh |= !holder.confirmed;
        if let Unit::Slot(slot) = unit {
            let excluded = splits
                .iter()
                .filter(|(key, epoch)| key.slot(slots) == slot && holder.epoch >= *epoch);
            batch.split_keys.extend(excluded.map(|(key, _)| *key));
        }
        state.granted(batch.id, batch.lapse);
    }
}

fn fill_revokes(row: &mut RowState, turn: &Turn<'_>, batches: &mut [Vec<(Unit, Epoch)>]) {
    for (unit, state) in row.units_mut() {
        let Some(holder) = state.holder.as_mut() else { continue };
        let (target, epoch) = (holder.target, holder.epoch);
        let Some(revoking) = holder.revoking.as_mut() else { continue };
        if revoking.sent.is_none_or(|sent| turn.now >= sent + turn.settings.call_timeout()) {
            revoking.sent = Some(turn.now);
            batches[target as usize].push((unit, epoch));
        }
    }
}
