//! Downtime after the loss of a target and after a zone is taken out of service.

use wagtailmoor_ownership::OwnershipSettings;

use crate::table::{self, percentile};
use crate::world::{MS, SimConfig, World};

const SEEDS: u64 = 40;
const STEP_US: u64 = 10 * MS;

pub(crate) fn print() {
    let mut rows = Vec::new();
    for store_down in [false, true] {
        let name = if store_down { "target lost, store down" } else { "target lost" };
        rows.push(measure(name, 1, 5, |world| lose_target(world, store_down)));
    }
    rows.push(measure("controller lost, store down", 1, 5, |world| {
        world.table.down_until_us = u64::MAX;
        let controller = world.controller_node(0);
        world.nodes[controller].up = false;
        1 - controller
    }));
    rows.push(measure("zone of three taken out", 3, 5, |world| {
        world.set_zone(0, false);
        world.config.nodes
    }));
    rows.push(measure("zone of three returns", 3, 5, |world| {
        world.set_zone(0, false);
        world.run(world.now_us + 8_000 * MS).expect("no check fails");
        world.set_zone(0, true);
        world.config.nodes
    }));
    let head = ["event", "slots affected %", "p50 ms", "p99 ms", "max ms", "seeds"];
    table::print("Time without service of an affected slot, simulated", &head, &rows);
}

fn lose_target(world: &mut World, store_down: bool) -> usize {
    if store_down {
        world.table.down_until_us = u64::MAX;
    }
    let target = world.random_index(world.targets.len());
    world.crash_target(target);
    0
}

fn measure(
    name: &str,
    zones: usize,
    targets: usize,
    event: impl Fn(&mut World) -> usize,
) -> Vec<String> {
    let config = SimConfig {
        zones,
        targets,
        segments: 16,
        slots_per_segment: 16,
        random_faults: false,
        unchecked: false,
        tick_ms: 20,
        ..SimConfig::default()
    };
    let slots = u64::from(config.segments * config.slots_per_segment);
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, config.clone(), OwnershipSettings::default());
        let start = 12_000 * MS + world.random_index(1_000) as u64 * MS;
        world.run(start).expect("a start without faults");
        let node = event(&mut world);
        times.extend(unserved_times(&mut world, node, 12_000 * MS));
    }
    times.sort_unstable();
    let ms = |us: u64| (us / MS).to_string();
    vec![
        name.to_owned(),
        format!("{:.1}", times.len() as f64 * 100.0 / (slots * SEEDS) as f64),
        ms(percentile(&times, 50)),
        ms(percentile(&times, 99)),
        ms(times.last().copied().unwrap_or_default()),
        SEEDS.to_string(),
    ]
}

/// Returns the longest downtime of each slot that was unserved at any time.
fn unserved_times(world: &mut World, node: usize, span_us: u64) -> Vec<u64> {
    let slots = (world.config.segments * world.config.slots_per_segment) as usize;
    let (mut current, mut longest) = (vec![0; slots], vec![0; slots]);
    let end = world.now_us + span_us;
    while world.now_us < end {
        world.run(world.now_us + STEP_US).expect("no check fails");
        let unserved = world.unserved(node);
        for slot in 0..slots {
            let is_unserved = unserved.binary_search(&(slot as u32)).is_ok();
            current[slot] = if is_unserved { current[slot] + STEP_US } else { 0 };
            longest[slot] = longest[slot].max(current[slot]);
        }
    }
    longest.into_iter().filter(|time| *time > 0).collect()
}
