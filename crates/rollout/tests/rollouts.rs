//! Whole rollouts on a simulated site.

mod support;

use rstest::rstest;
use support::{Attempt, Behaviour, COLD_MS, Outcome, Plan, run};
use wagtailmoor_rollout::RolloutState;

const SEEDS: u64 = 6;

const PLAN: Plan = Plan {
    hosts: 12,
    per_s: 300,
    old: 24,
    new: 24,
    new_start_ms: 500,
    duration_ms: 12_000,
    behaviour: good,
    leader_lost_ms: &[],
    restarts_percent: 0,
};

fn good(_: Attempt) -> (bool, u64) {
    (false, 1)
}

fn failing(attempt: Attempt) -> (bool, u64) {
    (attempt.is_new && attempt.chance < 0.3, 1)
}

fn always_failing(attempt: Attempt) -> (bool, u64) {
    (attempt.is_new, 1)
}

fn slow(attempt: Attempt) -> (bool, u64) {
    (false, if attempt.is_new { 8 } else { 1 })
}

fn failing_on_one_route(attempt: Attempt) -> (bool, u64) {
    (attempt.is_new && attempt.route == 1 && attempt.chance < 0.4, 1)
}

fn failing_later(attempt: Attempt) -> (bool, u64) {
    (attempt.is_new && attempt.now_ms > 5_500 && attempt.chance < 0.4, 1)
}

/// The fault appears only under the load of the shift.
fn failing_in_shift(attempt: Attempt) -> (bool, u64) {
    (attempt.is_new && attempt.now_ms > 6_300 && attempt.chance < 0.3, 1)
}

/// The version is slow only under the load of the shift.
fn slow_in_shift(attempt: Attempt) -> (bool, u64) {
    (false, if attempt.is_new && attempt.now_ms > 6_300 { 8 } else { 1 })
}

/// One target of either version fails from the third second on.
fn one_target_fails(attempt: Attempt) -> (bool, u64) {
    (attempt.target == 3 && attempt.now_ms > 3_000, 1)
}

/// A third of the targets of both versions is slow for some seconds.
fn zone_is_slow(attempt: Attempt) -> (bool, u64) {
    let slow = attempt.target % 3 == 1 && (4_000..7_000).contains(&attempt.now_ms);
    (false, if slow { 8 } else { 1 })
}

fn everything_fails_for_a_while(attempt: Attempt) -> (bool, u64) {
    ((4_000..5_500).contains(&attempt.now_ms) && attempt.chance < 0.7, 1)
}

fn one_in_twelve_fails(attempt: Attempt) -> (bool, u64) {
    (attempt.chance < 1.0 / 12.0, 1)
}

/// A fifth of the answers takes three times as long, because of other load on their hosts.
fn noisy(attempt: Attempt) -> (bool, u64) {
    (attempt.chance > 0.99, if attempt.chance < 0.2 { 3 } else { 1 })
}

fn state(outcome: &Outcome) -> Option<RolloutState> {
    outcome.state.as_ref().map(|status| status.state)
}

