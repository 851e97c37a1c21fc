//! Adoption of reported grants by a new controller whose copy of a row is outdated.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_core::{
    BackEndId, Epoch, Generation, Instant, KeyHash, RowVersion, SegmentId, SlotId, Weight, WriteId,
    ZoneId,
};
use wagtailmoor_ownership::{
    Assignment, Authority, BackEndSettings, Controller, Fencing, HeldReply, HeldUnit, Input,
    Output, OwnershipSettings, RowSource, SegmentRow, StoredRow, Target, TargetState, Unit,
    ZoneState,
};

const SLOT: Unit = Unit::Slot(SlotId::new(0));
const HOT: Unit = Unit::HotKey(KeyHash::new(0));

fn back_end() -> BackEndId {
    "feed".parse().expect("a valid id")
}

fn zone() -> ZoneId {
    "a".parse().expect("a valid id")
}

fn target() -> wagtailmoor_core::TargetId {
    "server-0".parse().expect("a valid id")
}

/// Returns a controller of one slot, whose copy of the row has epoch 2 and no hot key, and its
/// first outputs.
fn new_controller(now: Instant) -> (Controller, Vec<Output>) {
    let settings = OwnershipSettings { slots_per_segment: 1, ..OwnershipSettings::default() };
    let mut controller = Controller::new(zone(), settings, ChaCha8Rng::seed_from_u64(1));
    let one = BackEndSettings { segments: 1, ..BackEndSettings::new(back_end(), Fencing::Grants) };
    let (capacity, state) = (Weight::new(1), TargetState::Live);
    let targets = vec![Target { target: target(), zone: zone(), capacity, state }];
    let assignment = Assignment { owner: target(), successor: None, epoch: Epoch::new(2) };
    let row = SegmentRow {
        segment: SegmentId::new(0),
        home: zone(),
        slots: vec![assignment],
        hot_keys: Vec::new(),
    };
    let stored = StoredRow { version: RowVersion::new(6), write_id: WriteId::new(1), row };
    let authority =
        Authority { generation: Generation::new(1), until: now + Duration::from_secs(9) };
    let zones = vec![ZoneState { zone: zone(), in_service: true, weight: Weight::new(1) }];
    let rows = Input::Rows {
        back_end: back_end(),
        source: RowSource::Copy,
        requested_at: now,
        complete: false,
        rows: vec![stored],
    };
    let inputs = [
        Input::BackEnds(vec![one]),
        Input::Zones(zones),
        Input::Targets { back_end: back_end(), targets },
        rows,
        Input::Authority(Some(authority)),
    ];
    let outputs = inputs.into_iter().flat_map(|input| controller.handle(now, input)).collect();
    (controller, outputs)
}

/// Guards against two owners of a split key: a slot must not be renewed without its exclusions when
/// its target reports a hot key or an exclusion that the copy of the row does not contain.
#[rstest]
#[case::nothing_was_split(&[], &[], true)]
#[case::a_key_was_split_and_granted(&[(HOT, 4, 800)], &[], false)]
#[case::a_key_was_split_and_revoked(&[(HOT, 4, 0)], &[], false)]
#[case::a_key_was_merged_before(&[(HOT, 1, 0)], &[], true)]
#[case::the_slot_excludes_a_key(&[], &[KeyHash::new(0)], false)]
fn a_slot_is_renewed_only_with_known_exclusions(
    #[case] hot: &[(Unit, u64, u64)],
    #[case] split_keys: &[KeyHash],
    #[case] renewed: bool,
) {
    let now = Instant::from_us(1_000_000);
    let (mut controller, outputs) = new_controller(now);
    let query = outputs.iter().find_map(|output| match output {
        Output::QueryHeld(query) => Some(query.query_id),
        _ => None,
    });
    let held = |(unit, epoch, remaining_ms): &(Unit, u64, u64)| HeldUnit {
        unit: *unit,
        epoch: Epoch::new(*epoch),
        remaining_ms: *remaining_ms,
    };
    let held = [(SLOT, 2, 800)].iter().chain(hot).map(held).collect();
    let reply = HeldReply {
        target: target(),
        back_end: back_end(),
        query_id: query.expect("the target is queried"),
        held,
        split_keys: split_keys.to_vec(),
        clock: None,
    };
    let outputs = controller.handle(now, Input::HeldReply(reply));
    let granted = outputs.iter().any(|output| matches!(output, Output::Grant(_)));
    assert_eq!(granted, renewed);
}
