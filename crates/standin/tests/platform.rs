//! Table transactions, outages and lost responses over HTTP.

mod common;

use common::{run, send};
use rstest::rstest;
use serde_json::{Value, json};
use wagtailmoor_standin::{Context, Platform, PlatformSettings};

async fn platform() -> Platform {
    Platform::bind(PlatformSettings::default(), &Context::new(1)).await.unwrap()
}

fn transaction(id: &str, writes: &[(&str, u64, Value)]) -> Value {
    let write = |(row, expected, value): &(&str, u64, Value)| json!({"row": row, "expected": expected, "value": value});
    json!({"write_id": id, "writes": writes.iter().map(write).collect::<Vec<_>>()})
}

// Fails if a transaction with a conflict on one row writes its other rows.
#[test]
fn a_conflict_writes_nothing() {
    run(async {
        let address = platform().await.address();
        let first = transaction("a1", &[("x", 0, json!(1))]);
        assert_eq!(send(address, "POST", "/table", &[], &first).await.unwrap().status, 200);
        let second = transaction("a2", &[("y", 0, json!(2)), ("x", 0, json!(2))]);
        let response = send(address, "POST", "/table", &[], &second).await.unwrap();
        assert_eq!(
            (response.status.as_u16(), response.json()),
            (409, json!({"row": "x", "version": 1}))
        );
        assert_eq!(send(address, "GET", "/table/y", &[], &Value::Null).await.unwrap().status, 404);
    });
}

// Fails if a row that was deleted and created again reuses a version.
#[test]
fn versions_never_repeat() {
    run(async {
        let address = platform().await.address();
        let steps = [(0, json!(1), 1), (1, json!(2), 2), (2, Value::Null, 0), (0, json!(3), 3)];
        for (expected, value, version) in steps {
            let write = transaction("b1", &[("x", expected, value)]);
            let response = send(address, "POST", "/table", &[], &write).await.unwrap();
            assert_eq!(response.json(), json!({"versions": [version]}));
        }
    });
}

// Fails if a scan returns rows outside its prefix, rows out of order or the row to start after.
#[test]
fn scans_continue_after_a_row() {
    run(async {
        let address = platform().await.address();
        let rows = ["a/1", "a/2", "a/3", "b/1"].map(|row| (row, 0, json!(row)));
        send(address, "POST", "/table", &[], &transaction("c1", &rows)).await.unwrap();
        let path = "/table?prefix=a/&after=a%2F1&limit=9";
        let response = send(address, "GET", path, &[], &Value::Null).await.unwrap().json();
        let found: Vec<_> =
            response["rows"].as_array().unwrap().iter().map(|row| &row["row"]).collect();
        assert_eq!(found, ["a/2", "a/3"]);
    });
}

// Fails if a write whose response is lost has no effect, or if the next response is lost too.
#[rstest]
#[case::as_503(0)]
#[case::as_a_closed_connection(1_000_000)]
fn a_write_with_a_lost_response_takes_effect(#[case] by_close_ppm: u32) {
    run(async {
        let platform = platform().await;
        platform.patch(&json!({"lost_by_close_ppm": by_close_ppm})).unwrap();
        platform.lose_next_responses(1);
        let write = transaction("d1", &[("x", 0, json!(1))]);
        let lost = send(platform.address(), "POST", "/table", &[], &write).await;
        assert!(lost.map_or(by_close_ppm > 0, |response| response.status == 503));
        let read = send(platform.address(), "GET", "/table/x", &[], &Value::Null).await.unwrap();
        assert_eq!(read.json(), json!({"version": 1, "write_id": "d1", "value": 1}));
    });
}

// Fails if a write takes effect during an outage.
#[test]
fn an_outage_writes_nothing() {
    run(async {
        let platform = platform().await;
        platform.patch(&json!({"outage": "refuse"})).unwrap();
        let write = transaction("e1", &[("x", 0, json!(1))]);
        let refused = send(platform.address(), "POST", "/table", &[], &write).await.unwrap();
        assert_eq!(refused.status, 503);
        assert!(platform.table().get("x").is_none());
    });
}

// Fails if settings with unknown fields are accepted.
#[test]
fn unknown_settings_are_rejected() {
    run(async {
        let error = platform().await.patch(&json!({"outrage": "refuse"})).unwrap_err();
        assert!(error.to_string().contains("unknown field `outrage`"), "{error}");
    });
}
