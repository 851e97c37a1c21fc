//! Credit issuers and holders under random faults.

mod harness;

use harness::credits::{Credits, InjectedBug, Workload};
use harness::plan::{Fault, Plan};
use harness::rate_check::RateCheck;
use harness::world::World;
use harness::{MS, first_violation, run_seeds};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailmoor_limits::CreditSettings;

const FAULT_PERIOD_US: u64 = 3_000 * MS;
const FAULT_FREE_US: u64 = 3_000 * MS;
/// Time after the last fault by which all demand within the rate is admitted again: an issuer waits
/// 408 ms for credits of previous issuers to expire, and then fills its empty accounts at 0.9 of
/// the rate while half of the rate is used.
const RECOVERY_US: u64 = 2_000 * MS;
const PHASE_US: u64 = 250 * MS;

fn random_workload(rng: &mut ChaCha8Rng, nodes: usize) -> Workload {
    let rate = [20, 50, 100][rng.random_range(0..3)];
    let burst = rate * [2, 8, 16][rng.random_range(0..3)] / 8;
    let skewed = rng.random_bool(0.5);
    let shares = match skewed {
        true => (0..nodes).map(|node| if node == 0 { 0.8 } else { 0.2 / nodes as f64 }).collect(),
        false => vec![1.0 / nodes as f64; nodes],
    };
    let fault_phases = FAULT_PERIOD_US / PHASE_US;
    let factors = [0.0, 0.5, 1.0, 5.0];
    let mut phases: Vec<f64> = (0..fault_phases).map(|_| factors[rng.random_range(0..4)]).collect();
    phases.push(0.5);
    Workload {
        rate,
        burst,
        shares,
        phases,
        phase_us: PHASE_US,
        batch: 0.02,
        batch_size: 20,
        abandoned: 0.0,
    }
}

fn schedule(seed: u64, injected_bug: InjectedBug) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::random(&mut rng, FAULT_PERIOD_US, FAULT_FREE_US);
    let workloads = (0..2).map(|_| random_workload(&mut rng, plan.nodes)).collect();
    let mut credits = Credits::new(plan.nodes, plan.zones, workloads);
    credits.injected_bug = injected_bug;
    credits.settings.reserve = [0, 1, 5, 50][rng.random_range(0..4)];
    let mut world = World::new(seed, plan, credits);
    world.run();
    world.protocol.violation.take().map_or(Ok(world.steps), Err)
}

/// Guards against more admitted requests than rate and burst allow in any window, under random
/// faults of nodes, issuers and messages.
#[test]
fn rate_limit_holds_in_every_window() {
    run_seeds(1_000, |seed| schedule(seed, InjectedBug::None));
}

/// Runs a plan in which one node keeps the credits of disconnected clients, and the issuer moves
/// without a gap between batches of requests.
fn moving_issuers(seed: u64, injected_bug: InjectedBug) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (nodes, zones) = (2, 1);
    let mut plan = Plan::without_faults(nodes, zones, FAULT_PERIOD_US);
    for _ in 0..3 {
        let (at, to) = (rng.random_range(1_500 * MS..FAULT_PERIOD_US), rng.random_range(0..nodes));
        plan.faults.push((at, Fault::MoveIssuer { zone: 0, to, gap_us: 0 }));
    }
    let low_demand = |_| [0.0, 0.0, 0.2, 0.4][rng.random_range(0..4)];
    let phases = (0..FAULT_PERIOD_US / PHASE_US).map(low_demand).collect();
    let shares = vec![1.0, 0.0];
    let (rate, burst) = (100, 80);
    let (batch, batch_size, abandoned) = (0.2, 80, 0.5);
    let phase_us = PHASE_US;
    let workload = Workload { rate, burst, shares, phases, phase_us, batch, batch_size, abandoned };
    let mut credits = Credits::new(nodes, zones, vec![workload]);
    credits.injected_bug = injected_bug;
    credits.settings.reserve = 200;
    let mut world = World::new(seed, plan, credits);
    world.run();
    world.protocol.violation.take().map_or(Ok(world.steps), Err)
}

