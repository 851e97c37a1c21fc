//! Checks that no two targets may execute requests of the same key at the same time, assuming that
//! the longest request starts at the end of each grant.

use std::collections::BTreeMap;

use wagtailmoor_core::{BackEndId, Epoch, KeyHash, TargetId};
use wagtailmoor_ownership::Unit;

/// Period in which a target may execute requests of a unit; `end_us` includes the longest request.
#[derive(Clone, Debug)]
struct Occupancy {
    epoch: Epoch,
    end_us: u64,
    split_keys: Vec<KeyHash>,
}

/// Targets that may execute requests of each unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancies {
    by_unit: BTreeMap<(BackEndId, Unit), BTreeMap<TargetId, Occupancy>>,
    highest: BTreeMap<(BackEndId, Unit), (Epoch, TargetId)>,
    slots: u32,
}

/// A unit that a target accepted.
pub(crate) struct Acceptance<'a> {
    pub(crate) back_end: &'a BackEndId,
    pub(crate) target: &'a TargetId,
    pub(crate) unit: Unit,
    pub(crate) epoch: Epoch,
    pub(crate) end_us: u64,
    pub(crate) split_keys: &'a [KeyHash],
}

impl Occupancies {
    pub(crate) fn new(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    pub(crate) fn accept(
        &mut self,
        now_us: u64,
        accepted: &Acceptance<'_>,
        excludes: impl Fn(&TargetId, KeyHash, Epoch) -> bool,
    ) -> Result<(), String> {
        self.check_epoch(accepted)?;
        for (other, unit, occupancy) in self.related(accepted) {
            let may_execute = other != accepted.target && occupancy.end_us > now_us;
            if may_execute && self.overlaps(accepted, other, unit, occupancy, &excludes) {
                return Err(format!(
                    "two owners: {} accepted {:?} at epoch {} while {other} may execute {unit:?} \
                     at epoch {} for {} us",
                    accepted.target,
                    accepted.unit,
                    accepted.epoch,
                    occupancy.epoch,
                    occupancy.end_us - now_us
                ));
            }
        }
        let id = (accepted.back_end.clone(), accepted.unit);
        let occupancy = Occupancy {
            epoch: accepted.epoch,
            end_us: accepted.end_us,
            split_keys: accepted.split_keys.to_vec(),
        };
        let targets = self.by_unit.entry(id).or_default();
        targets.retain(|_, old| old.end_us > now_us);
        targets.insert(accepted.target.clone(), occupancy);
        Ok(())
    }

    /// Records a dispatch under a route lease. An entry process may still use an older epoch of the
    /// same target, because unchecked targets do not check epochs.
    pub(crate) fn accept_leased(
        &mut self,
        now_us: u64,
        accepted: &Acceptance<'_>,
        excludes: impl Fn(&TargetId, KeyHash, Epoch) -> bool,
    ) -> Result<(), String> {
        let id = (accepted.back_end.clone(), accepted.unit);
        let highest = self.highest.get(&id);
        let same_target = highest.filter(|(_, target)| target == accepted.target);
        let epoch = same_target.map_or(accepted.epoch, |(epoch, _)| accepted.epoch.max(*epoch));
        self.accept(now_us, &Acceptance { epoch, ..*accepted }, excludes)
    }

    /// Records that the requests of a revoked unit end at `end_us`.
    pub(crate) fn revoke(
        &mut self,
        back_end: &BackEndId,
        target: &TargetId,
        unit: Unit,
        end_us: u64,
    ) {
        let targets = self.by_unit.get_mut(&(back_end.clone(), unit));
        if let Some(occupancy) = targets.and_then(|targets| targets.get_mut(target)) {
            occupancy.end_us = occupancy.end_us.min(end_us);
        }
    }

    pub(crate) fn crash(&mut self, target: &TargetId) {
        self.by_unit.values_mut().for_each(|targets| {
            targets.remove(target);
        });
    }

    fn check_epoch(&mut self, accepted: &Acceptance<'_>) -> Result<(), String> {
        let id = (accepted.back_end.clone(), accepted.unit);
        let new = (accepted.epoch, accepted.target.clone());
        let highest = self.highest.entry(id).or_insert_with(|| new.clone());
        let unchanged = highest.0 == new.0 && highest.1 == new.1;
        if !unchanged && new.0 <= highest.0 {
            return Err(format!("epoch fell: {:?} {new:?} after {highest:?}", accepted.unit));
        }
        *highest = new;
        Ok(())
    }

    // A slot and the hot keys split off from it can overlap.
    fn related<'a>(
        &'a self,
        accepted: &'a Acceptance<'_>,
    ) -> impl Iterator<Item = (&'a TargetId, Unit, &'a Occupancy)> {
        let slot = self.slot(accepted.unit);
        let of_slot = self.by_unit.iter().filter(move |((back_end, unit), _)| {
            let may_overlap = *unit == accepted.unit
                || matches!(
                    (unit, accepted.unit),
                    (Unit::Slot(_), Unit::HotKey(_)) | (Unit::HotKey(_), Unit::Slot(_))
                );
            back_end == accepted.back_end && may_overlap && self.slot(*unit) == slot
        });
        of_slot.flat_map(|((_, unit), targets)| {
            targets.iter().map(move |(target, occupancy)| (target, *unit, occupancy))
        })
    }

    fn overlaps(
        &self,
        accepted: &Acceptance<'_>,
        other: &TargetId,
        unit: Unit,
        occupancy: &Occupancy,
        excludes: &impl Fn(&TargetId, KeyHash, Epoch) -> bool,
    ) -> bool {
        match (accepted.unit, unit) {
            (Unit::Slot(_), Unit::HotKey(key)) => !accepted.split_keys.contains(&key),
            (Unit::HotKey(key), Unit::Slot(_)) => {
                !occupancy.split_keys.contains(&key) && !excludes(other, key, occupancy.epoch)
            }
            _ => true,
        }
    }

    fn slot(&self, unit: Unit) -> u32 {
        match unit {
            Unit::Slot(slot) => slot.get(),
            Unit::HotKey(key) => key.slot(self.slots).get(),
        }
    }
}
