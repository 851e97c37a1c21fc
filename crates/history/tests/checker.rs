//! Runs the checker on small histories, each with a violation of one invariant.

use rstest::rstest;
use wagtailmoor_core::{Epoch, Outcome, Reason, Requests, RequestsPerSecond};
use wagtailmoor_history::{
    Checker, ClientRequest, CustomerLimit, Ending, Execution, History, ResponseCheck, Violation,
    Withdrawal,
};

fn request(id: &str, start_us: u64) -> ClientRequest {
    ClientRequest {
        load_id: id.to_owned(),
        customer: Some("c-1".to_owned()),
        method: "POST".to_owned(),
        path: "/threads/k".to_owned(),
        workload: "refresh".to_owned(),
        idempotency_key: Some(id.to_owned()),
        key: Some("k".to_owned()),
        intended_us: start_us,
        start_us,
        end_us: start_us + 10,
        status: Some(200),
        outcome: Outcome::Answered,
        reason: None,
        check: ResponseCheck::Own,
        value: None,
        target: None,
        bytes: 0,
    }
}

fn execution(id: &str, target: &str, epoch: u64, start_us: u64) -> Execution {
    Execution {
        index: 0,
        request_id: None,
        load_id: Some(id.to_owned()),
        customer: Some("c-1".to_owned()),
        method: "POST".to_owned(),
        path: "/threads/k".to_owned(),
        idempotency_key: Some(id.to_owned()),
        back_end: "feeds".to_owned(),
        target: target.to_owned(),
        zone: "zone-a".to_owned(),
        key: Some("k".to_owned()),
        slot: None,
        epoch: Some(Epoch::new(epoch)),
        start_us,
        end_us: Some(start_us + 5),
        ending: Ending::Completed,
    }
}

/// Returns a history without violations: three requests executed by one target.
fn valid_history() -> History {
    let ids = ["1", "2", "3"];
    let at = |index: usize| 1_000_000 * (index as u64 + 1);
    let requests = ids.iter().enumerate().map(|(index, id)| ClientRequest {
        value: Some(index as u64 + 1),
        ..request(id, at(index))
    });
    let executions =
        ids.iter().enumerate().map(|(index, id)| execution(id, "s-1", 1, at(index) + 2));
    let limit = CustomerLimit {
        customer: "c-1".to_owned(),
        rate: RequestsPerSecond::new(1),
        burst: Requests::new(1),
    };
    History {
        customers: vec![limit],
        requests: requests.collect(),
        executions: executions.collect(),
        ..History::default()
    }
}

/// Returns the names of the checks with findings.
fn failed_checks(history: &History) -> Vec<String> {
    let checks = Checker::default().check(history);
    checks.into_iter().filter(|check| check.findings > 0).map(|check| check.name).collect()
}

fn withdraw(history: &mut History, zone: Option<&str>, target: Option<&str>) {
    history.withdrawals.push(Withdrawal {
        zone: zone.map(str::to_owned),
        target: target.map(str::to_owned),
        from_us: 0,
        until_us: None,
    });
}

// Fails if a check reports a violation in a valid history, or examines no record of it.
#[test]
fn a_valid_history_passes_all_checks() {
    let mut history = valid_history();
    history.requests.push(ClientRequest {
        outcome: Outcome::NotRun,
        status: Some(429),
        ..request("refused", 5)
    });
    withdraw(&mut history, Some("zone-b"), None);
    let checks = Checker::default().check(&history);
    let failed: Vec<_> = checks.iter().filter(|check| check.findings > 0).collect();
    assert!(failed.is_empty(), "{failed:?}");
    let checks_without_records =
        checks.iter().filter(|check| check.examined == 0).map(|check| check.name.as_str());
    assert_eq!(checks_without_records.collect::<Vec<_>>(), ["target-expectations"]);
}

// Fails if the violation is not reported, or if another check reports it as well.
#[rstest]
#[case::executed_twice("at-most-once", |h: &mut History| {
    for execution in &mut h.executions[..2] { execution.idempotency_key = Some("once".to_owned()); }
})]
#[case::foreign_response("answers", |h: &mut History| h.requests[0].check = ResponseCheck::Foreign)]
#[case::silently_short("answers", |h: &mut History| h.requests[0].check =
    ResponseCheck::SilentlyShort)]
