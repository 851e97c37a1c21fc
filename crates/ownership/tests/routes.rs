//! Merging of route updates, and route lookups.

use rstest::rstest;
use wagtailmoor_core::{BackEndId, Epoch, Generation, Instant, KeyHash, SlotId, TargetId, ZoneId};
use wagtailmoor_ownership::{
    BackEndRoutes, Route, RouteEntry, RouteStamp, RouteState, RouteTable, RouteUpdate, Unit,
};

fn back_end() -> BackEndId {
    "feed".parse().expect("a valid id")
}

fn zone(name: &str) -> ZoneId {
    name.parse().expect("a valid id")
}

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1_000)
}

fn update(
    from: &str,
    stamp: (u64, u64, u64),
    full: bool,
    entries: &[(Unit, RouteState)],
) -> RouteUpdate {
    let entry = |(unit, state): &(Unit, RouteState)| RouteEntry { unit: *unit, state: *state };
    let (generation, session, version) = stamp;
    RouteUpdate {
        zone: zone(from),
        stamp: RouteStamp { generation: Generation::new(generation), session, version },
        full,
        lease_ms: 900,
        targets: vec![
            format!("{from}-1").parse().expect("an id"),
            format!("{from}-2").parse().expect("an id"),
        ],
        back_ends: vec![BackEndRoutes {
            back_end: back_end(),
            slots: 4,
            leased: true,
            request_max_ms: 500,
            entries: entries.iter().map(entry).collect(),
        }],
    }
}

fn slot(number: u32) -> Unit {
    Unit::Slot(SlotId::new(number))
}

fn owner(target: u16, epoch: u64) -> RouteState {
    RouteState::Owner(target, Epoch::new(epoch))
}

fn owner_of(table: &RouteTable, now: Instant, key: u64) -> Option<String> {
    match table.lookup(now, &back_end(), KeyHash::new(key)) {
        Route::Owner { target, .. } => Some(target.to_string()),
        Route::Moving | Route::NoOwner | Route::Stale => None,
    }
}

/// Guards against updates of an older generation, session or version that replace newer routes.
#[rstest]
#[case::older_generation((1, 9, 9), true, at(5), false)]
#[case::older_version((2, 7, 3), false, at(5), false)]
#[case::same_session((2, 7, 6), false, at(5), true)]
#[case::other_session_without_full_update((2, 8, 9), false, at(5), false)]
#[case::other_session_requested_earlier((2, 8, 9), true, at(1), false)]
#[case::other_session((2, 8, 1), true, at(5), true)]
#[case::newer_generation((3, 8, 1), true, at(5), true)]
fn only_newer_updates_are_merged(
    #[case] stamp: (u64, u64, u64),
    #[case] full: bool,
    #[case] requested_at: Instant,
    #[case] accepted: bool,
) {
    let mut table = RouteTable::new();
    assert!(table.merge(at(2), &update("a", (2, 7, 5), true, &[(slot(1), owner(0, 1))])));
    assert_eq!(
        table.merge(requested_at, &update("a", stamp, full, &[(slot(1), owner(1, 3))])),
        accepted
    );
    let expected = if accepted { "a-2" } else { "a-1" };
    assert_eq!(owner_of(&table, at(10), 1).as_deref(), Some(expected));
}

/// Guards against routes of a zone that still publishes a segment after its move to another zone.
#[test]
fn the_zone_with_the_higher_epoch_owns_a_slot() {
    let mut table = RouteTable::new();
    table.merge(at(1), &update("a", (1, 1, 1), true, &[(slot(1), owner(0, 1))]));
    table.merge(at(2), &update("b", (1, 1, 1), true, &[(slot(1), owner(0, 3))]));
    table.merge(at(3), &update("a", (1, 1, 2), false, &[(slot(1), owner(1, 2))]));
    assert_eq!(owner_of(&table, at(10), 1).as_deref(), Some("b-1"));
    table.merge(at(4), &update("a", (1, 1, 3), false, &[(slot(1), RouteState::Gone)]));
    assert_eq!(owner_of(&table, at(10), 1).as_deref(), Some("b-1"));
}

/// Guards against a dispatch under a route lease that may end before the request does.
#[test]
fn a_leased_route_is_stale_when_a_request_could_outlast_it() {
    let mut table = RouteTable::new();
    table.merge(at(100), &update("a", (1, 1, 1), true, &[(slot(1), owner(0, 1))]));
    assert!(owner_of(&table, at(499), 1).is_some());
    assert_eq!(table.lookup(at(500), &back_end(), KeyHash::new(1)), Route::Stale);
}

/// Guards against routing a split key to the owner of its slot, and against a route of a hot key
/// that remains after the key was merged back.
#[test]
fn a_hot_key_has_a_route_of_its_own() {
    let mut table = RouteTable::new();
    let hot = Unit::HotKey(KeyHash::new(5));
    table
        .merge(at(1), &update("a", (1, 1, 1), true, &[(slot(1), owner(0, 3)), (hot, owner(1, 3))]));
    assert_eq!(owner_of(&table, at(2), 5).as_deref(), Some("a-2"));
    assert_eq!(owner_of(&table, at(2), 9).as_deref(), Some("a-1"));
    table.merge(at(3), &update("a", (1, 1, 2), false, &[(hot, RouteState::Gone)]));
    assert_eq!(owner_of(&table, at(4), 5).as_deref(), Some("a-1"));
}

/// Guards against endless refusals: after a 421 response the unit is pulled again, and a 421
/// response to an older route changes nothing.
#[test]
fn a_refused_route_is_checked_with_the_next_pull() {
    let mut table = RouteTable::new();
    table.merge(at(1), &update("a", (1, 1, 1), true, &[(slot(1), owner(0, 3))]));
    let target: TargetId = "a-1".parse().expect("an id");
    table.on_refusal(&back_end(), slot(1), &target, Epoch::new(2));
    assert!(owner_of(&table, at(2), 1).is_some() && !table.wants_pull(&zone("a")));
    table.on_refusal(&back_end(), slot(1), &target, Epoch::new(3));
    assert_eq!(table.lookup(at(2), &back_end(), KeyHash::new(1)), Route::Moving);
    assert!(table.wants_pull(&zone("a")));
    assert_eq!(table.pull(&zone("a")).recheck, vec![(back_end(), slot(1))]);
    table.merge(at(3), &update("a", (1, 1, 1), false, &[(slot(1), owner(0, 3))]));
    assert!(owner_of(&table, at(4), 1).is_some() && table.pull(&zone("a")).recheck.is_empty());
}
