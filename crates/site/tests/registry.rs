//! Tests of registration, changes and removal of targets.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{Incarnation, Instant, Requests};
use wagtailmoor_site::{Registry, RegistryChange, Target, TargetState};

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1_000)
}

fn target(incarnation: u64, state: TargetState) -> Target {
    Target {
        target: "t1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        back_end: "feed".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state,
        slots: Requests::new(2),
        cold_for: Some(Duration::from_millis(500)),
        software: "v1".into(),
    }
}

// Guards against an entry of an earlier incarnation that replaces a later one.
#[test]
fn ignores_an_earlier_incarnation() {
    let mut registry = Registry::default();
    let ready = TargetState::Ready;
    assert_eq!(registry.upsert(at(0), target(2, ready)), RegistryChange::Joined);
    assert_eq!(registry.upsert(at(1), target(1, ready)), RegistryChange::None);
    assert_eq!(registry.upsert(at(2), target(3, ready)), RegistryChange::Restarted);
    assert_eq!(registry.get(&"t1".parse().unwrap()).unwrap().incarnation, Incarnation::new(3));
}

// Guards against requests to targets that are draining or whose zone is out of service.
#[rstest]
#[case::ready(TargetState::Ready, false, true)]
#[case::draining(TargetState::Draining, false, false)]
#[case::zone_out(TargetState::Ready, true, false)]
fn targets_in_service(#[case] state: TargetState, #[case] zone_out: bool, #[case] expected: bool) {
    let mut registry = Registry::default();
    registry.upsert(at(0), target(1, state));
    if zone_out {
        registry.disabled_zones_mut().disable("a".parse().unwrap());
    }
    assert_eq!(registry.is_in_service(at(1), &"t1".parse().unwrap()), expected);
}

// Guards against live targets that are dropped because their entries expired during an outage of
// the store, and against exited targets that are kept.
#[rstest]
#[case::returned(true, true)]
#[case::stayed_missing(false, false)]
fn keeps_missing_targets_for_a_grace_period_after_an_outage(
    #[case] returns: bool,
    #[case] kept: bool,
) {
    let mut registry = Registry::default();
    let name = "t1".parse().unwrap();
    registry.upsert(at(0), target(1, TargetState::Ready));
    registry.on_store_recovery(at(1_000));
    registry.remove(at(1_100), &name);
    assert!(registry.is_in_service(at(1_200), &name));
    if returns {
        registry.upsert(at(2_000), target(1, TargetState::Ready));
    }
    registry.expire(at(3_000));
    assert_eq!(registry.get(&name).is_some(), kept);
}

// Guards against requests to a target that left right after an outage, on nodes where nothing else
// drops its entry. A second outage must not extend the grace period; a request was once sent 2.4 s
// after the target had left.
#[test]
fn takes_a_missing_target_out_of_service_after_the_grace_period() {
    let mut registry = Registry::default();
    let name = "t1".parse().unwrap();
    registry.upsert(at(0), target(1, TargetState::Ready));
    registry.on_store_recovery(at(1_000));
    registry.remove(at(1_100), &name);
    registry.on_store_recovery(at(2_000));
    registry.remove(at(2_100), &name);
    assert!(!registry.is_in_service(at(1_100 + 2_000), &name));
}

// Guards against a target that stays cold forever or counts as warm too early.
#[test]
fn ends_the_cold_state_on_time() {
    let mut registry = Registry::default();
    let name = "t1".parse().unwrap();
    registry.upsert(at(0), target(1, TargetState::Ready));
    assert!(registry.is_cold(at(499), &name));
    assert!(!registry.is_cold(at(500), &name));
    registry.set_cold(at(600), &name, Duration::from_millis(100));
    assert!(registry.is_cold(at(699), &name));
}