// Guards against a bad version that is not rolled back, late or only after it got more requests
// than the share and the slack allow.
#[rstest]
#[case::failing(Plan { behaviour: failing, ..PLAN })]
#[case::slow(Plan { behaviour: slow, ..PLAN })]
#[case::one_route(Plan { behaviour: failing_on_one_route, ..PLAN })]
#[case::later(Plan { behaviour: failing_later, ..PLAN })]
#[case::in_shift(Plan { behaviour: failing_in_shift, ..PLAN })]
#[case::slow_in_shift(Plan { behaviour: slow_in_shift, ..PLAN })]
#[case::slow_with_few_requests(Plan { behaviour: slow, per_s: 40, ..PLAN })]
#[case::many_hosts(Plan { behaviour: failing, hosts: 300, old: 100, new: 100, ..PLAN })]
#[case::restarts(Plan { behaviour: failing, hosts: 300, restarts_percent: 20, ..PLAN })]
#[case::leader_lost(Plan { behaviour: failing_later, leader_lost_ms: &[5_000], ..PLAN })]
#[case::few_requests(Plan { behaviour: failing, per_s: 40, ..PLAN })]
fn a_bad_version_is_rolled_back_within_the_exposure(#[case] plan: Plan) {
    for seed in 0..SEEDS {
        let outcome = run(plan, seed);
        let context = format!("seed {seed}: {outcome:?}");
        assert_eq!(state(&outcome), Some(RolloutState::RolledBack), "{context}");
        assert!(outcome.to_new <= outcome.requests / 10 + 50, "{context}");
        assert!(outcome.last_new_ms <= outcome.decided_ms + 500, "{context}");
        let leaders = 1 + plan.leader_lost_ms.len() as u64;
        let limit_ms = if plan.per_s < 100 { 6_000 } else { 2_000 } * leaders;
        // Cold targets get only a few requests a second.
        let first_bad_ms = outcome.first_bad_ms.unwrap().max(plan.new_start_ms + COLD_MS);
        assert!(outcome.decided_ms <= first_bad_ms + limit_ms, "{context}");
    }
}

// Guards against a good version that is rolled back because of faults that are not its own, or is
// not completed in time, and against requests that the old targets lose when they stop.
#[rstest]
#[case::quiet(PLAN, good)]
#[case::late(Plan { new_start_ms: 3_000, ..PLAN }, good)]
#[case::long(Plan { duration_ms: 16_000, ..PLAN }, noisy)]
#[case::noisy(PLAN, noisy)]
#[case::one_target(PLAN, one_target_fails)]
#[case::zone(PLAN, zone_is_slow)]
#[case::everything(PLAN, everything_fails_for_a_while)]
#[case::many_hosts(Plan { hosts: 300, old: 100, new: 100, ..PLAN }, noisy)]
#[case::leader_lost(Plan { leader_lost_ms: &[4_000], ..PLAN }, noisy)]
#[case::leader_lost_in_shift(Plan { leader_lost_ms: &[7_000], ..PLAN }, good)]
#[case::few_requests(Plan { per_s: 20, ..PLAN }, good)]
#[case::few_requests_some_fail(Plan { per_s: 20, ..PLAN }, one_in_twelve_fails)]
#[case::few_requests_one_target(Plan { per_s: 6, ..PLAN }, one_target_fails)]
#[case::very_few_requests(Plan { per_s: 1, ..PLAN }, good)]
#[case::few_targets(Plan { old: 2, new: 2, ..PLAN }, noisy)]
#[case::restarts(Plan { hosts: 100, restarts_percent: 10, ..PLAN }, good)]
fn a_good_version_succeeds_in_time(#[case] plan: Plan, #[case] behaviour: Behaviour) {
    for seed in 0..SEEDS {
        let outcome = run(Plan { behaviour, ..plan }, seed);
        let context = format!("seed {seed}: {outcome:?}");
        assert_eq!(state(&outcome), Some(RolloutState::Succeeded), "{context}");
        let part = if plan.leader_lost_ms.is_empty() { 85 } else { 100 };
        assert!(outcome.decided_ms * 100 <= plan.duration_ms * part, "{context}");
        assert_eq!(outcome.old_in_flight, 0, "{context}");
    }
}

// Guards against the success of a version whose few answers have failed, because too few requests
// came for a verdict.
#[rstest]
fn a_version_that_always_fails_is_rolled_back_after_few_requests(#[values(2, 3, 6)] per_s: u64) {
    for seed in 0..SEEDS {
        let outcome = run(Plan { behaviour: always_failing, per_s, ..PLAN }, seed);
        let context = format!("seed {seed}: {outcome:?}");
        assert_eq!(state(&outcome), Some(RolloutState::RolledBack), "{context}");
        assert!(outcome.to_new <= outcome.requests / 10 + 50, "{context}");
    }
}
