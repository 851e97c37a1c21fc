//! Request handling of targets over HTTP.

mod common;

use std::time::Duration;

use common::{run, send};
use rstest::rstest;
use serde_json::{Value, json};
use wagtailmoor_history::{BodyPattern, Ending};
use wagtailmoor_standin::{Context, ServiceTime, Target, TargetKind, TargetSettings};

async fn target(kind: TargetKind, context: &Context) -> Target {
    let id = |text: &str| text.parse().unwrap();
    let settings = TargetSettings {
        service: ServiceTime::Fixed { us: 0 },
        ..TargetSettings::new(id("t-1"), "feeds".parse().unwrap(), "zone-a".parse().unwrap(), kind)
    };
    Target::bind(settings, context, None).await.unwrap()
}

const KEYED_HEADERS: [(&str, &str); 3] =
    [("wagtailmoor-slot", "3"), ("wagtailmoor-epoch", "1"), ("idempotency-key", "once")];

// Fails if a target runs a request before it is granted the slot, or refuses it afterwards.
#[test]
fn a_checked_target_runs_granted_requests_only() {
    run(async {
        let context = Context::new(1);
        let address = target(TargetKind::KeyedChecked, &context).await.address();
        let refused =
            send(address, "POST", "/threads/k", &KEYED_HEADERS, &Value::Null).await.unwrap();
        assert_eq!(refused.status, 421);
        assert_eq!(refused.headers["wagtailmoor-outcome"], "not-run");
        assert!(context.log().is_empty());
        let grant = json!({"back_end": "feeds", "generation": 1, "grant_id": 5,
            "lease_ms": 60_000, "slots": [[3, 1]], "hot_keys": []});
        let granted = send(address, "POST", "/wagtailmoor/grants", &[], &grant).await.unwrap();
        assert_eq!(granted.json()["refused"], json!([]));
        let response =
            send(address, "POST", "/threads/k", &KEYED_HEADERS, &Value::Null).await.unwrap();
        assert_eq!(response.json()["value"], 1);
        let executions = context.log().executions(0, 10);
        assert_eq!(executions.len(), 1);
        assert_eq!(executions[0].ending, Ending::Completed);
    });
}

// Fails if an unchecked target has paths for grants, or refuses requests without a grant.
#[test]
fn an_unchecked_target_runs_any_request() {
    run(async {
        let context = Context::new(1);
        let address = target(TargetKind::KeyedUnchecked, &context).await.address();
        let path = "/wagtailmoor/grants";
        assert_eq!(send(address, "GET", path, &[], &Value::Null).await.unwrap().status, 404);
        let response =
            send(address, "POST", "/threads/k", &KEYED_HEADERS, &Value::Null).await.unwrap();
        assert_eq!(response.json()["value"], 1);
    });
}

// Fails if a crashing request gets a response, its record stays open, or the target restarts warm.
#[test]
fn a_marked_request_crashes_the_target() {
    run(async {
        let context = Context::new(1);
        let target = target(TargetKind::Pooled, &context).await;
        target.patch(&json!({"crash_away_ms": 1})).unwrap();
        let body = json!("crash-the-target");
        assert!(send(target.address(), "POST", "/x", &[], &body).await.is_err());
        assert_eq!(context.log().executions(0, 1)[0].ending, Ending::Crashed);
        assert_eq!(target.load().state, wagtailmoor_standin::LoadState::Cold);
    });
}

// Fails if a truncated response looks complete, or a complete one differs from its pattern.
#[test]
fn streamed_responses_are_complete_unless_truncated() {
    run(async {
        let context = Context::new(1);
        let target = target(TargetKind::Pooled, &context).await;
        let path = "/exports/1?bytes=100001";
        let response = send(target.address(), "GET", path, &[], &Value::Null).await.unwrap();
        assert_eq!(response.body.len(), 100_001);
        assert!(BodyPattern::new(path).accept(&response.body));
        target.patch(&json!({"cut_ppm": 1_000_000})).unwrap();
        assert!(send(target.address(), "GET", path, &[], &Value::Null).await.is_err());
        let endings: Vec<_> = context.log().executions(0, 9).iter().map(|e| e.ending).collect();
        assert_eq!(endings, [Ending::Completed, Ending::CutShort]);
    });
}

// Fails if an overload of a cold target or a forwarded customer key is not recorded.
#[test]
fn violations_are_recorded() {
    run(async {
        let context = Context::new(1);
        let target = target(TargetKind::Pooled, &context).await;
        target.patch(&json!({"cold": {"concurrency": 0}})).unwrap();
        target.revert_to_cold();
        let key = [("authorization", "Bearer secret")];
        let response = send(target.address(), "GET", "/x", &key, &Value::Null).await.unwrap();
        assert_eq!(response.status, 500);
        let kinds: Vec<_> = context.log().violations().into_iter().map(|v| v.kind).collect();
        assert_eq!(kinds, ["customer-key", "cold-overload"]);
    });
}

// Fails if a request whose client disconnected during a freeze runs afterwards, or does not run
// although `runs_after_freeze` is set.
#[rstest]
#[case::dropped(false, 1)]
#[case::run_late(true, 2)]
fn requests_blocked_by_a_freeze(#[case] runs_after_freeze: bool, #[case] executions: usize) {
    run(async {
        let context = Context::new(1);
        let target = target(TargetKind::Pooled, &context).await;
        target.patch(&json!({"runs_after_freeze": runs_after_freeze})).unwrap();
        target.freeze(None);
        let address = target.address();
        let abandoned = tokio::task::spawn_local(async move {
            send(address, "GET", "/held", &[], &Value::Null).await.is_ok()
        });
        while target.blocked_count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        abandoned.abort();
        while !runs_after_freeze && target.blocked_count() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        target.thaw();
        send(address, "GET", "/later", &[], &Value::Null).await.unwrap();
        assert_eq!(context.log().len(), executions);
    });
}

// Fails if a request continues, or its record stays open, after its connection was closed or its
// deadline passed.
#[rstest]
#[case::deadline("300", Ending::DeadlineExceeded)]
#[case::closed_connection("60000", Ending::Cancelled)]
fn requests_end_with_their_connection_or_deadline(
    #[case] deadline_ms: &'static str,
    #[case] ending: Ending,
) {
    run(async {
        let context = Context::new(1);
        let address = target(TargetKind::Pooled, &context).await.address();
        let request = tokio::task::spawn_local(async move {
            let headers = [("wagtailmoor-deadline-ms", deadline_ms)];
            let path = "/slow?service_us=60000000";
            send(address, "GET", path, &headers, &Value::Null).await.map(|response| response.status)
        });
        while context.log().is_empty() && !request.is_finished() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        match ending {
            Ending::Cancelled => request.abort(),
            _ => assert_eq!(request.await.unwrap().unwrap(), 504),
        }
        let last = || context.log().executions(0, 1)[0].ending;
        while last() == Ending::Running {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(last(), ending);
    });
}
