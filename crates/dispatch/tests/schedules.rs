//! Random schedules over several nodes, and injected faults that the checks must detect.

mod support;

use rstest::rstest;
use support::fault::Fault;
use support::history::Violation;
use support::world::World;

const SEEDS: u64 = 2000;
const SHARDS: u64 = 10;

fn seeds() -> u64 {
    let set = std::env::var("WAGTAILMOOR_SEEDS").ok();
    set.map_or(SEEDS, |text| text.parse().expect("WAGTAILMOOR_SEEDS is a number"))
}

/// Guards against a non-idempotent request that runs twice, a false not-run response, the answer to
/// another request, retries over budget, an overloaded cold target, and a crashing request that is
/// not refused.
#[rstest]
fn no_violation_in_random_schedules(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] shard: u64) {
    let (mut steps, mut executions) = (0, 0);
    for seed in (0..seeds()).filter(|seed| seed % SHARDS == shard) {
        let history = World::new(seed, Fault::None).run();
        assert!(history.violations.is_empty(), "seed {seed}: {:?}", history.violations);
        steps += history.steps;
        executions += history.executions.len();
    }
    println!("shard {shard}: {steps} steps, {executions} executions");
}

/// Guards against checks that pass although a fault is present.
#[rstest]
#[case(Fault::RetryAfterBytes, Violation::RanTwice)]
#[case(Fault::RunWithoutRecord, Violation::RanTwice)]
#[case(Fault::RunWhenUnavailable, Violation::RanTwice)]
#[case(Fault::RecordUnknownAsNotRun, Violation::RanTwice)]
#[case(Fault::BelieveUntrusted, Violation::FalseNotRun)]
#[case(Fault::ReuseCrossed, Violation::ForeignAnswer)]
#[case(Fault::ForgetGuard, Violation::GuardLeft)]
#[case(Fault::NoBudget, Violation::OverBudget)]
#[case(Fault::IgnoreLedger, Violation::CrashNotRefused)]
#[case(Fault::HideCold, Violation::ColdOverload)]
fn detects_injected_fault(#[case] fault: Fault, #[case] violation: Violation) {
    let failing_seed =
        (0..200).find(|seed| World::new(*seed, fault).run().violations.contains(&violation));
    assert!(failing_seed.is_some(), "200 seeds with {fault:?} did not show {violation:?}");
}
