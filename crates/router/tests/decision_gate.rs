//! Whether requests may be decided by the data of a node.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_router::{Confirmation, DataSource, DecisionGate};

const APPLY_TIME: Duration = Duration::from_secs(2);

const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Interval of checks while the data are old.
const CHECK_MS: u64 = 20;

/// The process runs on time for this long before old data may decide.
const RUNNING_MS: u64 = 400;

const START: Instant = Instant::from_us(100_000_000);

const STORE: DataSource = DataSource::Store(0);

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn gate() -> DecisionGate {
    DecisionGate::new(APPLY_TIME, CONTACT_TIME)
}

/// Lets the process run on time between two times.
fn run(gate: &mut DecisionGate, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(CHECK_MS as usize) {
        gate.record_check(at(ms));
    }
}

/// Lets a call of each source fail that was sent at a time.
fn fail(gate: &mut DecisionGate, sent_ms: u64) {
    gate.record_failure(STORE, at(sent_ms));
    gate.record_failure(DataSource::OtherNodes, at(sent_ms));
}

fn age(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn check(gate: &DecisionGate, ms: u64) -> Confirmation {
    gate.check(at(ms), age(9_000), true)
}

// Guards against requests that are decided by data in which a change can be missing that must be in
// force.
#[test]
fn old_data_need_a_confirmation() {
    let gate = gate();
    assert!(gate.age_max() < APPLY_TIME);
    assert_eq!(gate.check(at(0), gate.age_max(), true), Confirmation::Current);
    assert_eq!(gate.check(at(1), gate.age_max() + age(1), true), Confirmation::Pending);
}

// Guards against a node that takes a failure of its sources from before it ran on time for a reason to
// decide by old data, although none was tried since.
#[test]
fn failures_before_the_process_ran_on_time_do_not_count() {
    let mut gate = gate();
    fail(&mut gate, 0);
    run(&mut gate, 10, 10 + RUNNING_MS);
    assert_eq!(check(&gate, 10 + RUNNING_MS), Confirmation::Pending);
    fail(&mut gate, 200);
    assert_eq!(check(&gate, 10 + RUNNING_MS), Confirmation::Unreachable);
}

// Guards against a request that waits while answers are on their way, and that takes the wait for a
// reason to decide by old data.
#[test]
fn a_wait_without_failed_calls_is_no_evidence() {
    let mut gate = gate();
    for ms in (0..20_000).step_by(CHECK_MS as usize) {
        gate.record_check(at(ms));
        assert_eq!(check(&gate, ms), Confirmation::Pending, "after {ms} ms");
    }
}

// Guards against one source whose failures let old data decide although another was not tried, or has
// answered.
#[test]
fn each_source_must_have_failed() {
    for failed in [STORE, DataSource::OtherNodes] {
        let mut gate = gate();
        run(&mut gate, 0, RUNNING_MS);
        gate.record_failure(failed, at(100));
        assert_eq!(check(&gate, RUNNING_MS), Confirmation::Pending, "{failed:?}");
        fail(&mut gate, 150);
        assert_eq!(check(&gate, RUNNING_MS), Confirmation::Unreachable);
        gate.record_answer(failed);
        assert_eq!(check(&gate, RUNNING_MS), Confirmation::Pending, "{failed:?}");
    }
}

// Guards against the failures of other nodes that keep old data in use while the store can be reached
// again: a neighbour without data of its own fails each call.
#[test]
fn failures_of_other_nodes_do_not_extend_the_exception() {
    let mut gate = gate();
    run(&mut gate, 0, RUNNING_MS);
    fail(&mut gate, 100);
    let lifetime = u64::try_from(gate.evidence_lifetime().as_millis()).unwrap();
    for ms in (RUNNING_MS..6_000).step_by(CHECK_MS as usize) {
        gate.record_check(at(ms));
        gate.record_failure(DataSource::OtherNodes, at(ms));
        let expected = match ms < 100 + lifetime {
            true => Confirmation::Unreachable,
            false => Confirmation::Pending,
        };
        assert_eq!(check(&gate, ms), expected, "after {ms} ms");
    }
}

// Guards against a node without a source that serves nothing, or lets each request wait.
#[test]
fn a_node_without_a_source_decides_by_old_data_while_its_sources_fail() {
    let mut gate = gate();
    run(&mut gate, 0, RUNNING_MS);
    fail(&mut gate, 100);
    for ms in (RUNNING_MS..20_000).step_by(CHECK_MS as usize) {
        gate.record_check(at(ms));
        if ms % 1_900 < CHECK_MS {
            fail(&mut gate, ms - 100);
        }
        assert_eq!(check(&gate, ms), Confirmation::Unreachable, "after {ms} ms");
    }
}

// Guards against a node without others that waits for their failures.
#[test]
fn a_single_node_needs_no_failures_of_others() {
    let mut gate = gate();
    run(&mut gate, 0, RUNNING_MS);
    gate.record_failure(STORE, at(100));
    assert_eq!(gate.check(at(RUNNING_MS), age(9_000), false), Confirmation::Unreachable);
}

// Guards against a node that decides by old data for longer than its sources are known to fail, for
// example because it stood still meanwhile.
#[test]
fn a_node_that_stood_still_needs_new_evidence() {
    let mut gate = gate();
    run(&mut gate, 0, RUNNING_MS);
    fail(&mut gate, 100);
    assert_eq!(check(&gate, RUNNING_MS), Confirmation::Unreachable);
    let resumed_ms = RUNNING_MS + 400;
    assert_eq!(check(&gate, resumed_ms), Confirmation::Pending);
    run(&mut gate, resumed_ms, resumed_ms + RUNNING_MS);
    // A failure of a call from before doesn't show that no source can be reached now.
    fail(&mut gate, resumed_ms - 1);
    assert_eq!(check(&gate, resumed_ms + RUNNING_MS), Confirmation::Pending);
    fail(&mut gate, resumed_ms + 1);
    assert_eq!(check(&gate, resumed_ms + RUNNING_MS), Confirmation::Unreachable);
}

// Guards against a node that goes on deciding by old data after a source has confirmed newer ones.
#[test]
fn a_confirmation_ends_the_exception() {
    let mut gate = gate();
    run(&mut gate, 0, RUNNING_MS);
    fail(&mut gate, 100);
    assert_eq!(gate.check(at(500), age(20), true), Confirmation::Current);
    gate.record_answer(STORE);
    assert_eq!(gate.check(at(500), age(1_620), true), Confirmation::Pending);
}

// Guards against a stated time so short that no data would ever be current.
#[test]
fn a_short_apply_time_leaves_time_for_a_confirmation() {
    for apply_time in [Duration::ZERO, Duration::from_millis(1)] {
        let gate = DecisionGate::new(apply_time, CONTACT_TIME);
        assert_eq!(gate.check(at(0), age(900), true), Confirmation::Current);
    }
    let gate = DecisionGate::new(Duration::from_secs(86_400), CONTACT_TIME);
    assert!(gate.age_max() > APPLY_TIME);
}

// Guards against a source that can be reached again, and whose failure still lets requests be decided
// by old data because its call took long to fail.
#[test]
fn a_failure_counts_from_the_sending_of_its_call() {
    let mut gate = gate();
    let lifetime = u64::try_from(gate.evidence_lifetime().as_millis()).unwrap();
    assert!(gate.evidence_lifetime() < CONTACT_TIME);
    run(&mut gate, 0, 400 + lifetime);
    fail(&mut gate, 400);
    assert_eq!(check(&gate, 399 + lifetime), Confirmation::Unreachable);
    assert_eq!(check(&gate, 400 + lifetime), Confirmation::Pending);
}

// Guards against a process that was busy and counts the time, but not the turns in which its sources
// could have answered.
#[test]
fn a_process_that_is_busy_has_no_evidence() {
    let mut gate = gate();
    for ms in (0..6_000).step_by(200) {
        gate.record_check(at(ms));
        fail(&mut gate, ms);
        assert_eq!(check(&gate, ms), Confirmation::Pending, "after {ms} ms");
    }
}