/// Guards against counting credits of the previous issuer twice while holders have most of them.
#[test]
fn rate_limit_holds_while_issuers_move() {
    run_seeds(1_000, |seed| moving_issuers(seed, InjectedBug::None));
}

/// Guards against a rate check that does not detect violations.
#[rstest]
#[case::no_expiry(InjectedBug::NoExpiry, schedule)]
#[case::no_wait(InjectedBug::NoWait, moving_issuers)]
#[case::full_start(InjectedBug::FullStart, schedule)]
#[case::return_used(InjectedBug::ReturnUsed, schedule)]
#[case::return_twice(InjectedBug::ReturnTwice, schedule)]
fn rate_check_detects(
    #[case] injected_bug: InjectedBug,
    #[case] schedule: fn(u64, InjectedBug) -> Result<u64, String>,
) {
    let detected = first_violation(2_000, |seed| schedule(seed, injected_bug));
    let (seed, violation) = detected.expect("no seed exposes the injected bug");
    println!("{injected_bug:?}: seed {seed}: {violation}");
}

/// Checks that no request is refused in the last second; `change_plan` modifies the random plan.
fn recovery(seed: u64, change_plan: fn(&mut Plan)) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = Plan::random(&mut rng, FAULT_PERIOD_US, FAULT_FREE_US);
    let mut workload = random_workload(&mut rng, plan.nodes);
    workload.batch = 0.0;
    workload.burst = workload.rate;
    let mut credits = Credits::new(plan.nodes, plan.zones, vec![workload]);
    credits.settings = CreditSettings::default();
    credits.record_refusals_from_us = FAULT_PERIOD_US + RECOVERY_US;
    change_plan(&mut plan);
    let mut world = World::new(seed, plan, credits);
    world.run();
    match world.protocol.stats[0].late_refusals.first() {
        Some((at_us, refusal)) => Err(format!("refused at {at_us} us: {refusal:?}")),
        None => Ok(world.steps),
    }
}

/// Guards against demand within the rate that is still refused after the faults have ended.
#[test]
fn demand_within_rate_is_admitted_again() {
    run_seeds(2_000, |seed| recovery(seed, |_| {}));
}

/// Guards against a liveness check that does not detect failures: one node stays partitioned, or no
/// issuer starts again.
#[rstest]
#[case::partition(|plan: &mut Plan| {
    plan.faults.push((FAULT_PERIOD_US, Fault::Join { node: 0 }));
    plan.faults.push((FAULT_PERIOD_US, Fault::Partition { node: 0, for_us: FAULT_FREE_US }));
})]
#[case::no_issuer(|plan: &mut Plan| {
    let gap_us = FAULT_FREE_US;
    let moves = (0..plan.zones).map(|zone| Fault::MoveIssuer { zone, to: 0, gap_us });
    plan.faults.extend(moves.map(|fault| (FAULT_PERIOD_US + 501 * MS, fault)));
})]
fn liveness_check_detects(#[case] change_plan: fn(&mut Plan)) {
    let detected = first_violation(500, |seed| recovery(seed, change_plan));
    let (seed, violation) = detected.expect("no seed exposes the injected bug");
    println!("seed {seed}: {violation}");
}

/// Guards against windows that the rate check misses, by comparing it with a check of every window.
#[test]
fn rate_check_covers_all_windows() {
    run_seeds(200, |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (rate, burst) = (rng.random_range(1..50), rng.random_range(1..20));
        let mut times: Vec<u64> = (0..60).map(|_| rng.random_range(1..2_000 * MS)).collect();
        times.sort_unstable();
        let mut check = RateCheck::new(rate, burst);
        let rate_check_holds = times.iter().all(|at| check.admit(*at));
        let window_holds = |first: usize, last: usize| {
            let count = (last - first + 1) as u64;
            let span = times[last] - times[first];
            count * 1_000_000 <= u64::from(rate) * span + u64::from(burst) * 1_000_000
        };
        let all_windows_hold =
            (0..60).all(|last| (0..=last).all(|first| window_holds(first, last)));
        if rate_check_holds == all_windows_hold {
            Ok(1)
        } else {
            Err(format!("one pass: {rate_check_holds}, windows: {all_windows_hold}"))
        }
    });
}
