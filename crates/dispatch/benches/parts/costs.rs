//! CPU time and memory per operation.

use std::hint::black_box;
use std::time::{self, Duration};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, RowVersion, TargetId};
use wagtailmoor_dispatch::{
    AttemptId, BalancingPolicy, ChoiceRequest, CrashLedger, CrashSettings, Fingerprint,
    LatencyQuantile, Observation, PlanInput, PlanRequest, PlanSettings, PowerOfTwo, Random,
    RecordKeeper, RecordKey, RecordOutput, RecordSettings, RequestPlan, ResponseHead, RetryBudget,
    TargetSettings, TargetTable, TimeBucket, WriteResult,
};

use super::queueing::{many_members, target};

const ROUNDS: u32 = 200_000;

struct UnlimitedBudget;

impl RetryBudget for UnlimitedBudget {
    fn earn(&mut self, _now: Instant) {}

    fn spend(&mut self, _now: Instant) -> bool {
        true
    }
}

/// Prints the CPU time per operation, relative to one clock reading in the same run.
pub(crate) fn print() {
    let baseline = baseline_us();
    println!("Time per decision (baseline: one reading of the clock, {baseline:.3} us)");
    println!("decision                           us  ratio to baseline");
    for count in [5, 32, 128] {
        row(&format!("choice, product, {count} targets"), choice_us(count, PowerOfTwo), baseline);
        row(&format!("choice, random, {count} targets"), choice_us(count, Random), baseline);
    }
    row("request of one attempt", attempt_us(), baseline);
    row("latency quantile, one sample", quantile_us(), baseline);
    row("fingerprint, 1 KiB body", fingerprint_us(), baseline);
    row("ledger, record an answer", ledger_us(), baseline);
    println!();
}

/// Prints the memory per target and per record.
///
/// Must run first, because memory freed by other parts would be reused and not be counted.
pub(crate) fn print_memory() {
    let (records, keepers) = record_bytes();
    let targets = target_bytes();
    drop(keepers);
    println!("Resident memory: {targets} bytes per target, {records} bytes per record");
    println!();
}

fn row(name: &str, cost_us: f64, baseline_us: f64) {
    println!("{name:30} {cost_us:7.3} {:18.1}", cost_us / baseline_us);
}

fn timed(rounds: u32, mut act: impl FnMut(u32)) -> f64 {
    let start = time::Instant::now();
    (0..rounds).for_each(&mut act);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn baseline_us() -> f64 {
    timed(ROUNDS, |_| {
        black_box(time::Instant::now());
    })
}

fn time_of_round(round: u32) -> Instant {
    Instant::from_us(1_000_000 + u64::from(round) * 100)
}

fn table(count: usize) -> TargetTable {
    let mut table = TargetTable::new("z1".parse().expect("valid id"), TargetSettings::default());
    table.set_members(Instant::default(), many_members(count, 4));
    for index in 0..count * 8 {
        let elapsed = Duration::from_millis(5 + index as u64 % 3);
        let observation = Observation::Answered { elapsed, cold: false };
        table.observe(time_of_round(0), &target(index % count), &observation);
    }
    table
}

fn choice_us<C: BalancingPolicy>(count: usize, mut policy: C) -> f64 {
    let mut table = table(count);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut permits = |_: Instant, _: &TargetId| Some(());
    timed(ROUNDS, |round| {
        let choice_request = ChoiceRequest { idempotent: true, avoid: &[] };
        let now = time_of_round(round);
        black_box(table.choose(now, choice_request, &mut policy, &mut permits, &mut random));
    })
}

fn attempt_us() -> f64 {
    let head = ResponseHead { status: 200, not_run: false, retry_after: None, cold: false };
    let target = target(1);
    timed(ROUNDS, |round| {
        let attempt = AttemptId::new(u128::from(round) << 8);
        let request = PlanRequest {
            id: attempt,
            idempotent: true,
            replayable: true,
            deadline: time_of_round(round) + Duration::from_secs(1),
            hedge_after: Some(Duration::from_millis(20)),
        };
        let now = time_of_round(round);
        let mut plan = RequestPlan::new(PlanSettings::default(), request);
        black_box(plan.start(now, &mut UnlimitedBudget));
        let target = target.clone();
        let assigned = PlanInput::Assigned { attempt, target, guard: (), send_before: None };
        black_box(plan.handle(now, assigned, &mut UnlimitedBudget));
        black_box(plan.handle(now, PlanInput::Connected { attempt }, &mut UnlimitedBudget));
        black_box(plan.handle(now, PlanInput::BytesSent { attempt }, &mut UnlimitedBudget));
        black_box(plan.handle(now, PlanInput::Head { attempt, head }, &mut UnlimitedBudget));
        black_box(plan.handle(now, PlanInput::BodyEnded { attempt }, &mut UnlimitedBudget));
    })
}

fn quantile_us() -> f64 {
    let mut quantile = LatencyQuantile::new();
    timed(ROUNDS, |round| {
        quantile.add(Duration::from_micros(u64::from(round % 50_000)));
        black_box(quantile.p95());
    })
}

fn fingerprint_us() -> f64 {
    let customer = "c1".parse().expect("valid id");
    let body = [7; 1024];
    timed(ROUNDS, |_| {
        black_box(Fingerprint::of(1, Some(&customer), "POST", "/orders", &body));
    })
}

fn ledger_us() -> f64 {
    let mut ledger = CrashLedger::new(CrashSettings::default());
    timed(ROUNDS, |round| {
        ledger.record_answer(time_of_round(round), Fingerprint::new(u128::from(round) << 60));
    })
}

fn target_bytes() -> u64 {
    const TABLES: u64 = 2_000;
    const TARGETS: u64 = 128;
    let before = resident_bytes();
    let tables: Vec<TargetTable> = (0..TABLES).map(|_| table(TARGETS as usize)).collect();
    let used = resident_bytes().saturating_sub(before);
    black_box(&tables);
    used / (TABLES * TARGETS)
}

fn record_bytes() -> (u64, Vec<RecordKeeper<ChaCha8Rng>>) {
    const KEEPERS: u64 = 50;
    let before = resident_bytes();
    let keepers: Vec<_> = (0..KEEPERS).map(full_keeper).collect();
    let used = resident_bytes().saturating_sub(before);
    let records: u64 = keepers.iter().map(|keeper| keeper.len() as u64).sum();
    (used / records.max(1), keepers)
}

/// Returns a keeper filled with records of running requests.
fn full_keeper(seed: u64) -> RecordKeeper<ChaCha8Rng> {
    let node = "n1".parse().expect("valid id");
    let settings = RecordSettings::default();
    let records = settings.entries_max as u32;
    let mut keeper = RecordKeeper::new(node, settings, ChaCha8Rng::seed_from_u64(seed));
    let customer = "c1".parse().expect("valid id");
    for record in 0..records {
        let now = time_of_round(record * 1000);
        let key = RecordKey::of(&customer, &record.to_le_bytes());
        let deadline = now + Duration::from_secs(1);
        let (_, out) = keeper.claim(now, key, deadline, TimeBucket::new(1));
        for output in out {
            if let RecordOutput::Write { call, rows, .. } = output {
                let versions = vec![RowVersion::new(1); rows.len()];
                keeper.on_write(now, call, WriteResult::Done { versions });
            }
        }
    }
    keeper
}

/// Returns the resident memory of this process. Works on Linux only.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    pages * 4096
}
