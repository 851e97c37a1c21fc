//! End-to-end tests over real sockets, with injected failures.
//!
//! No result depends on wall time: a test polls until a condition holds and fails when it hangs.

mod support;

use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_configuration::{Change, ServiceState};
use wagtailmoor_peer::PeerClient;
use wagtailmoor_store::Table;

use support::{SECRET, Site, get, post, run, send, wait_until};

const THREE_ENTRIES: &[&str] = &["zone-a", "zone-a", "zone-b"];

// Guards against a valid customer key that a node refuses, a key that leaks to targets, and a
// withdrawn key that is still accepted.
#[test]
fn serves_a_granted_key_and_refuses_it_when_withdrawn() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        for entry in &site.entries {
            let response = get(entry.listen(), "/feed/t1/page").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(response.header("wagtailmoor-outcome"), "answered");
            assert_eq!(response.field("customer"), "anna");
        }
        site.change(Change::WithdrawKey("anna-1".parse().unwrap())).await;
        for entry in &site.entries {
            wait_until(async || {
                let response = get(entry.listen(), "/feed/t1/page").await;
                response.header("wagtailmoor-reason") == "key-refused"
            })
            .await;
            let open = Request::get("/status").body(Full::default()).unwrap();
            assert_eq!(send(entry.listen(), open).await.unwrap().status, StatusCode::OK);
        }
        let executions = site.executions();
        assert!(executions.iter().all(|execution| execution.customer.as_deref() != Some(SECRET)));
        assert!(site.standin.context.log().violations().is_empty());
    });
}

// Guards against nodes that send the same key to different owners.
#[test]
fn sends_a_key_to_the_same_target_from_every_node() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        for key in ["t1", "t2", "t3", "t4"] {
            let path = format!("/feed/{key}");
            let first = get(site.entries[0].listen(), &path).await.field("target");
            for entry in &site.entries {
                assert_eq!(get(entry.listen(), &path).await.field("target"), first);
            }
        }
    });
}

// Guards against a zone that stops serving when its controller is lost.
#[test]
fn keeps_serving_when_a_controller_is_killed() {
    run(async {
        let mut site = Site::start(THREE_ENTRIES).await;
        site.entries.remove(0).abort();
        for entry in &site.entries {
            wait_until(async || get(entry.listen(), "/feed/t1").await.status == StatusCode::OK)
                .await;
            wait_until(async || get(entry.listen(), "/export/x").await.status == StatusCode::OK)
                .await;
        }
    });
}

// Guards against a key of a crashed target that stays unserved, or that another target serves
// without a higher epoch.
#[test]
fn moves_the_keys_of_a_crashed_target() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let entry = &site.entries[2];
        let lost = get(entry.listen(), "/feed/t1").await.field("target");
        site.target(&lost).crash(None);
        wait_until(async || {
            let response = get(entry.listen(), "/feed/t1").await;
            response.status == StatusCode::OK && response.field("target") != lost
        })
        .await;
        let epochs = site.executions().into_iter().filter(|run| run.key.as_deref() == Some("t1"));
        let epochs: Vec<_> = epochs.map(|run| (run.target == lost, run.epoch)).collect();
        let old = epochs.iter().filter(|(old, _)| *old).map(|(_, epoch)| *epoch).max();
        let new = epochs.iter().filter(|(old, _)| !*old).map(|(_, epoch)| *epoch).min();
        assert!(new > old, "{epochs:?}");
    });
}

// Guards against a store outage that stops reads or the failover to recorded successors, and
// against a request that runs although its record cannot be written.
#[test]
fn serves_and_fails_over_while_the_store_is_down() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let entry = &site.entries[1];
        site.patch_platform(json!({"outage": "refuse"}));
        let lost = get(entry.listen(), "/feed/t1").await.field("target");
        site.target(&lost).crash(None);
        wait_until(async || {
            let response = get(entry.listen(), "/feed/t1").await;
            response.status == StatusCode::OK && response.field("target") != lost
        })
        .await;
        let refused = post(entry.listen(), "/feed/t1/reply", "r1").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.header("wagtailmoor-outcome"), "not-run");
        let runs = site.executions();
        assert!(runs.iter().all(|run| run.idempotency_key.as_deref() != Some("r1")));
        site.patch_platform(json!({"outage": "none"}));
        wait_until(async || {
            post(entry.listen(), "/feed/t1/reply", "r1").await.status == StatusCode::OK
        })
        .await;
    });
}

