//! Injects bugs into the protocol and asserts that the checks of the simulation detect each one.
//! Guards against checks that cannot fail.

mod support;

use rstest::rstest;
use support::{
    InjectedBug, World, released_then_restarted, releases_at_different_times, run_schedule,
    takeover_near_the_end_of_tenure,
};

const SEEDS: u64 = 3_000;
const FAULTS_US: u64 = 6_000_000;

#[rstest]
#[case(InjectedBug::NoRestartWait)]
#[case(InjectedBug::ShortPromise)]
#[case(InjectedBug::NoReleases)]
#[case(InjectedBug::FastClocks)]
#[case(InjectedBug::NoDriftAllowance)]
#[case(InjectedBug::NoCompare)]
#[case(InjectedBug::ForgedConsent)]
#[case(InjectedBug::CachedAuthority)]
#[case(InjectedBug::ForgedGrant)]
fn random_schedules_detect(#[case] bug: InjectedBug) {
    let violation = (0..SEEDS).find_map(|seed| run_schedule(seed, bug, FAULTS_US, 0).0.violation);
    println!("{bug:?}: {violation:?}");
    assert!(violation.is_some(), "{bug:?} was not detected with {SEEDS} seeds");
}

/// These bugs show only after a sequence of faults that random schedules rarely produce. Without
/// the bug, the sequence causes no violation.
#[rstest]
#[case::released_generation_is_confirmed(InjectedBug::ForgedConfirmation, released_then_restarted)]
#[case::release_is_lost_by_a_restart(InjectedBug::ForgedRelease, releases_at_different_times)]
#[case::tenure_is_inherited_too_long(
    InjectedBug::OverstatedTenure,
    takeover_near_the_end_of_tenure
)]
fn fault_sequences_detect(#[case] bug: InjectedBug, #[case] run: fn(u64, InjectedBug) -> World) {
    for seed in 0..50 {
        let violation = run(seed, InjectedBug::None).violation;
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
    }
    let violation = (0..50).find_map(|seed| run(seed, bug).violation);
    println!("{bug:?}: {violation:?}");
    assert!(violation.is_some(), "{bug:?} was not detected");
}
