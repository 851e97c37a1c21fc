//! Tests the classes of reason codes. A code in the wrong class counts faults of the system as
//! client errors, or the reverse.

use rstest::rstest;
use wagtailmoor_burn::{
    Counts, MetricAggregator, Objectives, ReasonClass, RequestClass, UnixMillis,
};
use wagtailmoor_core::{Outcome, Reason};

const SYSTEM: &[&str] = &[
    "queue-full",
    "credit-unavailable",
    "target-unavailable",
    "owner-moving",
    "owner-unknown",
    "owner-unreachable",
    "record-unavailable",
    "deadline-exceeded",
    "key-unverified",
    "not-ready",
    "shutting-down",
    "too-many-connections",
    "target-refused",
    "target-lost",
];

const CLIENT: &[&str] = &[
    "rate-exceeded",
    "bad-request",
    "head-too-large",
    "client-too-slow",
    "key-missing",
    "key-refused",
    "route-forbidden",
    "route-unknown",
    "idempotency-key-required",
    "duplicate",
    "crashes-targets",
];

fn counts_of(outcome: Outcome, reason: &str) -> Counts {
    let mut aggregator = MetricAggregator::new(Objectives::default(), Vec::new());
    let tags = format!("#customer:a,template:t,outcome:{outcome},reason:{reason}");
    let lines = format!("wagtailmoor.requests:1|c|{tags}\nwagtailmoor.latency:1|ms|{tags}\n");
    let at = UnixMillis::new(1_000_000_000);
    aggregator.add_datagram(at, &lines);
    let report = aggregator.report(at);
    assert_eq!(report.input.malformed, 0);
    report.total[0].counts
}

/// Guards against a reason code that is missing from the lists above or is in both.
#[test]
fn every_code_is_in_exactly_one_list() {
    let mut listed: Vec<&str> = SYSTEM.iter().chain(CLIENT).copied().collect();
    let mut codes: Vec<&str> = Reason::ALL.iter().map(|reason| reason.code()).collect();
    listed.sort_unstable();
    codes.sort_unstable();
    assert_eq!(listed, codes);
}

/// Guards against a code in the wrong class, directly and when parsed from a metric.
#[rstest]
#[case(SYSTEM, ReasonClass::System, Counts { errors: 1, ..Counts::default() })]
#[case(CLIENT, ReasonClass::Client, Counts { excluded: 1, ..Counts::default() })]
fn each_refusal_is_counted_by_its_class(
    #[case] codes: &[&str],
    #[case] class: ReasonClass,
    #[case] expected: Counts,
) {
    for code in codes {
        assert_eq!(ReasonClass::of(code.parse().unwrap()), class, "{code}");
        assert_eq!(counts_of(Outcome::NotRun, code), expected, "{code}");
    }
}

/// Guards against counting an unknown outcome as good or not at all. Also guards against counting
/// the reply to a duplicate: it repeats the outcome of the first request, which is already counted.
#[rstest]
#[case(Outcome::Unknown, "target-lost", RequestClass::Error)]
#[case(Outcome::Unknown, "deadline-exceeded", RequestClass::Error)]
#[case(Outcome::Unknown, "-", RequestClass::Error)]
#[case(Outcome::NotRun, "-", RequestClass::Error)]
#[case(Outcome::Answered, "-", RequestClass::Answered)]
#[case(Outcome::Answered, "duplicate", RequestClass::Excluded)]
#[case(Outcome::Unknown, "duplicate", RequestClass::Excluded)]
fn each_outcome_is_counted_by_its_class(
    #[case] outcome: Outcome,
    #[case] reason: &str,
    #[case] expected: RequestClass,
) {
    assert_eq!(RequestClass::of(outcome, reason.parse().ok()), expected);
    let counts = counts_of(outcome, reason);
    assert_eq!(counts.judged() + counts.excluded, 1);
    assert_eq!(counts.answered() == 1, expected == RequestClass::Answered);
}