// Guards against a publication that runs twice when it is sent again through another node.
#[test]
fn runs_a_repeated_publication_once() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let first = post(site.entries[0].listen(), "/publish/x", "p1").await;
        assert_eq!(first.status, StatusCode::OK);
        for entry in &site.entries {
            let repeated = post(entry.listen(), "/publish/x", "p1").await;
            assert_eq!(repeated.status, StatusCode::CONFLICT);
            assert_eq!(repeated.header("wagtailmoor-reason"), "duplicate");
        }
        let runs = site.executions().into_iter();
        let runs = runs.filter(|run| run.idempotency_key.as_deref() == Some("p1"));
        assert_eq!(runs.count(), 1);
    });
}

// Guards against a publication that runs twice because a response of the store was lost, and
// against a request that runs but is refused as not run. An earlier request with the same key may
// have run.
#[test]
fn runs_a_publication_at_most_once_when_store_responses_are_lost() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        site.patch_platform(json!({"lost_answers_ppm": 500_000}));
        for number in 0..20 {
            let key = format!("q{number}");
            for entry in &site.entries {
                let before = site.executions().len();
                let response = post(entry.listen(), "/publish/x", &key).await;
                let ran = site.executions().len() > before;
                let not_run = response.header("wagtailmoor-outcome") == "not-run";
                assert!(!(ran && not_run), "{key}: {response:?}");
            }
        }
        let mut keys: Vec<_> =
            site.executions().into_iter().filter_map(|run| run.idempotency_key).collect();
        let all = keys.len();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), all, "a publication ran twice");
        assert!(all > 0, "no publication ran");
    });
}

// Guards against a graceful shutdown that aborts a request in flight or leaves the zone
// unserved.
#[test]
fn stops_without_aborting_a_request() {
    run(async {
        let mut site = Site::start(THREE_ENTRIES).await;
        let stopping = site.entries.remove(0);
        let address = stopping.listen();
        let path = "/export/slow?service_us=1500000";
        let slow = spawn_local(async move { get(address, path).await });
        wait_until(async || site.executions().iter().any(|run| run.path == "/export/slow")).await;
        stopping.stop().await;
        let response = slow.await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        for entry in &site.entries {
            wait_until(async || get(entry.listen(), "/feed/t1").await.status == StatusCode::OK)
                .await;
        }
    });
}

// Guards against a process that stops while it is still on the panel. Its zone then has no
// controller until the others detect the loss.
#[rstest]
#[case::controller_or_standby(0)]
#[case::the_other(1)]
fn leaves_the_panel_before_it_stops(#[case] index: usize) {
    run(async {
        let mut site = Site::start(THREE_ENTRIES).await;
        wait_until(async || panel(&site).await.len() == 2).await;
        site.entries.remove(index).stop().await;
        assert_eq!(panel(&site).await, [format!("entry-{}", 1 - index)]);
    });
}

async fn panel(site: &Site) -> Vec<String> {
    let row = site.store.read("controller/zone-a").await.unwrap();
    let members = row.map(|row| row.value["panel"]["members"].clone()).unwrap_or_default();
    serde_json::from_value(members).unwrap_or_default()
}

// Guards against keys that stay unserved when a zone is lost with all its processes and targets:
// another zone must serve them once the tenure of the lost zone has ended.
#[test]
fn takes_over_the_keys_of_a_lost_zone() {
    run(async {
        let mut site = Site::start_with_tenure(THREE_ENTRIES, 2_000).await;
        let address = site.entries[0].listen();
        let mut lost = Vec::new();
        for number in 0..12 {
            let path = format!("/feed/k{number}");
            let response = get(address, &path).await;
            if !in_zone_a(&response.field("target")) {
                lost.push(path);
            }
        }
        assert!(!lost.is_empty());
        site.entries.remove(2).abort();
        for id in ["feed-2", "feed-4", "export-2", "export-4"] {
            site.target(id).crash(None);
        }
        for path in &lost {
            wait_until(async || {
                let response = get(address, path).await;
                response.status == StatusCode::OK && in_zone_a(&response.field("target"))
            })
            .await;
        }
    });
}

// Guards against customer keys that are refused during a store outage in all zones. The support of
// the other zones' controllers must then keep the configuration fresh.
#[test]
fn keeps_the_configuration_fresh_while_the_store_is_down_for_all_zones() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        site.patch_platform(json!({"outage": "refuse"}));
        let peers = PeerClient::new();
        for entry in &site.entries {
            wait_until(async || {
                let state = peers.state(entry.control()).await.unwrap();
                let store_age_ms = state.store_age_ms.unwrap();
                store_age_ms > 12_000 && state.freshness_age_ms.unwrap() < store_age_ms - 3_000
            })
            .await;
        }
    });
}

