//! Fencing by grants, without HTTP.

use rstest::rstest;
use wagtailmoor_core::{Epoch, Generation, GrantId, Instant, KeyHash, SlotId};
use wagtailmoor_standin::{AdmissionRequest, GrantRefusal, GrantRequest, Grants};

const SLOT: SlotId = SlotId::new(7);
const KEY: KeyHash = KeyHash::new(70);

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1_000)
}

fn message(generation: u64, slots: &[u64], hot_keys: &[u64]) -> GrantRequest {
    GrantRequest {
        back_end: "feeds".parse().unwrap(),
        generation: Generation::new(generation),
        grant_id: GrantId::new(1),
        lease_ms: Some(900),
        slots: slots.iter().map(|&epoch| (SLOT, Epoch::new(epoch))).collect(),
        hot_keys: hot_keys.iter().map(|&epoch| (KEY, Epoch::new(epoch))).collect(),
        expires_at: None,
        split_keys: Vec::new(),
        renews: None,
        complete: false,
    }
}

fn request(epoch: u64) -> AdmissionRequest {
    AdmissionRequest { slot: SLOT, key: KEY, epoch: Epoch::new(epoch) }
}

// Fails if a target admits a request without a grant, after its lease or under another epoch.
#[rstest]
#[case::within_the_lease(2, 899, true)]
#[case::at_the_end_of_the_lease(2, 900, false)]
#[case::older_epoch(1, 10, false)]
#[case::newer_epoch(3, 10, false)]
fn admits_only_the_granted_epoch_within_the_lease(
    #[case] epoch: u64,
    #[case] now_ms: u64,
    #[case] admitted: bool,
) {
    let mut grants = Grants::default();
    assert_eq!(grants.admit(at(0), request(2)), None);
    grants.grant(at(0), &message(1, &[2], &[])).unwrap();
    assert_eq!(grants.admit(at(now_ms), request(epoch)).is_some(), admitted);
}

// Fails if a delayed grant of an older epoch or generation takes effect.
#[test]
fn refuses_older_epochs_and_generations() {
    let mut grants = Grants::default();
    grants.grant(at(0), &message(3, &[5], &[])).unwrap();
    let reply = grants.grant(at(1), &message(3, &[4], &[])).unwrap();
    assert_eq!(reply.refused, [(SLOT, Epoch::new(5))]);
    assert_eq!(
        grants.grant(at(2), &message(2, &[9], &[])),
        Err(GrantRefusal::OldGeneration(Generation::new(3)))
    );
    assert!(grants.admit(at(3), request(5)).is_some());
    assert!(grants.admit(at(3), request(9)).is_none());
}

// Fails if a revoked epoch is admitted again, or a revocation is acknowledged before the requests
// that it covers have finished.
#[test]
fn revocation_waits_for_running_requests_and_is_permanent() {
    let mut grants = Grants::default();
    grants.grant(at(0), &message(1, &[2], &[])).unwrap();
    let admission_id = grants.admit(at(1), request(2)).unwrap();
    let revocation = message(1, &[2], &[]);
    grants.revoke(&revocation).unwrap();
    assert!(!grants.is_drained(&revocation));
    assert!(grants.admit(at(2), request(2)).is_none());
    grants.finish(admission_id);
    assert!(grants.is_drained(&revocation));
    let reply = grants.grant(at(3), &message(1, &[2], &[])).unwrap();
    assert_eq!(reply.refused, [(SLOT, Epoch::new(2))]);
    grants.grant(at(4), &message(1, &[3], &[])).unwrap();
    assert!(grants.admit(at(5), request(3)).is_some());
}

// Fails if a delayed revocation of an older epoch revokes a newer grant.
#[test]
fn revocation_of_an_older_epoch_changes_nothing() {
    let mut grants = Grants::default();
    grants.grant(at(0), &message(1, &[4], &[])).unwrap();
    grants.revoke(&message(1, &[3], &[])).unwrap();
    assert!(grants.admit(at(1), request(4)).is_some());
}

