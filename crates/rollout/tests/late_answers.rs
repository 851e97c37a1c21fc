//! Rollouts of a back end whose new version answers late or never, on a manual clock.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{
    BackEndId, Instant, NodeId, PartsPerMillion, Requests, RowVersion, StoreTime,
};
use wagtailmoor_rollout::{
    AnswerCounts, Inventory, NewTarget, RolloutAction, RolloutController, RolloutOrder,
    RolloutPhase, RolloutReport, RolloutSettings, RouteCounts, TargetCounts,
};

const TICK_MS: u64 = 50;
const REPORT_MS: u64 = 200;
const DURATION_MS: u64 = 12_000;

const SETTINGS: RolloutSettings = RolloutSettings {
    exposure_share: PartsPerMillion::new(100_000),
    exposure_slack: Requests::new(50),
    rollback: Duration::from_secs(5),
};

fn inventory() -> Inventory {
    let new = |number| NewTarget {
        target: format!("new-{number}").parse().unwrap(),
        zone: "z".parse().unwrap(),
        cold: false,
    };
    Inventory {
        versions: vec!["v1".into(), "v2".into()],
        settled: true,
        new: (0..6).map(new).collect(),
        old: 6,
        keyed: true,
        old_owns_keys: false,
        hosts: vec!["n-0".parse().unwrap()],
        longest_request: Duration::from_secs(1),
    }
}

/// Counts of a report: answers of the old version, and failures of the new one.
type Answers = fn(u64, RolloutPhase) -> (u32, u32);

fn report(answers: (u32, u32), phase: RolloutPhase, row_version: RowVersion) -> RolloutReport {
    let (old, new) = answers;
    let route = || "read".parse().unwrap();
    let old = AnswerCounts { answers: old, ..AnswerCounts::default() };
    let new = AnswerCounts { answers: new, failures: new, ..AnswerCounts::default() };
    RolloutReport {
        back_end: "feed".parse().unwrap(),
        row_version,
        phase,
        requests: old.answers + new.answers,
        in_flight_old: 0,
        old: vec![RouteCounts { route: route(), counts: old }],
        new: vec![TargetCounts { route: route(), target: None, counts: new }],
    }
}

/// Returns the phase that decides an order, its cause, and when it was decided.
fn decision(answers: Answers) -> Option<(RolloutPhase, &'static str, u64)> {
    let host: NodeId = "n-0".parse().unwrap();
    let to: Arc<str> = "v2".into();
    let duration = Duration::from_millis(DURATION_MS);
    let mut controller = RolloutController::new(Instant::from_us(0), back_end(), SETTINGS);
    controller.set_order(Some(RolloutOrder { back_end: back_end(), to, duration }));
    let mut version = RowVersion::default();
    for now_ms in (0..=DURATION_MS + 1_000).step_by(TICK_MS as usize) {
        let now = Instant::from_us(now_ms * 1_000);
        let phase = controller.row().and_then(|row| row.active()).map(|active| active.phase);
        if let Some(phase) = phase.filter(|_| now_ms % REPORT_MS == 0) {
            controller.on_report(now, &host, &report(answers(now_ms, phase), phase, version));
        }
        while let Some(action) = controller.tick(now, &inventory()) {
            match action {
                RolloutAction::ReadRow => controller.on_row(None),
                RolloutAction::ReadClock => controller.on_clock(now, StoreTime::from_ms(now_ms)),
                RolloutAction::WriteStatus(status) => controller.on_status_written(status),
                RolloutAction::WriteRow { row, cause, .. } => {
                    let phase = row.rollout.as_ref().map(|rollout| rollout.phase);
                    if let Some(decided) = phase.filter(|phase| !phase.is_active()) {
                        return Some((decided, cause, now_ms));
                    }
                    version = RowVersion::new(version.get() + 1);
                    controller.on_row_written(now, row, version);
                }
            }
        }
    }
    None
}

fn back_end() -> BackEndId {
    "feed".parse().unwrap()
}

/// In the last phase, requests first wait for new owners of their keys.
fn fails_from_ms_10_400(now_ms: u64, phase: RolloutPhase) -> (u32, u32) {
    match phase {
        RolloutPhase::Settle => (0, if now_ms >= 10_400 { 10 } else { 0 }),
        _ => (20, 0),
    }
}

fn idle(_: u64, _: RolloutPhase) -> (u32, u32) {
    (0, 0)
}

// Guards against the success of a bad version of which no answer is known yet, because its requests
// waited for the owners of their keys.
#[test]
fn a_version_without_answers_gets_time_for_them() {
    let (phase, cause, _) = decision(fails_from_ms_10_400).unwrap();
    assert_eq!((phase, cause), (RolloutPhase::RolledBack, "failures"));
}

// Guards against a rollout of a back end without requests that is not completed in time.
#[test]
fn a_version_without_requests_succeeds_in_time() {
    let (phase, cause, decided_ms) = decision(idle).unwrap();
    assert_eq!((phase, cause), (RolloutPhase::Succeeded, "settled"));
    assert!(decided_ms <= DURATION_MS * 92 / 100, "decided at {decided_ms}");
}
