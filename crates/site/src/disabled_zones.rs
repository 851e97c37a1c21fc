//! Zones that operators took out of service.

use wagtailmoor_core::{SortedVec, ZoneId};

/// Zones that operators took out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledZones {
    zones: SortedVec<ZoneId, ()>,
}

impl DisabledZones {
    /// Takes a zone out of service; returns whether it was in service.
    pub fn disable(&mut self, zone: ZoneId) -> bool {
        self.zones.insert(zone, ()).is_none()
    }

    /// Puts a zone back in service; returns whether it was out of service.
    pub fn enable(&mut self, zone: &ZoneId) -> bool {
        self.zones.remove(zone).is_some()
    }

    /// Returns whether a zone is out of service.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }

    /// Iterates over the zones that are out of service.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }
}
