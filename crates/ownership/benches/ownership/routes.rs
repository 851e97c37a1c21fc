//! Cost of a route lookup and size of route updates.

use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant as WallInstant};

use bincode::Options;
use wagtailmoor_core::KeyHash;
use wagtailmoor_ownership::{Route, RouteTable};

use crate::cost::{Harness, back_end, zone};
use crate::table;

const LOOKUPS: u64 = 2_000_000;

pub(crate) fn print() {
    print_bytes();
    print_lookups();
}

fn pull(system: &mut Harness, table: &mut RouteTable) -> u64 {
    let now = system.now;
    let request = table.pull(&zone());
    let update = system.controller.routes(now, &request).expect("an active controller");
    table.merge(now, &update);
    let update_size = bincode::DefaultOptions::new().serialized_size(&update).expect("a size");
    let pull_size = bincode::DefaultOptions::new().serialized_size(&request).expect("a size");
    update_size + pull_size
}

fn print_bytes() {
    let mut rows = Vec::new();
    for targets in [15, 20, 200, 600] {
        let mut system = Harness::start(targets, false);
        system.run(Duration::from_secs(8));
        let mut table = RouteTable::new();
        let full = pull(&mut system, &mut table);
        let steady: u64 = (0..40).map(|_| next_pull(&mut system, &mut table)).sum();
        system.lost = Some("server-0".to_owned());
        let lost: u64 = (0..8).map(|_| next_pull(&mut system, &mut table)).sum();
        rows.push(vec![
            targets.to_string(),
            full.to_string(),
            (steady / 10).to_string(),
            (lost / 2).to_string(),
        ]);
    }
    let head = ["targets", "full update", "steady bytes/s", "bytes/s in 2 s after a loss"];
    table::print("Bytes of route pulls and updates, one puller, one zone, 4 pulls/s", &head, &rows);
}

fn next_pull(system: &mut Harness, table: &mut RouteTable) -> u64 {
    system.run(Duration::from_millis(250));
    pull(system, table)
}

fn print_lookups() {
    let mut system = Harness::start(15, false);
    system.run(Duration::from_secs(5));
    let mut routes = RouteTable::new();
    pull(&mut system, &mut routes);
    let now = system.now;
    let id = back_end();
    let table_ns = time(|key| matches!(routes.lookup(now, &id, key), Route::Owner { .. }));
    let hash_map: HashMap<u64, String> =
        (0..4_096).map(|slot| (slot, format!("server-{}", slot % 15))).collect();
    let map_ns = time(|key| hash_map.contains_key(&(key.get() % 4_096)));
    let row = |name: &str, ns: f64| {
        vec![name.to_owned(), format!("{ns:.1}"), format!("{:.2}", ns / map_ns)]
    };
    let head = ["lookup", "ns", "against the map"];
    table::print(
        "Cost of a lookup",
        &head,
        &[row("route table", table_ns), row("hash map of slots", map_ns)],
    );
}

fn time(lookup: impl Fn(KeyHash) -> bool) -> f64 {
    let start = WallInstant::now();
    let mut found = 0_u64;
    for key in 0..LOOKUPS {
        found +=
            u64::from(lookup(black_box(KeyHash::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)))));
    }
    assert_eq!(found, LOOKUPS, "every key has an owner");
    start.elapsed().as_nanos() as f64 / LOOKUPS as f64
}
