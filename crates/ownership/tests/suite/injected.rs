//! Tests of the checks themselves: each injected fault has to be detected.

use rstest::rstest;

use crate::chaos::run;
use crate::fake_target::TargetFaults;
use crate::world::SimConfig;

/// Number of schedules tried for each fault.
const SEEDS: u64 = 400;

fn target(faults: TargetFaults) -> SimConfig {
    SimConfig { target_faults: faults, ..SimConfig::default() }
}

/// Guards against checks that pass whatever controllers and targets do.
#[rstest]
#[case::no_wait_for_the_old_lease(
    target(TargetFaults { lease_overrun_ms: 900, ..TargetFaults::default() }), "two owners")]
#[case::no_wait_for_running_requests(
    SimConfig { request_max_ms: 0, ..SimConfig::default() }, "two owners")]
#[case::older_epochs_accepted(
    target(TargetFaults { accepts_older_epochs: true, ..TargetFaults::default() }), "epoch fell")]
#[case::late_grants_start_a_full_lease(
    target(TargetFaults { ignores_expiry: true, ..TargetFaults::default() }), "two owners")]
#[case::new_controller_without_query_and_wait(
    SimConfig { skips_query: true, ..SimConfig::default() }, "two owners")]
#[case::move_before_the_revocation_is_acknowledged(
    SimConfig { acknowledges_early: true, ..SimConfig::default() }, "two owners")]
#[case::clocks_outside_the_bound(
    SimConfig { drift_ppm: 200_000, ..SimConfig::default() }, "two owners")]
#[case::row_versions_ignored(
    SimConfig { table_ignores_versions: true, ..SimConfig::default() }, "lost assignment")]
fn an_injected_fault_is_caught(#[case] config: SimConfig, #[case] expected: &str) {
    let caught = (0..SEEDS).find_map(|seed| {
        let error = run(seed, config.clone()).err().filter(|error| error.contains(expected))?;
        Some(format!("seed {seed}: {error}"))
    });
    println!("{caught:?}");
    assert!(caught.is_some(), "no schedule of {SEEDS} seeds shows {expected:?}");
}
