//! Single failures and their expected effect: store outage, loss of panel members, partition of a
//! zone, planned stop and lost responses of the store. Each case runs with many seeds.

mod support;

use rstest::rstest;
use support::{InjectedBug, World, established, id};
use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RowVersion, WriteId};
use wagtailmoor_lease::{
    Answer, Candidate, ControllerRow, LeaseSettings, Panel, PromiseRequest, Refusal, RequestId,
    RequestKind, StoredRow,
};

const SECOND_US: u64 = 1_000_000;
const SEEDS: u64 = 100;

fn start(seed: u64, sizes: &[usize], tenure_ms: u64) -> World {
    let settings = LeaseSettings { tenure_ms, zone_promise_ms: 1_000, ..LeaseSettings::default() };
    established(seed, sizes, settings, InjectedBug::None)
}

fn stop_store(world: &mut World) {
    (0..world.nodes.len()).for_each(|index| world.store_down(index, u64::MAX));
}

/// Returns the panel of a zone as node indexes, the controller first.
fn panel(world: &World, zone: usize) -> Vec<usize> {
    let row = &world.rows[zone].as_ref().expect("row").row;
    let index =
        |node: &NodeId| world.nodes.iter().position(|other| other.id == *node).expect("node");
    let mut panel: Vec<usize> = row.panel.members.iter().map(index).collect();
    panel.sort_by_key(|index| world.controllers[zone] != Some(*index));
    panel
}

fn recovers_within(world: &mut World, zone: usize, bound_us: u64) -> bool {
    let until_us = world.now_us + bound_us;
    let recovered = world.run_until(until_us, |world| world.controllers[zone].is_some());
    assert!(world.violation.is_none(), "seed {}: {:?}", world.seed, world.violation);
    recovered
}

#[rstest]
#[case::controller(0)]
#[case::second_member(1)]
#[case::third_member(2)]
fn one_member_lost_in_a_store_outage_leaves_a_controller_within_a_second(#[case] lost: usize) {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[4], 60_000);
        stop_store(&mut world);
        world.run_for(seed % 10 * 37_000);
        let lost = panel(&world, 0)[lost];
        world.crash(lost, u64::MAX);
        world.step();
        assert!(recovers_within(&mut world, 0, SECOND_US), "seed {seed}");
        world.run_for(5 * SECOND_US);
        assert!(recovers_within(&mut world, 0, SECOND_US), "seed {seed}: lost again");
    }
}

#[test]
fn members_restarted_one_by_one_in_a_store_outage_still_form_a_quorum() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[3], 60_000);
        stop_store(&mut world);
        for index in 0..3 {
            world.crash(index, 100_000);
            world.run_for(2 * SECOND_US);
            assert!(recovers_within(&mut world, 0, SECOND_US), "seed {seed}: member {index}");
        }
    }
}

#[test]
fn survivor_of_two_takes_over_with_the_store() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[2], 60_000);
        let lost = panel(&world, 0)[0];
        world.crash(lost, u64::MAX);
        world.step();
        // A node without the releases would have to wait for the end of the tenure, which is much
        // later.
        assert!(recovers_within(&mut world, 0, 3 * SECOND_US), "seed {seed}");
    }
}

#[test]
fn loss_of_two_of_three_members_waits_for_tenure() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[4], 4_000);
        let lost = panel(&world, 0);
        world.crash(lost[0], u64::MAX);
        world.crash(lost[1], u64::MAX);
        world.step();
        assert!(!recovers_within(&mut world, 0, 2 * SECOND_US), "seed {seed}: too early");
        assert!(recovers_within(&mut world, 0, 5 * SECOND_US), "seed {seed}");
    }
}

#[test]
fn zone_promises_extend_tenure_in_a_store_outage() {
    for seed in 0..SEEDS {
        let settings = LeaseSettings { tenure_ms: 2_000, ..LeaseSettings::default() };
        let mut world = established(seed, &[3, 3, 3], settings, InjectedBug::None);
        stop_store(&mut world);
        world.run_for(8 * SECOND_US);
        assert!(
            world.controllers.iter().all(Option::is_some),
            "seed {seed}: {:?}",
            world.controllers
        );
        // A controller that takes over inherits the extended tenure.
        let lost = world.controllers[0].expect("controller");
        world.crash(lost, u64::MAX);
        world.step();
        assert!(recovers_within(&mut world, 0, SECOND_US), "seed {seed}");
    }
}

#[test]
fn partitioned_zone_without_the_store_stops_at_tenure_and_returns_with_the_store() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[3, 3], 2_000);
        stop_store(&mut world);
        world.cut_zones(60 * SECOND_US);
        // The last renewal is up to 1 s old, and a zone promise of 1 s may be in flight.
        world.run_for(3 * SECOND_US + SECOND_US / 2);
        assert!(
            world.controllers.iter().all(Option::is_none),
            "seed {seed}: {:?}",
            world.controllers
        );
        world.run_for(3 * SECOND_US);
        assert!(
            world.controllers.iter().all(Option::is_none),
            "seed {seed}: {:?}",
            world.controllers
        );
        (0..6).for_each(|index| world.store_down(index, 0));
        assert!(recovers_within(&mut world, 0, SECOND_US), "seed {seed}");
        assert!(recovers_within(&mut world, 1, SECOND_US), "seed {seed}");
    }
}

