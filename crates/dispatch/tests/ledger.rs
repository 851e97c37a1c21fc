//! Crash ledger, request fingerprints, unanswered requests and the latency quantile.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{CustomerId, Incarnation, Instant, TargetId};
use wagtailmoor_dispatch::{
    CrashLedger, CrashSettings, Fingerprint, LatencyQuantile, UnansweredRequests,
};

const WINDOW_S: u64 = 600;

fn at_s(seconds: u64) -> Instant {
    Instant::from_us((1000 + seconds) * 1_000_000)
}

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().expect("valid id")
}

fn request(number: u128) -> Fingerprint {
    Fingerprint::new(number << 64 | number)
}

fn ledger() -> CrashLedger {
    CrashLedger::new(CrashSettings::default())
}

/// Guards against a request that crashes a third target, and one that is refused after losses on a
/// single target.
#[test]
fn refuses_after_losses_on_two_targets_until_they_expire() {
    let mut ledger = ledger();
    assert!(!ledger.record_loss(at_s(0), request(1), &target(1), Incarnation::default()));
    assert!(!ledger.record_loss(at_s(1), request(1), &target(1), Incarnation::default()));
    assert!(!ledger.refuses(at_s(1), request(1)));
    assert!(ledger.record_loss(at_s(2), request(1), &target(2), Incarnation::default()));
    assert!(ledger.refuses(at_s(3), request(1)) && !ledger.refuses(at_s(3), request(2)));
    assert!(!ledger.refuses(at_s(1 + WINDOW_S), request(1)));
    ledger.expire(at_s(2 + WINDOW_S));
    assert!(ledger.is_empty());
}

/// Guards against a request that repeatedly crashes one target, because the target restarts under
/// the same id and its losses are counted as one.
#[test]
fn counts_each_incarnation_of_a_target() {
    let mut ledger = ledger();
    let incarnation = Incarnation::new;
    assert!(!ledger.record_loss(at_s(0), request(1), &target(1), incarnation(100)));
    assert!(!ledger.record_loss(at_s(0), request(1), &target(1), incarnation(100)));
    assert!(!ledger.record_loss(at_s(1), request(1), &target(1), Incarnation::default()));
    let mut peer = CrashLedger::new(CrashSettings::default());
    peer.merge(at_s(2), &ledger.next_report(at_s(2)));
    assert!(ledger.record_loss(at_s(8), request(1), &target(1), incarnation(8_000)));
    assert!(peer.record_loss(at_s(8), request(1), &target(1), incarnation(8_000)));
}

/// Guards against refusing a frequent harmless request that was in flight at targets which another
/// request crashed.
#[rstest]
#[case(&[0], &[1, 2], false)]
#[case(&[1], &[0, 2], false)]
#[case(&[0], &[1, 2, 3, 4], true)]
fn answers_void_earlier_losses(
    #[case] answers: &[u64],
    #[case] losses: &[u64],
    #[case] refused: bool,
) {
    let (mut first, mut second) = (ledger(), ledger());
    for second in 0..6 {
        if answers.contains(&second) {
            first.record_answer(at_s(second), request(1));
        }
        if losses.contains(&second) {
            first.record_loss(
                at_s(second),
                request(1),
                &target(second as u32),
                Incarnation::default(),
            );
        }
    }
    assert_eq!(first.refuses(at_s(6), request(1)), refused);
    second.merge(at_s(6), &first.next_report(at_s(6)));
    assert_eq!(second.refuses(at_s(6), request(1)), refused, "the peer returns another result");
}

/// Guards against losses on several nodes that are not summed, and losses that do not expire
/// because gossip renews them.
#[test]
fn sums_the_losses_of_peers() {
    let (mut first, mut second) = (ledger(), ledger());
    first.record_loss(at_s(0), request(1), &target(1), Incarnation::default());
    second.record_loss(at_s(5), request(1), &target(2), Incarnation::default());
    for elapsed_s in 10..10 + WINDOW_S {
        let now = at_s(elapsed_s);
        let reports = first.next_report(now);
        second.merge(now, &reports);
        let reports = second.next_report(now);
        first.merge(now, &reports);
        // The loss on the first target counts until its window ends.
        assert_eq!(first.refuses(now, request(1)), elapsed_s < WINDOW_S);
    }
    first.expire(at_s(5 + WINDOW_S));
    assert!(first.is_empty());
}

/// Guards against memory and reports that grow with the number of losses.
#[test]
fn bounds_memory_and_reports() {
    let mut ledger = ledger();
    let settings = CrashSettings::default();
    for number in 0..3000 {
        ledger.record_loss(
            at_s(number as u64 / 100),
            request(number),
            &target(1),
            Incarnation::default(),
        );
    }
    assert_eq!(ledger.len(), settings.fingerprints_max);
    let rounds = settings.fingerprints_max / settings.report_max;
    let reports: Vec<_> = (0..rounds).map(|_| ledger.next_report(at_s(30))).collect();
    assert!(reports.iter().all(|report| report.len() == settings.report_max));
    let mut reported: Vec<_> = reports.into_iter().flatten().map(|one| one.fingerprint).collect();
    reported.dedup();
    assert_eq!(reported.len(), settings.fingerprints_max, "successive reports cover all");
}

/// Guards against requests that share a fingerprint because the concatenation of their parts is
/// equal.
#[test]
fn fingerprints_depend_on_each_part() {
    let customer: CustomerId = "c1".parse().expect("valid id");
    let of = |method: &str, path: &str, body: &[u8]| {
        Fingerprint::of(1, Some(&customer), method, path, body)
    };
    assert_eq!(of("POST", "/a", b"x"), of("POST", "/a", b"x"));
    assert_ne!(of("POST", "/a", b"x"), of("POST", "/ax", b""));
    assert_ne!(of("POST", "/a", b"x"), Fingerprint::of(1, None, "POST", "/a", b"x"));
    assert_ne!(of("POST", "/a", b"x"), Fingerprint::of(2, Some(&customer), "POST", "/a", b"x"));
}

/// Guards against a p95 estimate that is too low or much too high, also after a change of latency.
#[test]
fn estimates_the_p95_after_changes_of_latency() {
    let mut quantile = LatencyQuantile::new();
    assert_eq!(quantile.p95(), None);
    let mut feed = |factor: u64| {
        (0..6400)
            .for_each(|step| quantile.add(Duration::from_micros((step * 37 % 1000 + 1) * factor)));
        quantile.p95().expect("there are samples").as_micros() as u64
    };
    for factor in [10, 100, 5] {
        let estimate_us = feed(factor);
        assert!((940 * factor..=950 * factor * 9 / 8).contains(&estimate_us), "{estimate_us}");
    }
}

/// Guards against missing a request that crashes targets without resetting their connections, and
/// against blaming a request for the end of a target that it was not sent to.
#[test]
fn counts_unanswered_requests_of_an_ended_target_as_lost() {
    let mut unanswered = UnansweredRequests::default();
    let incarnation = Incarnation::new;
    unanswered.add(at_s(0), request(1), &target(1), incarnation(100));
    unanswered.add(at_s(1), request(2), &target(2), incarnation(100));
    assert_eq!(unanswered.take_exited(at_s(5), &target(1), incarnation(200)), []);
    assert_eq!(unanswered.take_exited(at_s(5), &target(1), incarnation(100)), [request(1)]);
    assert_eq!(unanswered.take_exited(at_s(5), &target(1), incarnation(100)), []);
    assert_eq!(unanswered.take_exited(at_s(60), &target(2), incarnation(100)), [], "expired");
}
