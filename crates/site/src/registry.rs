//! The targets that are registered at present.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, Instant, SortedVec, TargetId};

use crate::{Target, TargetState, ZonesOut};

/// After the store returned from an outage, a missing entry counts as gone when it stays missing
/// for this long. Entries of live targets lapse during an outage and return within two seconds.
/// A little less than that, because nothing may be sent to a target two seconds after it left.
const RETURN_GRACE: Duration = Duration::from_millis(1_600);

/// What a change of the registry means for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// A target that was not known.
    Joined,
    /// A known target under a new incarnation, which holds nothing.
    Restarted,
    /// State, address or cold time changed.
    Changed,
    /// Nothing that bears on requests.
    None,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    cold_until: Instant,
    /// Set when the entry is missing, to the time from which the target counts as gone.
    gone_at: Option<Instant>,
}

/// The targets that are registered at present.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: SortedVec<TargetId, Entry>,
    zones_out: ZonesOut,
    /// Until this instant a missing entry may be the effect of an outage of the store.
    doubtful_until: Instant,
}

impl Registry {
    /// Takes an entry. An entry of an earlier incarnation than the known one has no effect.
    pub fn upsert(&mut self, now: Instant, target: Target) -> RegistryChange {
        let cold_until = target.cold_for.map_or(Instant::default(), |left| now + left);
        let entry = Entry { target, cold_until, gone_at: None };
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

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Instant, target: &TargetId) {
        let doubtful_until = self.doubtful_until;
        match self.entries.get_mut(target) {
            Some(entry) if now < doubtful_until => {
                let gone_at = doubtful_until.min(now + RETURN_GRACE);
                entry.gone_at = Some(entry.gone_at.map_or(gone_at, |known| known.min(gone_at)));
            }
            _ => drop(self.entries.remove(target)),
        }
    }

    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.doubtful_until = now + RETURN_GRACE;
    }

    /// Drops targets that stayed missing; returns those.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        let mut gone = Vec::new();
        self.entries.retain(|target, entry| match entry.gone_at {
            Some(at) if at <= now => {
                gone.push(target.clone());
                false
            }
            _ => true,
        });
        gone
    }

    /// Notes how long a target is cold, as it says itself.
    pub fn set_cold(&mut self, now: Instant, target: &TargetId, left: Duration) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.cold_until = now + left;
        }
    }

    /// Returns the zones that are out of service.
    pub fn zones_out(&self) -> &ZonesOut {
        &self.zones_out
    }

    /// Returns the zones that are out of service, for change.
    pub fn zones_out_mut(&mut self) -> &mut ZonesOut {
        &mut self.zones_out
    }

    /// Returns a registered target.
    pub fn get(&self, target: &TargetId) -> Option<&Target> {
        self.entries.get(target).map(|entry| &entry.target)
    }

    /// Returns whether a target may receive new requests.
    pub fn is_in_service(&self, now: Instant, target: &TargetId) -> bool {
        self.entries.get(target).is_some_and(|Entry { target, gone_at, .. }| {
            target.state == TargetState::Ready
                && !self.zones_out.contains(&target.zone)
                && gone_at.is_none_or(|at| now < at)
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
