//! Load reports per slot and key to the controllers of all zones.

use std::time::Duration;

use tokio::time::sleep;
use wagtailmoor_core::{SlotId, ZoneId};
use wagtailmoor_ownership::Input;
use wagtailmoor_peer::HeatReport;

use crate::entry::Shared;
use crate::ownership_calls;
use crate::state::State;
use crate::zone_role::{HeatSum, ZoneRole};

/// Hot keys change within minutes, so one report per second is frequent enough.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum keys in one report; more could not all exceed a quarter of a target's capacity.
const KEYS_MAX: usize = 16;

/// Maximum slots in one report, which bounds its size at any load.
const SLOTS_MAX: usize = 64;

/// Reports load to the controllers of all zones, and forwards received reports to the ownership
/// state machines of this node.
pub(crate) async fn run(entry: Shared) {
    loop {
        sleep(INTERVAL).await;
        let reports = entry.state().heat_reports();
        send(&entry, reports).await;
        let zones: Vec<ZoneId> = entry.state().roles.keys().cloned().collect();
        zones.iter().for_each(|zone| forward_heat(&entry, zone));
    }
}

fn forward_heat(entry: &Shared, zone: &ZoneId) {
    let take_heat = |role: &mut ZoneRole| std::mem::take(&mut role.heat);
    let sums = entry.state().roles.get_mut(zone).map(take_heat).unwrap_or_default();
    for (back_end, HeatSum { slots, keys }) in sums {
        let slots = slots.into_iter().collect();
        let keys = keys.into_iter().collect();
        ownership_calls::handle(entry, zone, Input::Heat { back_end, slots, keys });
    }
}

async fn send(entry: &Shared, reports: Vec<HeatReport>) {
    if reports.is_empty() {
        return;
    }
    let zones = entry.state().zones();
    for zone in zones {
        let address = {
            let now = entry.now();
            let state = entry.state();
            let node = state.controllers.get(&zone).cloned();
            node.filter(|node| *node != state.settings.node)
                .and_then(|node| state.address(now, &node))
        };
        for report in &reports {
            match address {
                // A lost report only delays the split of a hot key by one interval.
                Some(address) => {
                    let sent = entry.peers.heat(address, zone.clone(), report.clone()).await;
                    sent.unwrap_or_default();
                }
                None => entry.state().add_heat(&zone, report),
            }
        }
    }
}

impl State {
    fn heat_reports(&mut self) -> Vec<HeatReport> {
        let node = self.settings.node.clone();
        let keyed = self.back_ends.iter_mut().filter(|(_, back_end)| back_end.is_keyed());
        keyed
            .filter_map(|(id, back_end)| {
                let mut slots: Vec<(SlotId, u32)> =
                    std::mem::take(&mut back_end.slot_load).into_iter().collect();
                slots.sort_unstable_by_key(|(_, load)| std::cmp::Reverse(*load));
                slots.truncate(SLOTS_MAX);
                let mut keys = back_end.heat.hottest();
                keys.truncate(KEYS_MAX);
                back_end.heat.decay();
                let report = HeatReport { node: node.clone(), back_end: id.clone(), slots, keys };
                (!report.slots.is_empty()).then_some(report)
            })
            .collect()
    }

    /// Adds a report to the load of a zone, if this node is its controller.
    pub(crate) fn add_heat(&mut self, zone: &ZoneId, report: &HeatReport) {
        let Some(role) = self.roles.get_mut(zone).filter(|role| role.issuers.is_some()) else {
            return;
        };
        let sum = role.heat.get_or_insert_with(report.back_end.clone(), HeatSum::default);
        for (slot, load) in &report.slots {
            add(sum.slots.get_or_insert_with(*slot, || 0), *load);
        }
        for (key, load) in &report.keys {
            add(sum.keys.get_or_insert_with(*key, || 0), *load);
        }
    }
}

fn add(sum: &mut u32, load: u32) {
    *sum = sum.saturating_add(load);
}
