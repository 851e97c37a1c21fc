//! Permit issuers and holders under random faults.

mod harness;

use harness::permits::{InjectedBug, Permits, Target};
use harness::plan::Plan;
use harness::world::World;
use harness::{MS, first_violation, run_seeds};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const FAULT_PERIOD_US: u64 = 3_000 * MS;
const FAULT_FREE_US: u64 = 3_000 * MS;
/// Time after the last fault by which requests get permits again: a failed issuer is replaced
/// within 500 ms, its successor waits 511 ms (lease and longest request), and then two request
/// intervals pass.
const RECOVERY_US: u64 = 1_500 * MS;
/// Longest allowed wait of a request at 30% of a target's capacity after the faults have ended.
const WAIT_MAX_US: u64 = 1_000 * MS;

fn random_target(rng: &mut ChaCha8Rng, plan: &Plan, index: usize, load: f64) -> Target {
    let full = [2, 4, 12][rng.random_range(0..3)];
    random_target_of(rng, plan, index, load, full)
}

fn random_target_of(
    rng: &mut ChaCha8Rng,
    plan: &Plan,
    index: usize,
    load: f64,
    full: u32,
) -> Target {
    // Requests run for 100 ms on average.
    let per_s = load * f64::from(full) * 10.0;
    let skewed = rng.random_bool(0.5);
    let share = |node| match (skewed, node) {
        (true, 0) => 0.8,
        (true, _) => 0.2 / plan.nodes as f64,
        (false, _) => 1.0 / plan.nodes as f64,
    };
    let arrivals = (0..plan.nodes).map(|node| per_s * share(node)).collect();
    let mut target = Target::new(index, rng.random_range(0..plan.zones), full, arrivals);
    target.cold_us =
        (0..rng.random_range(0..3)).map(|_| rng.random_range(0..FAULT_PERIOD_US)).collect();
    target.cold_us.sort_unstable();
    target
}

fn schedule(seed: u64, injected_bug: InjectedBug) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::random(&mut rng, FAULT_PERIOD_US, 1_000 * MS);
    let load = [0.3, 1.0, 3.0][rng.random_range(0..3)];
    let targets = (0..2).map(|index| random_target(&mut rng, &plan, index, load)).collect();
    let mut permits = Permits::new(targets);
    permits.injected_bug = injected_bug;
    let mut world = World::new(seed, plan, permits);
    world.run();
    world.protocol.violation.take().map_or(Ok(world.steps), Err)
}

/// Guards against more requests at a target than its limit, and against more than its cold limit
/// after the recall bound, under random faults of nodes, issuers and messages.
#[test]
fn concurrency_limit_holds() {
    run_seeds(2_000, |seed| schedule(seed, InjectedBug::None));
}

/// Guards against more connections than the limit of a target, when one node can hold most of them.
#[rstest]
fn connection_limit_holds(#[values(110, 130)] full: u32) {
    run_seeds(60, |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let plan = Plan::random(&mut rng, FAULT_PERIOD_US, 1_000 * MS);
        let target = random_target_of(&mut rng, &plan, 0, 1.5, full);
        let mut world = World::new(seed, plan, Permits::new(vec![target]));
        world.run();
        world.protocol.violation.take().map_or(Ok(world.steps), Err)
    });
}

/// Guards against a concurrency check that does not detect violations.
#[rstest]
#[case::early_reissue(InjectedBug::EarlyReissue)]
#[case::no_wait(InjectedBug::NoWait)]
#[case::no_expiry(InjectedBug::NoExpiry)]
#[case::cold_unknown(InjectedBug::ColdUnknown)]
fn concurrency_check_detects(#[case] injected_bug: InjectedBug) {
    let detected = first_violation(1_000, |seed| schedule(seed, injected_bug));
    let (seed, violation) = detected.expect("no seed exposes the injected bug");
    println!("{injected_bug:?}: seed {seed}: {violation}");
}

fn recovery(seed: u64, injected_bug: InjectedBug) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::random(&mut rng, FAULT_PERIOD_US, FAULT_FREE_US);
    let target = random_target(&mut rng, &plan, 0, 0.3);
    let mut permits = Permits::new(vec![target]);
    permits.injected_bug = injected_bug;
    permits.record_waits_from_us = FAULT_PERIOD_US + RECOVERY_US;
    permits.wait_max_us = WAIT_MAX_US;
    let mut world = World::new(seed, plan, permits);
    world.run();
    match world.protocol.timed_out {
        0 => Ok(world.steps),
        count => Err(format!("{count} requests got no permit in {WAIT_MAX_US} us")),
    }
}

/// Guards against requests that get no permits after the faults have ended.
#[test]
fn permits_are_granted_again() {
    run_seeds(2_000, |seed| recovery(seed, InjectedBug::None));
}

/// Guards against a liveness check that does not detect failures.
#[test]
fn liveness_check_detects_leaked_permits() {
    let detected = first_violation(500, |seed| recovery(seed, InjectedBug::Leak));
    let (seed, violation) = detected.expect("no seed exposes the injected bug");
    println!("Leak: seed {seed}: {violation}");
}
