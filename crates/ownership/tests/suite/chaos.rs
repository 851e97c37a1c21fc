//! Random schedules of faults.

use rand::RngExt;
use wagtailmoor_core::{KeyHash, SlotId};
use wagtailmoor_ownership::{OwnershipSettings, TargetState};

use crate::world::{MS, SimConfig, World};

/// Number of events and changes in a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) steps: u64,
    pub(crate) grants: u64,
    pub(crate) writes: u64,
    pub(crate) splits: u64,
    pub(crate) merges: u64,
    pub(crate) rehomed: u64,
    pub(crate) new_owners: u64,
}

impl Summary {
    pub(crate) fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.grants += other.grants;
        self.writes += other.writes;
        self.splits += other.splits;
        self.merges += other.merges;
        self.rehomed += other.rehomed;
        self.new_owners += other.new_owners;
    }
}

/// Returns settings that let rare changes happen within a few simulated seconds.
pub(crate) fn settings(seed: u64) -> OwnershipSettings {
    OwnershipSettings {
        return_pause_ms: 200,
        plan_interval_ms: 200,
        renew_by_reference: seed.is_multiple_of(2),
        settle_ms: 500,
        merge_after_ms: 1_000,
        ..OwnershipSettings::default()
    }
}

/// Runs one schedule: a period with random faults, then a period without faults, after which every
/// key must be served.
pub(crate) fn run(seed: u64, config: SimConfig) -> Result<Summary, String> {
    let mut world = World::new(seed, config, settings(seed));
    world.run(3_000 * MS)?;
    while world.now_us < 15_000 * MS {
        inject(&mut world);
        let pause = world.random.random_range(10 * MS..800 * MS);
        world.run(world.now_us + pause)?;
    }
    world.clear_faults();
    world.run(world.now_us + 10_000 * MS)?;
    let unserved = world.unserved(0);
    if !unserved.is_empty() {
        return Err(format!("slots {unserved:?} are not served 10 s after the last fault"));
    }
    let (steps, grants) = (world.steps, world.grants);
    Ok(Summary { steps, grants, ..world.table.changes })
}

fn inject(world: &mut World) {
    let target = world.random_index(world.targets.len());
    let node = world.random_index(world.nodes.len());
    let zone = world.random_index(world.zones.len());
    let span = world.random.random_range(100 * MS..4_000 * MS);
    match world.random_index(13) {
        0 => world.crash_target(target),
        1 => world.targets[target].up = true,
        2 | 3 => world.targets[target].frozen_until_us = world.now_us + span,
        4 => world.nodes[node].up = false,
        5 if !world.nodes[node].up => world.start_node(node),
        5 | 6 => world.nodes[node].paused_until_us = world.now_us + span,
        7 => world.block(node, target, &[true, false], span),
        8 => world.block(node, target, &[node < target], span),
        9 => world.table.down_until_us = world.now_us + span,
        10 => {
            let in_service = !world.zones[zone].in_service;
            world.set_zone(zone, in_service);
        }
        11 => {
            let leaves = world.targets[target].target.state == TargetState::Live;
            world.set_target(target, if leaves { TargetState::Leaving } else { TargetState::Live });
        }
        _ => change_heat(world),
    }
}

fn change_heat(world: &mut World) {
    let slots = world.config.segments * world.config.slots_per_segment;
    let heat: Vec<(SlotId, u32)> =
        (0..slots).map(|slot| (SlotId::new(slot), world.random.random_range(1..5))).collect();
    let hot = world.random.random_range(0..u64::from(slots) * 2);
    let load = if world.random_index(3) == 0 { 1 } else { 50 };
    world.report_heat(heat, vec![(KeyHash::new(hot), load)]);
}
