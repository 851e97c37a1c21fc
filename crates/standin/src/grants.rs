//! Grants of a keyed target.

use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_core::{Epoch, Generation, Incarnation, Instant, KeyHash, SlotId, SortedVec};

use crate::grant_messages::{ClockReading, GrantRefusal, GrantReply, GrantRequest, HeldGrants};

/// Grants of one keyed target, with the highest epoch seen for each slot and hot key.
#[derive(Default)]
pub struct Grants {
    generation: Generation,
    slots: SortedVec<SlotId, GrantState>,
    hot_keys: SortedVec<KeyHash, GrantState>,
    running: SortedVec<AdmissionId, RunningRequest>,
    admissions: u64,
    restarts: u64,
    last_complete: Option<GrantRequest>,
}

/// Id of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionId(u64);

/// The slot, key and epoch for which a sender requests admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Slot of the key.
    pub slot: SlotId,
    /// Hash of the key.
    pub key: KeyHash,
    /// Epoch under which the target owns the key, according to the sender.
    pub epoch: Epoch,
}

/// A running request, and whether it was admitted by the grant of a hot key.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: AdmissionRequest,
    by_hot_key: bool,
}

#[derive(Clone, Debug, Default)]
struct GrantState {
    epoch: Epoch,
    revoked: bool,
    until: Instant,
    /// Keys that the grant of a slot does not cover, in order.
    split_keys: Rc<[KeyHash]>,
}

impl GrantState {
    fn permits(&self, now: Instant, epoch: Epoch) -> bool {
        !self.revoked && self.epoch == epoch && now < self.until
    }

    fn remaining_ms(&self, now: Instant) -> u64 {
        match self.revoked {
            true => 0,
            false => self.until.saturating_since(now).as_millis() as u64,
        }
    }

    /// Applies a grant. Fails with the highest epoch seen if the granted epoch is lower, or equal
    /// and revoked.
    fn grant(
        &mut self,
        epoch: Epoch,
        until: Instant,
        split_keys: &Rc<[KeyHash]>,
    ) -> Result<(), Epoch> {
        if epoch < self.epoch || (self.revoked && epoch == self.epoch) {
            return Err(self.epoch);
        }
        *self = Self { epoch, revoked: false, until, split_keys: Rc::clone(split_keys) };
        Ok(())
    }

    fn revoke(&mut self, epoch: Epoch) {
        if epoch >= self.epoch {
            *self = Self { epoch, revoked: true, ..Self::default() };
        }
    }
}

impl Grants {
    /// Applies a grant message. Refuses an older generation, an expired lease, and the renewal of
    /// anything but the last complete grant.
    pub fn grant(
        &mut self,
        now: Instant,
        grant: &GrantRequest,
    ) -> Result<GrantReply, GrantRefusal> {
        self.accept_generation(grant.generation).map_err(GrantRefusal::OldGeneration)?;
        let clock = self.clock(now);
        let until = now + Duration::from_millis(grant.lease_ms.unwrap_or_default());
        let until = match grant.expires_at {
            None => until,
            Some((incarnation, end_us)) if incarnation == clock.0 && end_us > clock.1 => {
                until.min(Instant::from_us(end_us))
            }
            Some(_) => return Err(GrantRefusal::Expired(clock)),
        };
        let effective = match (grant.renews, &self.last_complete) {
            (None, _) => grant.clone(),
            (Some(renewed), Some(complete)) if complete.grant_id == renewed => complete.clone(),
            (Some(_), _) => return Err(GrantRefusal::Unknown(clock)),
        };
        if grant.complete {
            self.last_complete = Some(grant.clone());
        }
        let split_keys = effective.split_keys.clone().into();
        Ok(GrantReply {
            grant_id: grant.grant_id,
            refused: grant_all(&mut self.slots, &effective.slots, until, &split_keys),
            refused_hot_keys: grant_all(
                &mut self.hot_keys,
                &effective.hot_keys,
                until,
                &Rc::default(),
            ),
            clock,
        })
    }

