//! Whether requests may be decided by the data of a node.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_router::{Confirmation, DecisionGate};

const APPLY_TIME: Duration = Duration::from_secs(2);

/// Interval of checks while requests wait.
const CHECK_MS: u64 = 20;

const START: Instant = Instant::from_us(100_000_000);

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

/// Lets a request wait in vain until `START`.
fn wait_in_vain(gate: &mut DecisionGate) {
    let until_start_ms = (0..=300).rev().step_by(CHECK_MS as usize);
    let checks = until_start_ms.map(|ms| gate.record_check(START - Duration::from_millis(ms)));
    assert_eq!(checks.filter(|in_vain| *in_vain).count(), 1);
}

fn age(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against requests that are decided by data in which a change can be missing that must be in
// force.
#[test]
fn old_data_need_a_confirmation() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    assert!(gate.age_max() < APPLY_TIME);
    assert_eq!(gate.check(at(0), gate.age_max()), Confirmation::Current);
    assert_eq!(gate.check(at(1), gate.age_max() + age(1)), Confirmation::Pending);
}

// Guards against a node that takes a failure of its sources from before for a reason to decide by
// old data, although none was tried since it stood still.
#[test]
fn failures_before_a_request_waited_in_vain_do_not_count() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    gate.record_failure(at(0), at(0));
    assert_eq!(gate.check(at(10), age(5_000)), Confirmation::Pending);
}

// Guards against a node without a source that serves nothing, or lets each request wait.
#[test]
fn a_node_without_a_source_decides_by_old_data_while_its_sources_fail() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    wait_in_vain(&mut gate);
    for step in 0..20 {
        let now = at(step * 900);
        assert_eq!(gate.check(now, age(9_000)), Confirmation::Unreachable, "{now:?}");
        gate.record_failure(now, now);
    }
}

// Guards against a node that decides by old data for longer than its sources are known to fail, for
// example because it stood still meanwhile.
#[test]
fn a_node_that_stood_still_needs_a_confirmation_again() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    wait_in_vain(&mut gate);
    gate.record_failure(at(1_000), at(1_000));
    assert_eq!(gate.check(at(3_500), age(9_000)), Confirmation::Pending);
    // A failure of a call from before doesn't show that no source can be reached now.
    gate.record_failure(at(3_510), at(3_505));
    assert_eq!(gate.check(at(3_520), age(9_000)), Confirmation::Pending);
}

// Guards against a node that goes on deciding by old data after a source has confirmed newer ones.
#[test]
fn a_confirmation_ends_the_exception() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    wait_in_vain(&mut gate);
    assert_eq!(gate.check(at(100), age(20)), Confirmation::Current);
    assert_eq!(gate.check(at(1_700), age(1_620)), Confirmation::Pending);
}

// Guards against a stated time so short that no data would ever be current.
#[test]
fn a_short_apply_time_leaves_time_for_a_confirmation() {
    for apply_time in [Duration::ZERO, Duration::from_millis(1)] {
        let mut gate = DecisionGate::new(apply_time);
        assert_eq!(gate.check(at(0), age(900)), Confirmation::Current);
    }
    assert!(DecisionGate::new(Duration::from_secs(86_400)).age_max() > APPLY_TIME);
}

// Guards against a source that can be reached again, and whose failure still lets requests be decided
// by old data because its call took long to fail.
#[test]
fn a_failure_counts_from_the_sending_of_its_call() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    wait_in_vain(&mut gate);
    gate.record_failure(at(1_500), at(400));
    assert_eq!(gate.check(at(2_399), age(9_000)), Confirmation::Unreachable);
    assert_eq!(gate.check(at(2_400), age(9_000)), Confirmation::Pending);
}

// Guards against a process that stood still while a request waited, and that decides by old data
// before its sources had a turn.
#[test]
fn a_wait_starts_anew_after_the_process_stood_still() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    assert!((0..10).all(|check| !gate.record_check(at(check * CHECK_MS))));
    let resumed_ms = 3_000;
    assert!((0..15).all(|check| !gate.record_check(at(resumed_ms + check * CHECK_MS))));
    assert_eq!(gate.check(at(3_300), age(4_000)), Confirmation::Pending);
    assert!(gate.record_check(at(3_300)));
    assert_eq!(gate.check(at(3_300), age(4_000)), Confirmation::Unreachable);
}

// Guards against a process that was busy and counts the time, but not the turns in which its sources
// could have answered.
#[test]
fn few_checks_are_not_in_vain() {
    let mut gate = DecisionGate::new(APPLY_TIME);
    assert!((0..10).all(|check| !gate.record_check(at(check * 400))));
}
