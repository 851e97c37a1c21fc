//! Route pulls of a simulated system, and checks of what is served through its route tables.

use rand::Rng;
use wagtailmoor_core::{KeyHash, TargetId, ZoneId};
use wagtailmoor_ownership::{Input, Route};

use crate::occupancy::Acceptance;
use crate::world::{Event, MS, World, back_end};

impl World {
    pub(crate) fn pull(&mut self, node: usize) {
        self.schedule(250 * MS, Event::Pull(node));
        if !self.is_running(node) {
            return;
        }
        for zone in 0..self.zones.len() {
            let requested_at = self.nodes[node].now(self.now_us);
            let pull = self.nodes[node].routes.pull(&self.zones[zone].zone);
            let first = zone * self.config.nodes;
            for other in first..first + self.config.nodes {
                if !self.is_running(other) {
                    continue;
                }
                let now = self.nodes[other].now(self.now_us);
                if let Some(update) = self.nodes[other].controller.routes(now, &pull) {
                    let delay = self.delay();
                    self.schedule(delay, Event::Routes(node, requested_at, update));
                }
            }
        }
    }

    // Entry processes fence unchecked targets, so any request that they could dispatch now counts
    // as running.
    pub(crate) fn check_leased_routes(&mut self, node: usize) -> Result<(), String> {
        if !self.config.unchecked {
            return Ok(());
        }
        let id = back_end("pump");
        let now = self.nodes[node].now(self.now_us);
        for slot in 0..self.config.segments * self.config.slots_per_segment {
            let key = KeyHash::new(u64::from(slot));
            let Route::Owner { target, epoch, unit } =
                self.nodes[node].routes.lookup(now, &id, key)
            else {
                continue;
            };
            let end_us = self.now_us + 500 * MS;
            let acceptance =
                Acceptance { back_end: &id, target, unit, epoch, end_us, split_keys: &[] };
            let excludes = |_: &TargetId, _: KeyHash, _| true;
            self.occupancies.accept_leased(self.now_us, &acceptance, excludes)?;
        }
        Ok(())
    }

    /// Returns the slots of the back end with checked grants for which the routes of a node lead to
    /// no serving target.
    pub(crate) fn unserved(&self, node: usize) -> Vec<u32> {
        let slots = self.config.segments * self.config.slots_per_segment;
        (0..slots).filter(|slot| !self.is_served(node, KeyHash::new(u64::from(*slot)))).collect()
    }

    /// Returns the slots of the unchecked back end to which a node may not dispatch.
    pub(crate) fn not_dispatchable(&self, node: usize) -> Vec<u32> {
        let now = self.nodes[node].now(self.now_us);
        let slots = self.config.segments * self.config.slots_per_segment;
        let can_dispatch = |slot: &u32| {
            let key = KeyHash::new(u64::from(*slot));
            let route = self.nodes[node].routes.lookup(now, &back_end("pump"), key);
            matches!(route, Route::Owner { .. })
        };
        (0..slots).filter(|slot| !can_dispatch(slot)).collect()
    }

    pub(crate) fn is_served(&self, node: usize, key: KeyHash) -> bool {
        let now = self.nodes[node].now(self.now_us);
        match self.nodes[node].routes.lookup(now, &back_end("feed"), key) {
            Route::Owner { target, epoch, unit } => {
                self.targets[self.target_index(target)].serves(self.now_us, unit, epoch)
            }
            Route::Moving | Route::NoOwner | Route::Stale => false,
        }
    }

    /// Reports load to the controller of every zone.
    pub(crate) fn report_heat(
        &mut self,
        slots: Vec<(wagtailmoor_core::SlotId, u32)>,
        keys: Vec<(KeyHash, u32)>,
    ) {
        for zone in 0..self.zones.len() {
            let input = Input::Heat {
                back_end: back_end("feed"),
                slots: slots.clone(),
                keys: keys.clone(),
            };
            self.schedule(0, Event::ToNode(self.leases[zone].controller, input));
        }
    }

    pub(crate) fn controller_node(&self, zone: usize) -> usize {
        self.leases[zone].controller
    }

    /// Returns a random index below `bound`.
    pub(crate) fn random_index(&mut self, bound: usize) -> usize {
        (self.random.next_u64() % bound as u64) as usize
    }

    pub(crate) fn home_zones(&self) -> Vec<ZoneId> {
        self.table.read(&back_end("feed")).into_iter().map(|row| row.row.home).collect()
    }
}
