//! Shows that the checks can fail: each fault put in by hand has to be caught.

use rstest::rstest;

use crate::chaos::run;
use crate::fake_target::TargetFaults;
use crate::world::Scale;

/// Schedules tried for each fault.
const SEEDS: u64 = 400;

fn target(faults: TargetFaults) -> Scale {
    Scale { target_faults: faults, ..Scale::default() }
}

/// Guards against checks that pass whatever the controllers and targets do.
#[rstest]
#[case::no_wait_for_the_old_lease(
    target(TargetFaults { overstays_ms: 900, ..TargetFaults::default() }), "two owners")]
#[case::no_wait_for_running_requests(
    Scale { request_max_ms: 0, ..Scale::default() }, "two owners")]
#[case::older_epochs_accepted(
    target(TargetFaults { accepts_older_epochs: true, ..TargetFaults::default() }), "epoch fell")]
#[case::late_grants_start_a_full_lease(
    target(TargetFaults { ignores_expiry: true, ..TargetFaults::default() }), "two owners")]
#[case::new_controller_without_query_and_wait(
    Scale { skips_query: true, ..Scale::default() }, "two owners")]
#[case::move_before_the_revocation_is_acknowledged(
    Scale { acknowledges_early: true, ..Scale::default() }, "two owners")]
#[case::clocks_outside_the_bound(
    Scale { drift_ppm: 200_000, ..Scale::default() }, "two owners")]
#[case::row_versions_ignored(
    Scale { table_ignores_versions: true, ..Scale::default() }, "lost assignment")]
fn an_injected_fault_is_caught(#[case] scale: Scale, #[case] expected: &str) {
    let caught = (0..SEEDS).find_map(|seed| {
        let error = run(seed, scale.clone()).err().filter(|error| error.contains(expected))?;
        Some(format!("seed {seed}: {error}"))
    });
    println!("{caught:?}");
    assert!(caught.is_some(), "no schedule of {SEEDS} seeds shows {expected:?}");
}
