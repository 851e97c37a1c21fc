//! Measures the cost of the membership view: time and size of a message, memory per member, and
//! load and convergence of regions of 12 to 800 nodes. Prints one table.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::{Duration, Instant as WallClock};

use support::{SECOND_US, SIZES, World};
use wagtailmoor_core::Instant;
use wagtailmoor_membership::Digest;

const MESSAGES: u32 = 20_000;
const MEASURED_S: u64 = 20;

/// Replies to digests of other members and returns the time per digest in microseconds.
fn message_us(world: &mut World) -> f64 {
    let start = Instant::default() + Duration::from_secs(60);
    let size = world.nodes.len();
    let digests: Vec<Digest> = (1..size.min(64))
        .map(|index| {
            let view = world.nodes[index].view.as_mut().expect("runs");
            let mut now = start;
            loop {
                now = now + Duration::from_millis(100);
                if let Some(exchange) = view.tick(now) {
                    break exchange.digest;
                }
            }
        })
        .collect();
    let view = world.nodes[0].view.as_mut().expect("runs");
    let clock = WallClock::now();
    for number in 0..MESSAGES {
        let now = start + Duration::from_millis(u64::from(number));
        black_box(view.on_exchange(now, &digests[number as usize % digests.len()]));
    }
    clock.elapsed().as_secs_f64() * 1e6 / f64::from(MESSAGES)
}

fn main() {
    println!(
        "{:>6} {:>14} {:>12} {:>13} {:>11} {:>11} {:>14} {:>13}",
        "nodes",
        "us/message",
        "ratio to 12",
        "bytes/message",
        "bytes/member",
        "messages/s",
        "bytes/s (most)",
        "spread ms"
    );
    let mut baseline_us = None;
    for size in SIZES {
        let mut world = World::new(1, size);
        world.run_for(30 * SECOND_US);
        let before: Vec<(u64, u64)> =
            world.nodes.iter().map(|node| (node.messages, node.bytes)).collect();
        world.run_for(MEASURED_S * SECOND_US);
        let spent = world.nodes.iter().zip(before);
        let spent: Vec<(u64, u64)> =
            spent.map(|(node, before)| (node.messages - before.0, node.bytes - before.1)).collect();
        let messages: u64 = spent.iter().map(|spent| spent.0).sum();
        let bytes: u64 = spent.iter().map(|spent| spent.1).sum();
        let max_bytes = spent.iter().map(|spent| spent.1).max().unwrap_or_default();
        let state = world.nodes[0].view.as_ref().expect("runs").state_bytes();
        let member_bytes = state / (size - 1);
        world.set_version(0, 7);
        let spread = world
            .run_until(60 * SECOND_US, |world| world.nodes.iter().all(|node| node.version == 7));
        let spread_ms = spread.map_or("none".into(), |us| (us / 1_000).to_string());
        let us = message_us(&mut world);
        let baseline = *baseline_us.get_or_insert(us);
        println!(
            "{size:>6} {us:>14.2} {:>12.2} {:>13} {member_bytes:>11} {:>11.2} {:>14} {spread_ms:>13}",
            us / baseline,
            bytes / messages,
            messages as f64 / (size as u64 * MEASURED_S) as f64,
            max_bytes / MEASURED_S,
        );
    }
}
