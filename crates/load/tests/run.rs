//! Tests of runs against stand-in targets and of reports.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::task::LocalSet;
use wagtailmoor_core::{Outcome, Reason, Requests, RequestsPerSecond};
use wagtailmoor_history::{ClientRequest, CustomerLimit, History, ResponseCheck};
use wagtailmoor_load::{Report, RunEndpoints, RunFacts, RunResult, Scenario, report_page, run};
use wagtailmoor_standin::{Settings, StandIn};

const SCENARIO: &str = "\
name: short
duration_ms: 200
max_requests: 100
customers: [{customer: c-1, key: k, rate: 1000, burst: 1000, share: 1}]
workloads:
  - {name: add, method: POST, path: '/feeds/{key}', rate: 200, keys: {count: 2}, idempotency_keys: true}
  - {name: export, path: '/exports/{n}', rate: 20, answer_bytes: 100000}
timeline:
  - {at_ms: 1, name: note, announce: nothing, takes_out: {target: t-9}}
  - {at_ms: 2, name: unknown target, control: targets/t-9/crash}
";

fn settings() -> Settings {
    serde_json::from_value(json!({
        "targets": [{"settings": {"target": "t-1", "back_end": "feeds", "zone": "zone-a",
            "kind": "keyed-unchecked", "service": {"fixed": {"us": 100}}}}]
    }))
    .unwrap()
}

/// Runs the scenario against a target with patched settings, or against the address `entry`.
fn run_with(patch: serde_json::Value, entry: Option<SocketAddr>) -> RunResult {
    let scenario = Scenario::parse(SCENARIO, "short.yaml".as_ref()).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let stand_in = StandIn::start(&settings()).await.unwrap();
        stand_in.targets[0].patch(&patch).unwrap();
        let endpoints = RunEndpoints {
            entries: vec![entry.unwrap_or(stand_in.targets[0].address())],
            control: Some(stand_in.control.address()),
            as_entry: true,
        };
        run(scenario, &endpoints, |_| {}).await.unwrap()
    })
}

fn report(result: RunResult) -> Report {
    Report::new(result.facts, &result.history, Duration::from_secs(3))
}

// Fails if a run loses records, a response does not match its request, or the error of a step is
// not reported.
#[test]
fn a_run_records_requests_executions_and_steps() {
    let result = run_with(json!({}), None);
    let planned = result.facts.planned as usize;
    assert!(planned > 0);
    assert_eq!(result.history.requests.len(), planned);
    assert_eq!(result.history.executions.len(), planned);
    assert!(result.history.requests.iter().all(|request| request.check == ResponseCheck::Own));
    assert_eq!(result.history.withdrawals.len(), 1);
    let errors: Vec<_> = result.facts.steps.iter().map(|step| step.error.is_some()).collect();
    assert_eq!(errors, [false, true]);
    let report = report(result);
    assert_eq!(report.findings(), 0, "{:?}", report.checks);
    assert_eq!(report.overall.succeeded as usize, planned);
    assert_eq!(report.overall.latency.count as usize, planned);
    assert!(report.overall.latency.p50_us > 0);
    let page = report_page(&report).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
}

// Fails if truncated responses count as successes.
#[test]
fn truncated_responses_are_not_successes() {
    let result = run_with(json!({"cut_ppm": 1_000_000}), None);
    assert!(result.history.requests.iter().all(|request| request.check == ResponseCheck::CutShort));
    assert_eq!(report(result).overall.succeeded, 0);
}

// Fails if a refused connection counts as an unknown outcome or as a success.
#[test]
fn requests_to_unreachable_entries_are_not_run() {
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let result = run_with(json!({"queue": 10}), Some(closed_port));
    assert!(!result.history.requests.is_empty());
    let refused = |request: &ClientRequest| request.refused() && request.status.is_none();
    assert!(result.history.requests.iter().all(refused));
}

fn request(at_ms: u64, reason: Option<Reason>) -> ClientRequest {
    let refused = reason.is_some();
    ClientRequest {
        load_id: at_ms.to_string(),
        customer: Some("c-1".to_owned()),
        method: "GET".to_owned(),
        path: "/feeds/k".to_owned(),
        workload: "read".to_owned(),
        idempotency_key: None,
        key: Some("k".to_owned()),
        intended_us: at_ms * 1_000,
        start_us: at_ms * 1_000,
        end_us: at_ms * 1_000 + 2_000,
        status: Some(if refused { 503 } else { 200 }),
        outcome: if refused { Outcome::NotRun } else { Outcome::Answered },
        reason,
        check: if refused { ResponseCheck::None } else { ResponseCheck::Own },
        value: None,
        target: None,
        bytes: 0,
    }
}

fn report_of(requests: Vec<ClientRequest>) -> Report {
    let limit = CustomerLimit {
        customer: "c-1".to_owned(),
        rate: RequestsPerSecond::new(10),
        burst: Requests::new(2),
    };
    let history = History { customers: vec![limit], requests, ..History::default() };
    let facts = RunFacts {
        scenario: "replayed".to_owned(),
        seed: 0,
        started_us: 0,
        duration_ms: 1_000,
        planned: history.requests.len() as u64,
        overflow: 0,
        connections_opened: 0,
        steps: Vec::new(),
    };
    Report::new(facts, &history, Duration::from_secs(3))
}

// Fails if a refusal above the rate counts as within it, or the reverse.
#[test]
fn rate_refusals_within_the_limit_are_counted() {
    let rate_exceeded = Some(Reason::RateExceeded);
    let requests_above_limit =
        [(0, None), (1, None), (2, rate_exceeded)].map(|(at, reason)| request(at, reason));
    assert_eq!(report_of(requests_above_limit.into()).refused_within_rate(), 0);
    let requests_within_limit =
        [(0, None), (1, rate_exceeded), (2, rate_exceeded)].map(|(at, reason)| request(at, reason));
    assert_eq!(report_of(requests_within_limit.into()).refused_within_rate(), 2);
}

// Fails if unavailability is measured from the wrong request, or includes rate-limit refusals.
#[test]
fn unavailability_lasts_until_the_next_success() {
    let owner_moving = Some(Reason::OwnerMoving);
    let requests = [
        (0, None),
        (110, owner_moving),
        (150, owner_moving),
        (230, owner_moving),
        (310, None),
        (420, Some(Reason::RateExceeded)),
    ];
    let report = report_of(requests.map(|(at, reason)| request(at, reason)).into());
    assert_eq!(report.unavailable.len(), 1);
    assert_eq!(report.unavailable[0].unavailable_ms, 200);
    assert_eq!(report.unavailable[0].longest_key_gap_ms, 202);
}

// Fails if repeated requests that were refused as duplicates lower the success rate.
#[test]
fn duplicates_are_counted_separately() {
    let duplicate = ClientRequest {
        outcome: Outcome::Unknown,
        status: Some(409),
        ..request(5, Some(Reason::Duplicate))
    };
    let overall = report_of(vec![request(0, None), duplicate]).overall;
    assert_eq!((overall.requests, overall.duplicates, overall.unknown), (1, 1, 0));
    assert_eq!(overall.success_ppm.get(), 1_000_000);
}
