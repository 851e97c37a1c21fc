//! Messages and bytes per node and second.

use bincode::Options;
use serde::Serialize;
use wagtailmoor_limits::{CreditReply, CreditRequest, PermitReply, PermitRequest};

use super::workloads;
use crate::harness::MS;
use crate::harness::credits::{Credits, Workload};
use crate::harness::permits::{Permits, Target};
use crate::harness::plan::Plan;
use crate::harness::world::{Protocol, World};

const END_US: u64 = 3_000 * MS;
const ZONES: usize = 3;
/// Targets that one node uses: a subset of all in large systems.
const TARGETS_PER_NODE: usize = 16;

/// Returns the size of a message in the encoding that `tarpc` uses.
pub(crate) fn encoded_size<T: Serialize>(message: &T) -> u64 {
    bincode::DefaultOptions::new().serialized_size(message).expect("messages can be encoded")
}

pub(crate) fn print() {
    println!("Traffic, requests and replies without framing, by node and second, 3 zones");
    println!(
        "{:>5} | {:>9} {:>9} {:>9} | {:>9} {:>9} {:>9}",
        "nodes", "credit/s", "B/message", "B/s", "permit/s", "B/message", "B/s"
    );
    for nodes in [12, 100, 400, 800] {
        let credits = credits(nodes);
        let permits = permits(nodes);
        println!("{nodes:>5} | {} | {}", columns(&credits, nodes), columns(&permits, nodes));
    }
    println!();
}

fn columns<P: Protocol>(world: &World<P>, nodes: usize) -> String {
    let node_seconds = nodes as f64 * END_US as f64 / 1e6;
    let (messages, bytes) = (world.traffic.messages as f64, world.traffic.bytes as f64);
    let by_message = bytes / messages;
    let (messages, bytes) = (messages / node_seconds, bytes / node_seconds);
    format!("{messages:>9.1} {by_message:>9.1} {bytes:>9.0}")
}

/// Simulates eight customers that are active at every node, at 80% of their rates.
fn credits(nodes: usize) -> World<Credits> {
    let workloads: Vec<Workload> = workloads(nodes, 0.8, false);
    let mut world = World::new(
        1,
        Plan::without_faults(nodes, ZONES, END_US),
        Credits::new(nodes, ZONES, workloads),
    );
    world.measure = Some((encoded_size::<CreditRequest>, encoded_size::<CreditReply>));
    world.run();
    world
}

/// Simulates targets with two slots at half of their capacity; every node uses a subset of them.
fn permits(nodes: usize) -> World<Permits> {
    let count = nodes * 35 / 12;
    let users = (nodes * TARGETS_PER_NODE / count).max(1);
    let target = |index: usize| {
        let mut arrivals = vec![0.0; nodes];
        for user in 0..users {
            arrivals[(index * users + user) % nodes] = 10.0 / users as f64;
        }
        Target::new(index, index % ZONES, 2, arrivals)
    };
    let permits = Permits::new((0..count).map(target).collect());
    let mut world = World::new(1, Plan::without_faults(nodes, ZONES, END_US), permits);
    world.measure = Some((encoded_size::<PermitRequest>, encoded_size::<PermitReply>));
    world.run();
    world
}
