//! Routes that an entry process has pulled from the controllers.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, Epoch, Instant, KeyHash, SlotId, SortedVec, TargetId, ZoneId};

use crate::{
    BackEndRoutes, HeldRoutes, Route, RoutePull, RouteStamp, RouteState, RouteUpdate, Unit,
};

/// Merged routes of all zones.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    zones: SortedVec<ZoneId, ZoneRoutes>,
    zone_numbers: Vec<ZoneId>,
    targets: Vec<TargetId>,
    target_numbers: SortedVec<TargetId, u32>,
    back_ends: SortedVec<BackEndId, BackEndTable>,
}

#[derive(Clone, Debug, Default)]
struct ZoneRoutes {
    stamp: Option<RouteStamp>,
    requested_at: Instant,
    lease_end: Instant,
    recheck: Vec<(BackEndId, Unit)>,
}

#[derive(Clone, Debug, Default)]
struct BackEndTable {
    leased: bool,
    request_max: Duration,
    slots: Vec<Entry>,
    hot_keys: SortedVec<KeyHash, Entry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    zone: u16,
    state: State,
    target: u32,
    epoch: Epoch,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Unknown,
    Owner,
    Moving,
    NoOwner,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns where requests of a key go. Does not allocate.
    pub fn lookup(&self, now: Instant, back_end: &BackEndId, key: KeyHash) -> Route<'_> {
        let Some(table) = self.back_ends.get(back_end) else { return Route::NoOwner };
        let Some((unit, entry)) = table.find(key) else { return Route::NoOwner };
        match entry.state {
            State::Unknown | State::NoOwner => Route::NoOwner,
            State::Moving => Route::Moving,
            State::Owner if table.leased && self.is_stale(now, entry, table) => Route::Stale,
            State::Owner => Route::Owner {
                target: &self.targets[entry.target as usize],
                epoch: entry.epoch,
                unit,
            },
        }
    }

    /// Returns the pull to send to the controller of a zone.
    pub fn pull(&self, zone: &ZoneId) -> RoutePull {
        let known = self.zones.get(zone);
        RoutePull {
            zone: zone.clone(),
            have: known.and_then(|routes| routes.stamp),
            recheck: known.map(|routes| routes.recheck.clone()).unwrap_or_default(),
        }
    }

    /// Returns the zones from which an update was merged.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Merges a reply. `requested_at` is an instant before the pull was sent.
    ///
    /// Returns false when a newer state of the zone is already known.
    pub fn merge(&mut self, requested_at: Instant, update: &RouteUpdate) -> bool {
        let zone = self.zone_number(&update.zone);
        let routes = self.zones.get_or_insert_with(update.zone.clone(), ZoneRoutes::default);
        if !routes.accepts(requested_at, update) {
            return false;
        }
        routes.stamp = Some(update.stamp);
        routes.requested_at = routes.requested_at.max(requested_at);
        routes.lease_end =
            routes.lease_end.max(requested_at + Duration::from_millis(update.lease_ms));
        routes.recheck.clear();
        if update.full {
            self.clear_zone(zone);
        }
        let targets: Vec<u32> = update.targets.iter().map(|id| self.target_number(id)).collect();
        for changed in &update.back_ends {
            let table =
                self.back_ends.get_or_insert_with(changed.back_end.clone(), Default::default);
            table.merge(zone, &targets, changed);
        }
        true
    }

    /// Records that a target answered 421 to a request sent under `epoch`. The unit is reported as
    /// moving until its controller confirms or corrects the route.
    pub fn on_refusal(
        &mut self,
        back_end: &BackEndId,
        unit: Unit,
        target: &TargetId,
        epoch: Epoch,
    ) {
        let number = self.target_numbers.get(target).copied();
        let Some(table) = self.back_ends.get_mut(back_end) else { return };
        let Some(entry) = table.entry_mut(unit) else { return };
        if entry.state != State::Owner || Some(entry.target) != number || entry.epoch != epoch {
            return;
        }
        entry.state = State::Moving;
        let zone = &self.zone_numbers[usize::from(entry.zone)];
        if let Some(routes) = self.zones.get_mut(zone) {
            routes.recheck.push((back_end.clone(), unit));
        }
    }

    /// Returns the owners in the routes of a zone, for a node that becomes controller of this zone.
    pub fn held_routes(&self, zone: &ZoneId, back_end: &BackEndId) -> Option<HeldRoutes> {
        let known = self.zones.get(zone).filter(|known| known.stamp.is_some())?;
        let number = self.zone_numbers.iter().position(|other| other == zone)?;
        let table = self.back_ends.get(back_end)?;
        let owner = |(unit, entry): (Unit, &Entry)| {
            let owned = entry.state == State::Owner && usize::from(entry.zone) == number;
            owned.then(|| (unit, self.targets[entry.target as usize].clone(), entry.epoch))
        };
        let units = table.units().filter_map(owner).collect();
        Some(HeldRoutes { back_end: back_end.clone(), requested_at: known.requested_at, units })
    }

    /// Returns whether routes of a zone are missing or have to be rechecked, so that the next pull
    /// should be sent without delay.
    pub fn wants_pull(&self, zone: &ZoneId) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|routes| routes.stamp.is_none() || !routes.recheck.is_empty())
    }

    fn is_stale(&self, now: Instant, entry: &Entry, table: &BackEndTable) -> bool {
        let zone = &self.zone_numbers[usize::from(entry.zone)];
        self.zones.get(zone).is_none_or(|routes| now + table.request_max >= routes.lease_end)
    }

    fn clear_zone(&mut self, zone: u16) {
        for table in self.back_ends.values_mut() {
            table.clear_zone(zone);
        }
    }

    fn zone_number(&mut self, zone: &ZoneId) -> u16 {
        let known = self.zone_numbers.iter().position(|other| other == zone);
        let number = known.unwrap_or_else(|| {
            self.zone_numbers.push(zone.clone());
            self.zone_numbers.len() - 1
        });
        u16::try_from(number).expect("a region has fewer than 65,536 zones")
    }

    fn target_number(&mut self, target: &TargetId) -> u32 {
        let targets = &mut self.targets;
        *self.target_numbers.get_or_insert_with(target.clone(), || {
            targets.push(target.clone());
            u32::try_from(targets.len() - 1).expect("fewer than 2^32 targets")
        })
    }
}

