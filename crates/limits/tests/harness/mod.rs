//! Deterministic simulation of nodes, clocks and network for issuers and holders, driven by a seed.
#![allow(dead_code, unreachable_pub, reason = "each test and benchmark uses a part of the harness")]

pub mod credits;
pub mod permits;
pub mod plan;
pub mod rate_check;
pub mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// Returns the seeds to run: the first `default` ones, or as many as `WAGTAILMOOR_SEEDS` sets.
pub fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("WAGTAILMOOR_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(default)
}

/// Runs a schedule for each seed, and fails at the first seed whose check finds a violation.
pub fn run_seeds(default: u64, schedule: impl Fn(u64) -> Result<u64, String>) {
    let mut steps = 0;
    for seed in seeds(default) {
        match catch_unwind(AssertUnwindSafe(|| schedule(seed))) {
            Ok(Ok(taken)) => steps += taken,
            Ok(Err(violation)) => panic!("seed {seed}: {violation}"),
            Err(_) => panic!("seed {seed}: the schedule panicked"),
        }
    }
    println!("seeds={} steps={steps}", seeds(default).end);
}

/// Returns the first of `seeds` seeds whose check finds a violation, used with an injected bug.
pub fn first_violation(
    seeds: u64,
    schedule: impl Fn(u64) -> Result<u64, String>,
) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| schedule(seed).err().map(|violation| (seed, violation)))
}
