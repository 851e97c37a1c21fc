//! The share of the requests on a range that is admitted to its owner.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{Incarnation, Instant, ShardKey};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, KeyRange, RangeAssigner, TargetCapacity,
    TargetProcess,
};

const HOT: u16 = 1_000;
const QUIET: u16 = 9_000;

fn now() -> Instant {
    Instant::from_us(1_000_000)
}

/// An assigner whose only target owns a range with a hot key and a range with a quiet one.
fn assigner(hot: u32, quiet: u32) -> RangeAssigner {
    let process =
        TargetProcess { target: "i-1".parse().unwrap(), incarnation: Incarnation::new(1) };
    let mut table = AssignmentTable::default();
    for (first, last) in [(0, 4_095), (4_096, u16::MAX)] {
        let range = KeyRange::new(ShardKey::new(first), ShardKey::new(last)).unwrap();
        table.assign(range, process.clone());
    }
    let authority = Authority { sole_from: now(), until: now() + Duration::from_secs(4) };
    let settings = AssignerSettings::default();
    let mut assigner = RangeAssigner::new(now(), settings, authority, Some(&table));
    assigner.add_load(ShardKey::new(HOT), hot);
    assigner.add_load(ShardKey::new(QUIET), quiet);
    assigner
}

/// Returns the admitted shares of the range of the hot key and of the range of the quiet key.
fn admitted(assigner: &RangeAssigner, capacity: TargetCapacity) -> [f64; 2] {
    let shares = assigner.limited_shares(now(), |_| Some(capacity));
    [HOT, QUIET].map(|key| {
        let share = shares.iter().find(|share| share.range.contains(ShardKey::new(key)));
        share.map_or(1.0, |share| f64::from(share.admitted.get()) / 1_000_000.0)
    })
}

// Guards against a hot key that fills the queue of its owner, so that requests on all keys of the
// owner end too late. In run scale-1 of grown/fvmu-macerator, of 113 requests at a
// target in 6 s, 7 ended in time and 62 not at all.
#[test]
fn a_hot_key_takes_no_capacity_from_other_ranges() {
    // The load is averaged over half a second.
    let assigner = assigner(50, 2);
    let [hot, quiet] = admitted(&assigner, TargetCapacity { rate_per_s: 24.0, queue_space: 0.0 });
    assert!((hot - 0.2).abs() < 0.01, "{hot}");
    assert!((quiet - 1.0).abs() < f64::EPSILON, "{quiet}");
}

// Guards against requests that are refused although their owner can run them in time.
#[rstest]
#[case::rate_is_sufficient(30.0, 0.0)]
#[case::excess_fits_into_the_queue(14.0, 16.0)]
fn an_owner_with_capacity_gets_all_requests(#[case] rate_per_s: f64, #[case] queue_space: f64) {
    let [hot, quiet] = admitted(&assigner(10, 5), TargetCapacity { rate_per_s, queue_space });
    assert!(hot + quiet >= 2.0, "{hot} {quiet}");
}

// Guards against a queue that stays too long, and against an owner that gets no requests.
#[test]
fn a_long_queue_lowers_the_admitted_share() {
    let assigner = assigner(50, 50);
    let [with_queue, _] =
        admitted(&assigner, TargetCapacity { rate_per_s: 40.0, queue_space: -20.0 });
    let [without_queue, _] =
        admitted(&assigner, TargetCapacity { rate_per_s: 40.0, queue_space: 0.0 });
    assert!(with_queue < without_queue);
    let [with_extreme_queue, _] =
        admitted(&assigner, TargetCapacity { rate_per_s: 40.0, queue_space: -1_000.0 });
    assert!(with_extreme_queue > 0.0);
}
