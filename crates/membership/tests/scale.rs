//! Cost and convergence at 12 to 800 nodes. Guards against a cost per node that grows with the
//! number of nodes, and against versions that spread too slowly.

mod support;

use rstest::rstest;
use support::{SECOND_US, SIZES, World};
use wagtailmoor_membership::{Digest, Liveness};

const MEASURED_S: u64 = 20;
// A node starts two exchanges a second and replies to two on average.
const MESSAGES_PER_S: u64 = 4;
// The target for all control traffic of a node.
const BYTES_PER_S: u64 = 8_000;

#[test]
fn messages_and_bytes_per_node_do_not_grow_with_the_number_of_nodes() {
    let mut mean_messages_per_s = Vec::new();
    for size in SIZES {
        let mut world = World::new(1, size);
        world.run_for(20 * SECOND_US);
        let before: Vec<(u64, u64)> =
            world.nodes.iter().map(|node| (node.messages, node.bytes)).collect();
        world.run_for(MEASURED_S * SECOND_US);
        let spent = world
            .nodes
            .iter()
            .zip(before)
            .map(|(node, (messages, bytes))| (node.messages - messages, node.bytes - bytes));
        let spent: Vec<(u64, u64)> = spent.collect();
        let messages: u64 = spent.iter().map(|(messages, _)| messages).sum();
        let mean = messages as f64 / (MEASURED_S * size as u64) as f64;
        let max_bytes_per_s =
            spent.iter().map(|(_, bytes)| bytes / MEASURED_S).max().expect("nodes");
        let max_messages = *spent.iter().map(|(messages, _)| messages).max().expect("nodes");
        println!(
            "nodes={size} messages_per_s={mean:.2} most_messages={max_messages} most_bytes_per_s={max_bytes_per_s} largest_digest={}",
            world.largest_digest
        );
        // One exchange of each node may be in flight when the measurement starts.
        let message_limit = (MESSAGES_PER_S * MEASURED_S + 1) * size as u64;
        assert!(messages <= message_limit, "{size} nodes: {messages}");
        assert!(max_messages <= 2 * MESSAGES_PER_S * MEASURED_S, "{size} nodes: {max_messages}");
        assert!(max_bytes_per_s <= BYTES_PER_S, "{size} nodes: {max_bytes_per_s}");
        assert!(world.largest_digest <= Digest::MAX_BYTES);
        mean_messages_per_s.push(mean);
    }
    assert!(
        mean_messages_per_s.iter().all(|mean| *mean <= mean_messages_per_s[0] * 1.05),
        "{mean_messages_per_s:?}"
    );
}

#[rstest]
#[case(12)]
#[case(100)]
#[case(400)]
#[case(800)]
fn version_reaches_every_node_within_13_s(#[case] size: usize) {
    for seed in 0..3 {
        let mut world = World::new(seed, size);
        world.run_for(5 * SECOND_US);
        world.set_version(0, 7);
        let elapsed_us = world
            .run_until(13 * SECOND_US, |world| world.nodes.iter().all(|node| node.version == 7));
        println!("nodes={size} seed={seed} took_us={elapsed_us:?}");
        assert!(elapsed_us.is_some(), "{size} nodes, seed {seed}");
    }
}

#[rstest]
#[case(12)]
#[case(100)]
#[case(400)]
#[case(800)]
fn only_the_crashed_node_becomes_suspect(#[case] size: usize) {
    let mut world = World::new(2, size);
    world.run_for(20 * SECOND_US);
    assert_eq!(world.count(Some(Liveness::Suspect)), 0);
    println!("nodes={size} unknown={}", world.count(None));
    let lost = size / 2;
    world.crash(lost);
    let is_suspect = |world: &World| {
        let mut others = (0..size).filter(|index| *index != lost);
        others.all(|index| {
            matches!(world.liveness_seen_by(index, lost), Some(Liveness::Suspect) | None)
        })
    };
    let elapsed_us = world.run_until(40 * SECOND_US, is_suspect);
    println!("nodes={size} suspect_us={elapsed_us:?}");
    assert!(elapsed_us.is_some());
    assert_eq!(world.count(Some(Liveness::Suspect)), 0);
}