// Fails if the owner of a slot continues to serve a key that was split off as a hot key.
#[test]
fn a_hot_key_is_not_covered_by_its_slot_until_merged_back() {
    let mut grants = Grants::default();
    grants.grant(at(0), &message(1, &[2], &[])).unwrap();
    let before = grants.admit(at(1), request(2)).unwrap();
    let split = message(1, &[], &[3]);
    grants.revoke(&split).unwrap();
    assert!(!grants.is_drained(&split));
    assert!(grants.admit(at(2), request(2)).is_none());
    grants.finish(before);
    assert!(grants.is_drained(&split));
    grants.grant(at(3), &message(1, &[4], &[])).unwrap();
    grants.admit(at(4), request(4)).unwrap();
    let merged = message(1, &[4], &[]);
    grants.revoke(&merged).unwrap();
    assert!(!grants.is_drained(&merged));
}

// Fails if a target keeps grants over a restart, or a request from before the restart finishes one
// from after it.
#[test]
fn a_restart_clears_grants() {
    let mut grants = Grants::default();
    grants.grant(at(0), &message(9, &[2], &[])).unwrap();
    let old = grants.admit(at(1), request(2)).unwrap();
    grants.reset();
    assert!(grants.admit(at(2), request(2)).is_none());
    grants.grant(at(3), &message(1, &[1], &[])).unwrap();
    grants.admit(at(4), request(1)).unwrap();
    grants.finish(old);
    assert!(!grants.is_drained(&message(1, &[1], &[])));
}

// Fails if a grant that waited in the receive buffer of a frozen target starts a full lease.
#[test]
fn ends_a_lease_at_the_given_reading_of_its_own_clock() {
    let mut grants = Grants::default();
    let (incarnation, _) = grants.grant(at(0), &message(1, &[2], &[])).unwrap().clock;
    let until = |ms: u64| GrantRequest {
        expires_at: Some((incarnation, at(ms).as_us())),
        ..message(1, &[2], &[])
    };
    grants.grant(at(10), &until(500)).unwrap();
    assert!(grants.admit(at(499), request(2)).is_some());
    assert!(grants.admit(at(500), request(2)).is_none());
    assert!(matches!(grants.grant(at(600), &until(500)), Err(GrantRefusal::Expired(_))));
    grants.reset();
    assert!(matches!(grants.grant(at(0), &until(500)), Err(GrantRefusal::Expired(_))));
}

// Fails if the grant of a slot admits requests for its split keys.
#[test]
fn does_not_serve_split_keys_under_the_grant_of_their_slot() {
    let mut grants = Grants::default();
    let split = GrantRequest { split_keys: vec![KEY], ..message(1, &[2], &[]) };
    grants.grant(at(0), &split).unwrap();
    assert!(grants.admit(at(1), request(2)).is_none());
    assert_eq!(grants.held(at(1)).split_keys, [KEY]);
}

// Fails if a renewal by id renews a different grant, or one of a previous incarnation.
#[test]
fn renews_only_the_last_complete_grant() {
    let mut grants = Grants::default();
    let complete = GrantRequest { complete: true, ..message(1, &[2], &[]) };
    grants.grant(at(0), &complete).unwrap();
    let renewal = |id: u64| GrantRequest {
        grant_id: GrantId::new(9),
        renews: Some(GrantId::new(id)),
        ..message(1, &[], &[])
    };
    grants.grant(at(800), &renewal(1)).unwrap();
    assert!(grants.admit(at(1_000), request(2)).is_some());
    assert!(matches!(grants.grant(at(1_000), &renewal(7)), Err(GrantRefusal::Unknown(_))));
    grants.reset();
    assert!(matches!(grants.grant(at(1_100), &renewal(1)), Err(GrantRefusal::Unknown(_))));
}