    /// Stops admitting requests for slots and hot keys under epochs up to the given ones. Fails with
    /// the current generation if that of the revocation is older.
    pub fn revoke(&mut self, revocation: &GrantRequest) -> Result<(), Generation> {
        self.accept_generation(revocation.generation)?;
        for &(slot, epoch) in &revocation.slots {
            self.slots.get_or_insert_with(slot, GrantState::default).revoke(epoch);
        }
        for &(key, epoch) in &revocation.hot_keys {
            self.hot_keys.get_or_insert_with(key, GrantState::default).revoke(epoch);
        }
        Ok(())
    }

    /// Returns whether all requests that the revocation covers have finished.
    pub fn is_drained(&self, revocation: &GrantRequest) -> bool {
        let covered = |RunningRequest { request, by_hot_key }: &RunningRequest| {
            revocation.hot_keys.iter().any(|&(key, _)| key == request.key)
                || (!by_hot_key && revocation.slots.iter().any(|&(slot, _)| slot == request.slot))
        };
        !self.running.values().any(covered)
    }

    /// Admits a request if an unexpired grant with exactly its epoch covers it.
    ///
    /// A hot key is covered only by its own grant. The grant of its slot covers the key again once
    /// the epoch of the slot is higher than the highest epoch seen for the hot key.
    pub fn admit(&mut self, now: Instant, request: AdmissionRequest) -> Option<AdmissionId> {
        let slot = self.slots.get(&request.slot);
        let hot = self.hot_keys.get(&request.key);
        let hot = hot.filter(|hot| slot.is_none_or(|slot| slot.epoch <= hot.epoch));
        let slot = slot.filter(|slot| slot.split_keys.binary_search(&request.key).is_err());
        let cover = hot.or(slot)?;
        if !cover.permits(now, request.epoch) {
            return None;
        }
        let by_hot_key = hot.is_some();
        self.admissions += 1;
        let admission_id = AdmissionId(self.admissions);
        self.running.insert(admission_id, RunningRequest { request, by_hot_key });
        Some(admission_id)
    }

    /// Records that an admitted request has finished; ignores unknown ids.
    pub fn finish(&mut self, admission_id: AdmissionId) {
        self.running.remove(&admission_id);
    }

    /// Returns all slots and hot keys ever granted or revoked, with the remaining lease times.
    pub fn held(&self, now: Instant) -> HeldGrants {
        HeldGrants {
            generation: self.generation,
            slots: held(&self.slots, now),
            hot_keys: held(&self.hot_keys, now),
            split_keys: self.split_keys(),
            clock: self.clock(now),
        }
    }

    /// Clears all state, as the restart of a target does, and advances the incarnation.
    pub fn reset(&mut self) {
        // Ids continue, so that a request from before the restart cannot finish one after it.
        *self =
            Self { admissions: self.admissions, restarts: self.restarts + 1, ..Self::default() };
    }

    fn clock(&self, now: Instant) -> ClockReading {
        (Incarnation::new(self.restarts), now.as_us())
    }

    fn split_keys(&self) -> Vec<KeyHash> {
        let keys = self.slots.values().flat_map(|state| state.split_keys.iter().copied());
        let mut keys: Vec<KeyHash> = keys.collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    fn accept_generation(&mut self, generation: Generation) -> Result<(), Generation> {
        if generation < self.generation {
            return Err(self.generation);
        }
        self.generation = generation;
        Ok(())
    }
}

fn grant_all<K: Ord + Copy>(
    states: &mut SortedVec<K, GrantState>,
    grants: &[(K, Epoch)],
    until: Instant,
    split_keys: &Rc<[KeyHash]>,
) -> Vec<(K, Epoch)> {
    let refused = grants.iter().filter_map(|&(key, epoch)| {
        let state = states.get_or_insert_with(key, GrantState::default);
        state.grant(epoch, until, split_keys).err().map(|highest| (key, highest))
    });
    refused.collect()
}

fn held<K: Ord + Copy>(states: &SortedVec<K, GrantState>, now: Instant) -> Vec<(K, Epoch, u64)> {
    states.iter().map(|(&key, state)| (key, state.epoch, state.remaining_ms(now))).collect()
}