// Guards against a response that the target truncated and that looks complete to the client.
#[test]
fn forwards_a_truncated_response_as_truncated() {
    run(async {
        let site = Site::start(&["zone-a", "zone-b"]).await;
        for target in &site.standin.targets {
            target.patch(&json!({"cut_ppm": 1_000_000})).unwrap();
        }
        let request = Request::get("/export/x?bytes=100000")
            .header("authorization", format!("Bearer {SECRET}"))
            .body(Full::default())
            .unwrap();
        let truncated = send(site.entries[0].listen(), request).await;
        assert!(truncated.is_err(), "{truncated:?}");
    });
}

// Guards against a request that goes on crashing targets: after two losses, every node must refuse
// it.
#[test]
fn refuses_a_request_that_crashes_targets() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let path = "/export/crash-me";
        for target in &site.standin.targets {
            target.patch(&json!({"crash_marker": "crash-me", "crash_away_ms": 100})).unwrap();
        }
        for entry in &site.entries {
            wait_until(async || {
                let response = get(entry.listen(), path).await;
                response.header("wagtailmoor-reason") == "crashes-targets"
            })
            .await;
        }
        for entry in &site.entries {
            wait_until(async || get(entry.listen(), "/export/x").await.status == StatusCode::OK)
                .await;
        }
        let mut crashed: Vec<_> =
            site.executions().into_iter().filter(|run| run.path == path).collect();
        crashed.sort_by_key(|run| run.start_us);
        assert!(crashed.len() >= 2, "{crashed:?}");
    });
}

// Guards against a slot or target that stays occupied after the client has disconnected.
#[test]
fn frees_the_slot_of_a_client_that_disconnects() {
    run(async {
        let site = Site::start(&["zone-a", "zone-b"]).await;
        let address = site.entries[0].listen();
        for _ in 0..3 {
            let leaving = get(address, "/export/long?service_us=2900000");
            assert!(timeout(Duration::from_millis(100), leaving).await.is_err());
        }
        wait_until(async || {
            let mut runs = site.executions().into_iter().filter(|run| run.path == "/export/long");
            runs.all(|run| run.end_us.is_some())
        })
        .await;
        wait_until(async || get(address, "/export/x").await.status == StatusCode::OK).await;
    });
}

// Guards against new requests to a zone that is out of service, and against keys of that zone that
// no other zone serves.
#[test]
fn moves_work_away_from_a_zone_out_of_service() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let state = |state| Change::SetZone {
            zone: "zone-b".parse().unwrap(),
            region: "south".parse().unwrap(),
            state,
        };
        site.change(state(ServiceState::Out)).await;
        let keys = ["t1", "t2", "t3", "t4", "t5", "t6"];
        for key in keys {
            let path = format!("/feed/{key}");
            wait_until(async || {
                let response = get(site.entries[0].listen(), &path).await;
                response.status == StatusCode::OK && in_zone_a(&response.field("target"))
            })
            .await;
        }
        for _ in 0..10 {
            let response = get(site.entries[0].listen(), "/export/x").await;
            assert!(in_zone_a(&response.field("target")), "{response:?}");
        }
        site.change(state(ServiceState::In)).await;
        wait_until(async || {
            let mut moved = false;
            for number in 0..8 {
                let path = format!("/feed/b{number}");
                let response = get(site.entries[0].listen(), &path).await;
                moved |= response.status == StatusCode::OK && !in_zone_a(&response.field("target"));
            }
            moved
        })
        .await;
    });
}

fn in_zone_a(target: &str) -> bool {
    matches!(target, "feed-1" | "feed-3" | "export-1" | "export-3")
}

// Guards against a target that resumes after a freeze and serves keys that have moved away.
#[test]
fn keeps_one_owner_when_a_target_freezes_and_resumes() {
    run(async {
        let site = Site::start(THREE_ENTRIES).await;
        let address = site.entries[2].listen();
        let frozen = get(address, "/feed/t1").await.field("target");
        site.target(&frozen).freeze(None);
        wait_until(async || {
            let response = get(address, "/feed/t1").await;
            response.status == StatusCode::OK && response.field("target") != frozen
        })
        .await;
        site.target(&frozen).thaw();
        // Gives requests in the receive buffer of the target time to run, in case it runs them.
        sleep(Duration::from_millis(1_000)).await;
        let moved_at = site.executions().into_iter();
        let moved_at = moved_at.filter(|run| run.path == "/feed/t1" && run.target != frozen);
        let moved_at = moved_at.map(|run| run.start_us).min().unwrap();
        let late = site.executions().into_iter().filter(|run| {
            run.path == "/feed/t1" && run.target == frozen && run.start_us > moved_at
        });
        assert_eq!(late.count(), 0);
    });
}