impl ZoneRoutes {
    fn accepts(&self, requested_at: Instant, update: &RouteUpdate) -> bool {
        let Some(have) = self.stamp else { return update.full };
        let new = &update.stamp;
        match new.generation.cmp(&have.generation) {
            std::cmp::Ordering::Less => false,
            _ if new.session == have.session => new.version >= have.version,
            std::cmp::Ordering::Greater => update.full,
            // The sessions of one generation never overlap, so the reply to the later pull is
            // newer.
            std::cmp::Ordering::Equal => update.full && requested_at > self.requested_at,
        }
    }
}

impl BackEndTable {
    fn find(&self, key: KeyHash) -> Option<(Unit, &Entry)> {
        if let Some(entry) = self.hot_keys.get(&key) {
            return Some((Unit::HotKey(key), entry));
        }
        let slots = u32::try_from(self.slots.len()).ok().filter(|slots| *slots > 0)?;
        let slot = key.slot(slots);
        Some((Unit::Slot(slot), &self.slots[slot.get() as usize]))
    }

    fn units(&self) -> impl Iterator<Item = (Unit, &Entry)> {
        let slots = (0..).map(|slot| Unit::Slot(SlotId::new(slot))).zip(&self.slots);
        slots.chain(self.hot_keys.iter().map(|(key, entry)| (Unit::HotKey(*key), entry)))
    }

    fn entry_mut(&mut self, unit: Unit) -> Option<&mut Entry> {
        match unit {
            Unit::Slot(slot) => self.slots.get_mut(slot.get() as usize),
            Unit::HotKey(key) => self.hot_keys.get_mut(&key),
        }
    }

    fn clear_zone(&mut self, zone: u16) {
        for entry in &mut self.slots {
            if entry.zone == zone && entry.state != State::Unknown {
                *entry = Entry { epoch: entry.epoch, ..Entry::default() };
            }
        }
        self.hot_keys.retain(|_, entry| entry.zone != zone);
    }

    fn merge(&mut self, zone: u16, targets: &[u32], changed: &BackEndRoutes) {
        self.leased = changed.leased;
        self.request_max = Duration::from_millis(changed.request_max_ms);
        self.slots.resize(changed.slots as usize, Entry::default());
        for entry in &changed.entries {
            self.merge_entry(zone, targets, entry.unit, entry.state);
        }
    }

    fn merge_entry(&mut self, zone: u16, targets: &[u32], unit: Unit, state: RouteState) {
        if let (Unit::HotKey(key), RouteState::Gone) = (unit, state) {
            if self.hot_keys.get(&key).is_some_and(|entry| entry.zone == zone) {
                self.hot_keys.remove(&key);
            }
            return;
        }
        let entry = match unit {
            Unit::Slot(_) => self.entry_mut(unit),
            Unit::HotKey(key) => Some(self.hot_keys.get_or_insert_with(key, Entry::default)),
        };
        if let Some(entry) = entry {
            entry.merge(zone, targets, state);
        }
    }
}

impl Entry {
    fn merge(&mut self, zone: u16, targets: &[u32], state: RouteState) {
        let of_zone = self.zone == zone || self.state == State::Unknown;
        match state {
            // A segment that moves between zones gets higher epochs; its previous zone may still
            // publish the old route.
            RouteState::Owner(target, epoch) if of_zone || epoch > self.epoch => {
                let Some(target) = targets.get(usize::from(target)) else { return };
                *self = Self { zone, state: State::Owner, target: *target, epoch };
            }
            RouteState::Owner(..) => {}
            RouteState::Moving if of_zone => (self.zone, self.state) = (zone, State::Moving),
            RouteState::NoOwner if of_zone => (self.zone, self.state) = (zone, State::NoOwner),
            RouteState::Gone if of_zone => self.state = State::Unknown,
            RouteState::Moving | RouteState::NoOwner | RouteState::Gone => {}
        }
    }
}