#[case::response_without_execution("answers", |h: &mut History| { h.executions.remove(0); })]
#[case::executed_for_another_customer("answers", |h: &mut History| {
    h.executions[0].customer = Some("c-2".to_owned());
})]
#[case::executed_refusal("not-run", |h: &mut History| {
    let refused = &mut h.requests[0];
    (refused.outcome, refused.status, refused.value) = (Outcome::NotRun, Some(503), None);
})]
#[case::executed_duplicate("not-run", |h: &mut History| {
    let refused = &mut h.requests[0];
    refused.reason = Some(Reason::Duplicate);
    (refused.status, refused.value) = (Some(409), None);
})]
#[case::above_burst("rate", |h: &mut History| {
    h.requests[1].start_us = 1_000_000;
    h.executions[1].start_us = 1_000_010;
})]
#[case::withdrawn_zone("withdrawals", |h: &mut History| withdraw(h, Some("zone-a"), None))]
#[case::withdrawn_target("withdrawals", |h: &mut History| withdraw(h, None, Some("s-1")))]
#[case::two_owners("one-owner", |h: &mut History| {
    h.executions[0].end_us = Some(2_000_100);
    for execution in &mut h.executions[1..] {
        execution.target = "s-2".to_owned();
        execution.epoch = Some(Epoch::new(2));
    }
})]
#[case::epoch_goes_back("epochs", |h: &mut History| h.executions[1].epoch = Some(Epoch::new(0)))]
#[case::shared_epoch("epochs", |h: &mut History| {
    for execution in &mut h.executions[1..] { execution.target = "s-2".to_owned(); }
})]
#[case::lost_update("linearizable", |h: &mut History| h.requests[2].value = Some(2))]
#[case::cold_overload("target-expectations", |h: &mut History| h.violations.push(Violation {
    target: "s-1".to_owned(), kind: "cold-overload".to_owned(), detail: String::new(), at_us: 1,
}))]
fn each_check_reports_its_violation(#[case] check: &str, #[case] violate: fn(&mut History)) {
    let mut history = valid_history();
    violate(&mut history);
    assert_eq!(failed_checks(&history), [check]);
}

// Fails if an execution within the bound, or after the return to service, counts as a violation.
#[test]
fn executions_within_the_bound_or_after_the_return_are_allowed() {
    let mut history = valid_history();
    withdraw(&mut history, Some("zone-a"), None);
    history.withdrawals[0].until_us = Some(3_000_001);
    assert!(failed_checks(&history).is_empty());
}

// Fails if the rate check counts a request in a window although it may have been admitted earlier.
#[test]
fn late_starts_at_the_target_do_not_count_as_a_burst() {
    let mut history = valid_history();
    for execution in &mut history.executions {
        execution.start_us = 3_000_002;
    }
    assert!(failed_checks(&history).is_empty());
}

// Fails if the rate check misses an excess that shows only in a long window.
#[test]
fn excess_in_a_long_window_is_reported() {
    let mut history = valid_history();
    for (index, sent_us) in (0..40).map(|index| (index, index * 950_000 + 4_000_000)) {
        let id = format!("r{index}");
        history.requests.push(ClientRequest { key: None, ..request(&id, sent_us) });
        history.executions.push(Execution { key: None, ..execution(&id, "s-1", 1, sent_us + 1) });
    }
    assert_eq!(failed_checks(&history), ["rate"]);
}

// Fails if the checker assumes that an operation with an unknown outcome took effect, or that it
// did not.
#[rstest]
#[case::applied(3)]
#[case::not_applied(2)]
fn an_unknown_outcome_may_or_may_not_have_taken_effect(#[case] last: u64) {
    let mut history = valid_history();
    let unanswered = &mut history.requests[1];
    (unanswered.outcome, unanswered.status, unanswered.value) = (Outcome::Unknown, Some(502), None);
    history.requests[2].value = Some(last);
    assert!(failed_checks(&history).is_empty());
}

// Fails if a history read from a file differs from the one written, or if the error of an invalid
// line does not name the line.
#[test]
fn a_history_survives_a_write_and_read() {
    let mut history = valid_history();
    withdraw(&mut history, Some("zone-b"), None);
    let name = format!("wagtailmoor-history-{}.jsonl", std::process::id());
    let path = std::env::temp_dir().join(name);
    history.write(&path).unwrap();
    let read = History::read(&path).unwrap();
    std::fs::write(&path, "{\"record\":\"nothing\"}\n").unwrap();
    let error = History::read(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, history);
    assert!(error.contains("line 1") && error.contains("nothing"), "{error}");
}
