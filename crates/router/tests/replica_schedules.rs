//! Seeded orders of failures around the copies that nodes have of the store's tables.
//!
//! `WAGTAILMOOR_SEEDS` sets the number of schedules of each case.

mod replica;

use std::env;
use std::time::Duration;

use replica::{Kind, Outcome, SiteSize, Violation};
use rstest::rstest;
use wagtailmoor_router::Confirmation;

/// Number of schedules of each case, unless `WAGTAILMOOR_SEEDS` sets another.
const DEFAULT_SEED_COUNT: u64 = 20;

/// Violations of one schedule that are printed.
const PRINTED_VIOLATIONS: usize = 3;

const SMALL_SITE: SiteSize = SiteSize { zones: 3, nodes: 8 };

const LARGER_SITE: SiteSize = SiteSize { zones: 3, nodes: 30 };

fn seed_count() -> u64 {
    env::var("WAGTAILMOOR_SEEDS").map_or(DEFAULT_SEED_COUNT, |text| text.parse().unwrap())
}

/// Returns the number of requests of a schedule that were decided by old data, and prints some.
fn violations(seed: u64, kind: Kind, kinds: &[Kind], size: SiteSize) -> usize {
    let Outcome { violations, judged, .. } = replica::run(seed, kind, kinds, size);
    assert!(judged > 0, "seed {seed}, {kind:?}: the rules excuse every request");
    let is_confirmed = |found: &&Violation| found.confirmation == Confirmation::Current;
    let confirmed = violations.iter().filter(is_confirmed).count();
    if !violations.is_empty() {
        let all = violations.len();
        eprintln!("seed {seed}, {kind:?}: {all} violations, {confirmed} by confirmed data");
    }
    violations.iter().take(PRINTED_VIOLATIONS).for_each(|found| eprintln!("  {found:?}"));
    violations.len()
}

/// Returns the seeds of schedules in which a request was decided by old data.
fn failed_seeds(kind: Kind, kinds: &[Kind], size: SiteSize) -> Vec<u64> {
    (0..seed_count()).filter(|seed| violations(*seed, kind, kinds, size) > 0).collect()
}

// Guards against requests that are decided by a configuration that was replaced more than two seconds
// ago, by nodes that the platform's rules don't excuse: by the exception for nodes without a source,
// by an age that is too low, or by an age without the rows that belong to it.
#[rstest]
#[case::history_lost(Kind::HistoryLost)]
#[case::lagging_reads(Kind::LaggingReads)]
#[case::store_down(Kind::StoreDown)]
#[case::clock_step(Kind::ClockStep)]
#[case::store_link(Kind::StoreLink)]
#[case::peer_link(Kind::PeerLink)]
#[case::zone_cut(Kind::ZoneCut)]
#[case::freeze(Kind::Freeze)]
#[case::leader_change(Kind::LeaderChange)]
#[case::restart(Kind::Restart)]
#[case::store_refuses_share(Kind::StoreRefusesShare)]
#[case::busy(Kind::Busy)]
fn old_data_decide_nothing(#[case] kind: Kind) {
    assert_eq!(failed_seeds(kind, &Kind::ALL, SMALL_SITE), Vec::<u64>::new());
}

// Guards against the same failures in schedules that failed before: processes without enough of a
// processor decided by old data, because a request had waited while answers were on their way.
#[rstest]
#[case(Kind::Busy, 0)]
#[case(Kind::StoreLink, 0)]
#[case(Kind::Freeze, 16)]
#[case(Kind::PeerLink, 80)]
#[case(Kind::LeaderChange, 104)]
#[case(Kind::StoreDown, 115)]
#[case(Kind::ZoneCut, 127)]
#[case(Kind::LaggingReads, 155)]
#[case(Kind::ClockStep, 244)]
#[case(Kind::Restart, 390)]
#[case(Kind::HistoryLost, 502)]
#[case(Kind::StoreRefusesShare, 1_012)]
fn found_schedules_hold(#[case] kind: Kind, #[case] seed: u64) {
    assert_eq!(violations(seed, kind, &Kind::ALL, SMALL_SITE), 0);
}

// Guards against nodes that let requests wait, or refuse them, although they and the store have been
// undisturbed for the contact time, while other nodes fail. Processes that are short of a processor are
// left out: their answers take as long as they do.
#[test]
fn nodes_in_touch_confirm_their_data_in_time() {
    let kinds: Vec<Kind> = Kind::ALL.into_iter().filter(|kind| *kind != Kind::Busy).collect();
    for kind in &kinds {
        for seed in 0..seed_count() / 4 {
            let outcome = replica::run(seed, *kind, &kinds, SMALL_SITE);
            assert!(outcome.violations.is_empty(), "seed {seed}, {kind:?}: {outcome:?}");
            assert_eq!(outcome.calm_wait_max, Duration::ZERO, "seed {seed}, {kind:?}");
        }
    }
}

// Guards against a zone that is back from a cut and whose many nodes ask only each other.
#[rstest]
#[case::zone_cut(Kind::ZoneCut)]
#[case::store_refuses_share(Kind::StoreRefusesShare)]
#[case::leader_change(Kind::LeaderChange)]
fn old_data_decide_nothing_in_a_larger_site(#[case] kind: Kind) {
    for seed in 0..seed_count() / 10 {
        assert_eq!(violations(seed, kind, &Kind::ALL, LARGER_SITE), 0);
    }
}
