//! Registry of the targets of a site.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, Instant, SortedVec, TargetId};

use crate::{DisabledZones, Target, TargetState};

/// After an outage of the store, a missing entry is kept for this long. Entries of live targets
/// expire during an outage and are registered again within two seconds. The period is slightly
/// shorter, because no request may be sent to a target two seconds after it left.
const RECOVERY_GRACE: Duration = Duration::from_millis(1_600);

/// Effect of a registration on the routing of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// The target is new.
    Joined,
    /// A known target has a new incarnation, which has no state of the previous one.
    Restarted,
    /// Some field of a known target changed.
    Changed,
    /// The registration has no effect.
    None,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    cold_until: Instant,
    /// When to drop the target; set while its entry is missing after an outage of the store.
    drop_at: Option<Instant>,
}

/// The registered targets of a site and their states.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: SortedVec<TargetId, Entry>,
    disabled_zones: DisabledZones,
    /// Until then, an entry may be missing because of an outage of the store.
    recovery_until: Instant,
}

impl Registry {
    /// Adds or replaces a target. An earlier incarnation than the known one has no effect.
    pub fn upsert(&mut self, now: Instant, target: Target) -> RegistryChange {
        let cold_until = target.cold_for.map_or(Instant::default(), |remaining| now + remaining);
        let entry = Entry { target, cold_until, drop_at: None };
        match self.entries.get_mut(&entry.target.target) {
            Some(known) if known.target.incarnation > entry.target.incarnation => {
                RegistryChange::None
            }
            Some(known) => {
                let change = match known.target.incarnation == entry.target.incarnation {
                    false => RegistryChange::Restarted,
                    true if known.target == entry.target => RegistryChange::None,
                    true => RegistryChange::Changed,
                };
                *known = entry;
                change
            }
            None => {
                self.entries.insert(entry.target.target.clone(), entry);
                RegistryChange::Joined
            }
        }
    }

    /// Drops a target whose entry was removed, or schedules the drop during the recovery period.
    pub fn remove(&mut self, now: Instant, target: &TargetId) {
        let recovery_until = self.recovery_until;
        match self.entries.get_mut(target) {
            Some(entry) if now < recovery_until => {
                let drop_at = recovery_until.min(now + RECOVERY_GRACE);
                entry.drop_at = Some(entry.drop_at.map_or(drop_at, |known| known.min(drop_at)));
            }
            _ => drop(self.entries.remove(target)),
        }
    }

    /// Starts the recovery period after an outage of the store.
    pub fn on_store_recovery(&mut self, now: Instant) {
        self.recovery_until = now + RECOVERY_GRACE;
    }

    /// Drops the targets that are still missing at the end of their grace period and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        let mut dropped = Vec::new();
        self.entries.retain(|target, entry| match entry.drop_at {
            Some(at) if at <= now => {
                dropped.push(target.clone());
                false
            }
            _ => true,
        });
        dropped
    }

    /// Records the remaining cold time that a target reported.
    pub fn set_cold(&mut self, now: Instant, target: &TargetId, remaining: Duration) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.cold_until = now + remaining;
        }
    }

    /// Returns the zones that are out of service.
    pub fn disabled_zones(&self) -> &DisabledZones {
        &self.disabled_zones
    }

    /// Returns the zones that are out of service, mutably.
    pub fn disabled_zones_mut(&mut self) -> &mut DisabledZones {
        &mut self.disabled_zones
    }

    /// Returns a registered target.
    pub fn get(&self, target: &TargetId) -> Option<&Target> {
        self.entries.get(target).map(|entry| &entry.target)
    }

    /// Returns whether a target may receive new requests.
    pub fn is_in_service(&self, now: Instant, target: &TargetId) -> bool {
        self.entries.get(target).is_some_and(|Entry { target, drop_at, .. }| {
            target.state == TargetState::Ready
                && !self.disabled_zones.contains(&target.zone)
                && drop_at.is_none_or(|at| now < at)
        })
    }

    /// Returns whether a target is cold.
    pub fn is_cold(&self, now: Instant, target: &TargetId) -> bool {
        self.entries.get(target).is_some_and(|entry| now < entry.cold_until)
    }

    /// Iterates over the targets of a back end.
    pub fn targets_of(&self, back_end: &BackEndId) -> impl Iterator<Item = &Target> {
        self.entries
            .values()
            .map(|entry| &entry.target)
            .filter(move |target| target.back_end == *back_end)
    }

    /// Iterates over all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target)
    }
}
