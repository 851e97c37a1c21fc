//! Safety of schedules with random faults.

use rstest::rstest;

use crate::chaos::{Summary, run};
use crate::world::SimConfig;

const SHARDS: u64 = 8;

/// Default number of seeds, as in CI; `WAGTAILMOOR_SEEDS` sets another number.
const SEEDS: u64 = 2_000;

pub(crate) fn seeds(default: u64) -> u64 {
    let set = std::env::var("WAGTAILMOOR_SEEDS").ok();
    set.map_or(default, |text| text.parse().expect("WAGTAILMOOR_SEEDS is a number"))
}

/// Guards against two owners of a key, falling epochs, lost assignments and keys that stay
/// unserved.
#[rstest]
fn random_faults(#[values(0, 1, 2, 3, 4, 5, 6, 7)] shard: u64) {
    let mut total = Summary::default();
    let mut failures = Vec::new();
    for seed in (0..seeds(SEEDS)).filter(|seed| seed % SHARDS == shard) {
        match run(seed, SimConfig::default()) {
            Ok(summary) => total.add(&summary),
            Err(error) => failures.push(format!("seed {seed}: {error}")),
        }
    }
    println!("shard {shard}: {total:?}");
    let change_counts = [total.splits, total.merges, total.rehomed, total.new_owners];
    assert!(
        change_counts.iter().all(|count| *count > 0),
        "a kind of change never happened: {total:?}"
    );
    assert!(
        failures.is_empty(),
        "{} seeds failed\n{}",
        failures.len(),
        failures[..failures.len().min(8)].join("\n")
    );
}
