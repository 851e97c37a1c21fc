//! Verdicts on the answers of a new version.

use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_rollout::{
    AnswerCounts, Evidence, RolloutPhase, RolloutReport, RouteCounts, TargetCounts,
};

const HOSTS: u64 = 2;
const REPORT_MS: u64 = 200;
const REPORTS: u64 = 20;

/// Answers of the old version in a report.
const OLD: AnswerCounts = AnswerCounts { answers: 24, failures: 0, slow: 0, elapsed_ms: 24 * 15 };

fn slow(count: u32) -> AnswerCounts {
    AnswerCounts {
        answers: count,
        slow: count,
        elapsed_ms: u64::from(count) * 140,
        ..AnswerCounts::default()
    }
}

fn report(new: AnswerCounts) -> RolloutReport {
    let route = "read";
    RolloutReport {
        back_end: "feed".parse().unwrap(),
        row_version: RowVersion::new(1),
        phase: RolloutPhase::Shift,
        requests: OLD.answers + new.answers,
        in_flight_old: 0,
        old: vec![RouteCounts { route: route.parse().unwrap(), counts: OLD }],
        new: vec![TargetCounts { route: route.parse().unwrap(), target: None, counts: new }],
    }
}

/// Returns the verdict after any report, when a host's report of a number has the counts
/// `new_of(number)` of the new version. The hosts report at different times.
fn verdict(new_of: impl Fn(u64) -> AnswerCounts, offset_ms: u64) -> Option<&'static str> {
    let mut evidence = Evidence::default();
    (0..REPORTS * HOSTS).find_map(|index| {
        let (number, host) = (index / HOSTS, index % HOSTS);
        let now_ms = number * REPORT_MS + host * offset_ms;
        evidence.add(Instant::from_us(now_ms * 1_000), &report(new_of(number)));
        evidence.fault()
    })
}

// Guards against the rollback of a good version because a single pause, of a host or of the only
// new target with requests, delayed all of its answers at that time, whichever periods hold them.
#[test]
fn slow_answers_of_one_moment_are_no_fault() {
    for paused in 1..REPORTS {
        for offset_ms in [0, 70, 199] {
            let new_of = |number| if number == paused { slow(3) } else { AnswerCounts::default() };
            assert_eq!(verdict(new_of, offset_ms), None, "report {paused}, offset {offset_ms}");
        }
    }
}

// Guards against a slow version that stays because its answers are taken for those of one moment.
#[test]
fn slow_answers_of_several_moments_are_a_fault() {
    for offset_ms in [0, 70, 199] {
        assert_eq!(
            verdict(|number| slow(u32::from(number % 5 == 1)), offset_ms),
            Some("slow answers")
        );
        assert_eq!(verdict(|_| slow(1), offset_ms), Some("slow answers"));
    }
}