#[test]
fn tenure_is_not_extended_without_every_other_zone() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[3, 1, 1], 2_000);
        stop_store(&mut world);
        for index in 0..3 {
            world.cut(index, 4, 60 * SECOND_US);
        }
        world.run_for(3 * SECOND_US + SECOND_US / 2);
        assert_eq!(world.controllers[0], None, "seed {seed}");
        assert!(!recovers_within(&mut world, 0, 2 * SECOND_US), "seed {seed}");
    }
}

#[test]
fn lost_zone_is_taken_over_after_tenure_and_returned() {
    for seed in 0..SEEDS {
        let settings =
            LeaseSettings { tenure_ms: 2_000, zone_promise_ms: 1_000, ..LeaseSettings::default() };
        let mut world = World::new(seed, &[5, 3], settings, InjectedBug::None);
        world.make_foreign(0, 2);
        world.run_for(5 * SECOND_US);
        assert!(world.controllers[0].is_some_and(|controller| controller < 3), "seed {seed}");
        (0..3).for_each(|index| world.crash(index, u64::MAX));
        world.step();
        assert!(!recovers_within(&mut world, 0, SECOND_US), "seed {seed}: before tenure");
        assert!(recovers_within(&mut world, 0, 7 * SECOND_US), "seed {seed}: {:?}", world.rows[0]);
        (0..3).for_each(|index| world.start(index));
        let until_us = world.now_us + 5 * SECOND_US;
        let is_home = |world: &World| world.controllers[0].is_some_and(|controller| controller < 3);
        assert!(world.run_until(until_us, is_home), "seed {seed}: {:?}", world.rows[0]);
        world.run_for(2 * SECOND_US);
        assert!(is_home(&world) && world.violation.is_none(), "seed {seed}: {:?}", world.violation);
    }
}

#[test]
fn planned_stop_hands_over_before_promises_expire() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[3], 60_000);
        let leaving = panel(&world, 0)[0];
        world.resign(leaving);
        world.step();
        assert!(recovers_within(&mut world, 0, SECOND_US / 2), "seed {seed}");
        assert_ne!(world.controllers[0], Some(leaving));
    }
}

#[test]
fn writes_with_lost_responses_are_matched_by_write_id() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[3], 2_000);
        world.lose_write_responses = true;
        for _ in 0..100 {
            world.run_for(100_000);
            assert!(world.controllers[0].is_some(), "seed {seed} at {}", world.now_us);
        }
    }
}

/// An operator who knows that every node of the panel has stopped may write an empty panel, to
/// avoid the wait for the end of the tenure.
#[test]
fn empty_panel_is_replaced_without_releases() {
    for seed in 0..SEEDS {
        let mut world = start(seed, &[4, 2], 60_000);
        panel(&world, 0).into_iter().for_each(|index| world.crash(index, u64::MAX));
        world.run_for(SECOND_US);
        let stored = world.rows[0].as_mut().expect("row");
        let generation = stored.row.panel.generation.next();
        stored.row.panel = Panel { generation, members: Vec::new(), ..stored.row.panel.clone() };
        stored.version = stored.version.next();
        assert!(recovers_within(&mut world, 0, 10 * SECOND_US), "seed {seed}: {:?}", world.rows[0]);
    }
}

#[test]
fn late_withdrawal_of_a_previous_incarnation_does_not_end_a_promise() {
    let now = Instant::from_us(10 * SECOND_US);
    let later = Instant::from_us(11 * SECOND_US);
    let panel = Panel {
        generation: Generation::new(1),
        members: ["n0", "n1", "n2"].map(id).to_vec(),
        tenure_ms: 60_000,
        witnesses: Vec::new(),
    };
    let row = ControllerRow { panel, renewals: 1, superseded: Vec::new() };
    let row = StoredRow { row, version: RowVersion::new(1), write: WriteId::new(1) };
    let mut member =
        Candidate::new(id("n2"), id("z0"), Incarnation::new(1), LeaseSettings::default(), now);
    member.on_row(later, Some(row.clone()));
    let generation = Generation::new(1);
    let promise = RequestKind::Promise { row, generation, active: generation, tenure: None };
    let mut answer_to = |from: &str, incarnation: u64, number: u64, kind: &RequestKind| {
        let id = RequestId { incarnation: Incarnation::new(incarnation), number };
        let request = PromiseRequest {
            id,
            zone: support::id("z0"),
            from: support::id(from),
            kind: kind.clone(),
        };
        member.on_promise_request(later, &request).answer
    };
    assert_eq!(answer_to("n0", 2, 4, &promise), Answer::Granted { generation });
    assert_eq!(answer_to("n0", 1, 2, &promise), Answer::Granted { generation });
    answer_to("n0", 1, 5, &RequestKind::Withdraw);
    assert_eq!(answer_to("n1", 1, 1, &promise), Answer::Refused(Refusal::Promised));
}
