//! Partitions, pauses, restarts, and lost and late messages. Guards against views that stay wrong
//! after the faults have ended, and against a digest that exceeds its bounds.

mod support;

use rand::RngExt;
use rstest::rstest;
use support::{SECOND_US, World};
use wagtailmoor_core::{ConfigVersion, Incarnation, Instant, SortedVec};
use wagtailmoor_membership::{
    Digest, Liveness, Losses, MemberRecord, Membership, RecordState, SeedAddress, Versions,
};

fn seeds(default: u64) -> u64 {
    std::env::var("WAGTAILMOOR_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Some pairs lose all messages in one direction. Both nodes still reach others, which refute the
/// failure, so no node becomes suspect.
#[test]
fn one_way_partition_of_a_pair_makes_no_node_suspect() {
    for seed in 0..5 {
        let mut world = World::new(seed, 40);
        world.run_for(20 * SECOND_US);
        for _ in 0..10 {
            let (from, to) = (world.rng.random_range(0..40), world.rng.random_range(0..40));
            world.cut(from, to);
        }
        for _ in 0..60 {
            world.run_for(SECOND_US);
            assert_eq!(world.count(Some(Liveness::Suspect)), 0, "seed {seed} at {}", world.now_us);
        }
    }
}

/// A node that sends but does not receive, or the reverse, must not make other nodes suspect each
/// other.
#[rstest]
#[case::sends_only(true)]
#[case::receives_only(false)]
fn one_way_isolated_node_makes_no_other_node_suspect_and_returns(#[case] sends_only: bool) {
    for seed in 0..5 {
        let size = 24;
        let mut world = World::new(seed, size);
        world.run_for(20 * SECOND_US);
        let isolated = world.rng.random_range(0..size);
        for other in (0..size).filter(|other| *other != isolated) {
            if sends_only { world.cut(other, isolated) } else { world.cut(isolated, other) }
        }
        world.run_for(40 * SECOND_US);
        for (left, right) in (0..size).flat_map(|left| (0..size).map(move |right| (left, right))) {
            if left != right && left != isolated && right != isolated {
                assert_ne!(
                    world.liveness_seen_by(left, right),
                    Some(Liveness::Suspect),
                    "seed {seed}: {left} {right}"
                );
            }
        }
        world.heal();
        world.run_for(30 * SECOND_US);
        assert_eq!(world.count(Some(Liveness::Suspect)), 0, "seed {seed}");
    }
}

#[test]
fn healed_partition_of_a_zone_leaves_no_suspect() {
    for seed in 0..5 {
        let size = 24;
        let mut world = World::new(seed, size);
        world.run_for(20 * SECOND_US);
        for (left, right) in (0..size).flat_map(|left| (0..size).map(move |right| (left, right))) {
            if (world.zone_of(left) == 0) != (world.zone_of(right) == 0) {
                world.cut(left, right);
            }
        }
        world.run_for(60 * SECOND_US);
        let in_other_zone = (0..size).find(|index| world.zone_of(*index) != 0).expect("node");
        assert_eq!(
            world.liveness_seen_by(in_other_zone, 0),
            Some(Liveness::Suspect),
            "seed {seed}"
        );
        world.heal();
        world.run_for(30 * SECOND_US);
        assert_eq!(world.count(Some(Liveness::Suspect)), 0, "seed {seed}");
    }
}

#[test]
fn random_faults_end_in_a_correct_view() {
    for seed in 0..seeds(30) {
        let size = 16;
        let mut world = World::new(seed, size);
        for _ in 0..40 {
            let index = world.rng.random_range(0..size);
            let other = world.rng.random_range(0..size);
            match world.rng.random_range(0..6) {
                0 => world.crash(index),
                1 => world.start(index),
                2 => world.nodes[index].paused_until_us = world.now_us + 3 * SECOND_US,
                3 => world.cut(index, other),
                4 => world.late_percent = 20,
                _ => world.loss_percent = 20,
            }
            let pause_us = world.rng.random_range(0..2 * SECOND_US);
            world.run_for(pause_us);
        }
        world.heal();
        let down = world.rng.random_range(0..size);
        world.crash(down);
        for index in (0..size).filter(|index| *index != down) {
            if world.nodes[index].view.is_none() {
                world.start(index);
            }
        }
        world.set_version((down + 1) % size, 99);
        world.run_for(40 * SECOND_US);
        assert_eq!(world.count(Some(Liveness::Live)), 15 * 14, "seed {seed}");
        for index in (0..size).filter(|index| *index != down) {
            assert_ne!(
                world.liveness_seen_by(index, down),
                Some(Liveness::Live),
                "seed {seed}: {index}"
            );
            assert_eq!(world.nodes[index].version, 99, "seed {seed}: {index}");
        }
    }
}

fn record(number: u16, incarnation: u64, state: RecordState, age_ms: u32) -> MemberRecord {
    MemberRecord {
        node: format!("n{number}").parse().expect("id"),
        address: ([127, 0, 0, 1], number).into(),
        zone: "z0".parse().expect("id"),
        rack: "r0".parse().expect("id"),
        incarnation: Incarnation::new(incarnation),
        state,
        age_ms,
    }
}

fn digest(sender: MemberRecord, records: Vec<MemberRecord>) -> Digest {
    Digest { sender, versions: Versions::default(), records }
}

#[test]
fn late_digest_of_a_previous_incarnation_is_ignored() {
    let now = Instant::from_us(SECOND_US);
    let mut view = Membership::new(record(1, 1, RecordState::Reachable, 0), Vec::new(), 1, now);
    view.on_exchange(now, &digest(record(2, 5, RecordState::Reachable, 0), Vec::new()));
    view.on_exchange(now, &digest(record(2, 4, RecordState::Leaving, 0), Vec::new()));
    let name = "n2".parse().expect("id");
    assert_eq!(view.liveness(now, &name), Some(Liveness::Live));
    // A report that the previous incarnation is unreachable is ignored too.
    let report = record(2, 4, RecordState::Unreachable, 60_000);
    view.on_exchange(now, &digest(record(3, 1, RecordState::Reachable, 0), vec![report]));
    assert_eq!(view.liveness(now, &name), Some(Liveness::Live));
}

#[test]
fn own_incarnation_rises_above_the_one_known_to_others() {
    let now = Instant::from_us(SECOND_US);
    let mut view = Membership::new(record(1, 3, RecordState::Reachable, 0), Vec::new(), 1, now);
    let known = record(1, 8, RecordState::Reachable, 10);
    view.on_exchange(now, &digest(record(2, 1, RecordState::Reachable, 0), vec![known]));
    assert_eq!(view.own().incarnation, Incarnation::new(9));
}

#[test]
fn digest_of_long_ids_stays_within_its_bounds_and_has_the_stated_size() {
    let now = Instant::from_us(SECOND_US);
    let long = |number: usize| format!("{number:064}");
    let long_record = |number: usize| MemberRecord {
        node: long(number).parse().expect("id"),
        address: "[2001:db8::1]:9000".parse().expect("address"),
        zone: long(number).parse().expect("id"),
        rack: long(number).parse().expect("id"),
        ..record(1, 1, RecordState::Reachable, 0)
    };
    let contact = SeedAddress { address: ([127, 0, 0, 1], 7).into() };
    let mut view = Membership::new(long_record(0), vec![contact], 1, now);
    let routes: SortedVec<_, _> =
        (0..99).map(|zone| (format!("zone-{zone:02}").parse().expect("id"), 1)).collect();
    let losses = Losses::new(vec![1; Losses::MAX_BYTES]).expect("small");
    view.on_versions(
        now,
        Versions { config: ConfigVersion::new(1), freshness_age_ms: Some(1), routes, losses },
    );
    for number in 1..50 {
        let reply = view.on_exchange(now, &digest(long_record(number), Vec::new()));
        let encoded = bincode::serialize(&reply).expect("encodes");
        assert_eq!(u64::try_from(encoded.len()).expect("small"), reply.size().get());
        assert!(encoded.len() <= Digest::MAX_BYTES);
        assert!(reply.records.len() <= Digest::MAX_RECORDS);
        assert!(number < 5 || !reply.records.is_empty());
        assert_eq!(bincode::deserialize::<Digest>(&encoded).expect("decodes"), reply);
    }
    assert!(Losses::new(vec![1; Losses::MAX_BYTES + 1]).is_err());
}
