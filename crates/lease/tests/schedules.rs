//! Random schedules of crashes, pauses, partitions, message loss, late messages, store outages and
//! clock drift. Guards against two controllers in a zone, broken promises and a zone that stays
//! without a controller.

mod support;

use std::thread;

use support::{InjectedBug, run_schedule, seeds};

const FAULTS_US: u64 = 6_000_000;
// The slowest recovery: 3 s until a node outside the panel installs a new one, the shortest tenures
// and the zone promises that follow, and the promise wait of a restarted node.
const BOUND_US: u64 = 10_000_000;
const THREADS: u64 = 4;

#[test]
fn random_schedules_keep_one_controller_and_recover() {
    let seeds = seeds(2_000);
    let run = |thread: u64| {
        let mut worst_us = 0;
        let mut steps = 0;
        for seed in (thread..seeds).step_by(THREADS as usize) {
            let (world, recovered_us) = run_schedule(seed, InjectedBug::None, FAULTS_US, BOUND_US);
            assert!(world.violation.is_none(), "seed {seed}: {:?}", world.violation);
            let Some(recovery_us) = recovered_us else {
                panic!(
                    "seed {seed}: no controller {BOUND_US} us after the faults: {:?}",
                    world.rows
                );
            };
            worst_us = recovery_us.max(worst_us);
            steps += world.steps;
        }
        (worst_us, steps)
    };
    let results: Vec<(u64, u64)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || run(thread))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a seed failed, see above")).collect()
    });
    let worst_us = results.iter().map(|(worst_us, _)| worst_us).max().expect("threads ran");
    let steps: u64 = results.iter().map(|(_, steps)| steps).sum();
    println!("seeds={seeds} steps={steps} worst_recovery_us={worst_us}");
}
