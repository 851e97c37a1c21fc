//! Measures the cost of the controller lease: time and size of a message, size of a candidate, load
//! on the nodes of a zone, and time to the next controller after a loss. Prints two tables.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::{Duration, Instant as WallClock};

use support::{InjectedBug, World, established, id};
use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RowVersion, WriteId};
use wagtailmoor_lease::{
    Candidate, ControllerRow, LeaseSettings, Panel, PromiseRequest, RequestId, RequestKind,
    StoredRow,
};

const SECOND_US: u64 = 1_000_000;
const MESSAGES: u64 = 200_000;
const SIZES: [usize; 4] = [12, 100, 400, 800];

fn row() -> StoredRow {
    let panel = Panel {
        generation: Generation::new(1),
        members: ["entry-0001", "entry-0002", "entry-0003"].map(id::<NodeId>).to_vec(),
        tenure_ms: 60_000,
        witnesses: ["region-0-zone-1", "region-0-zone-2", "region-0-zone-3"].map(id).to_vec(),
    };
    let row = ControllerRow { panel, renewals: 1, superseded: Vec::new() };
    StoredRow { row, version: RowVersion::new(1), write: WriteId::new(1) }
}

fn request(number: u64) -> PromiseRequest {
    let generation = Generation::new(1);
    PromiseRequest {
        id: RequestId { incarnation: Incarnation::new(1), number },
        zone: id("region-0-zone-0"),
        from: id("entry-0001"),
        kind: RequestKind::Promise { row: row(), generation, active: generation, tenure: None },
    }
}

/// Returns the time in microseconds to answer a promise request, and of an idle tick.
fn message_us() -> (f64, f64) {
    let start = Instant::default();
    let settings = LeaseSettings::default();
    let mut member = Candidate::new(
        id("entry-0002"),
        id("region-0-zone-0"),
        Incarnation::new(1),
        settings,
        start,
    );
    let start = start + Duration::from_secs(1);
    member.on_row(start, Some(row()));
    let asked = request(1);
    let clock = WallClock::now();
    for number in 0..MESSAGES {
        black_box(member.on_promise_request(start + Duration::from_micros(number * 100), &asked));
    }
    let answer_us = clock.elapsed().as_secs_f64() * 1e6 / MESSAGES as f64;
    let start = start + Duration::from_micros(MESSAGES * 100);
    let clock = WallClock::now();
    for number in 0..MESSAGES {
        black_box(member.tick(start + Duration::from_micros(number)));
    }
    (answer_us, clock.elapsed().as_secs_f64() * 1e6 / MESSAGES as f64)
}

/// Returns the median and the longest time in milliseconds without a controller after a loss.
fn gap_ms(seeds: u64, lose: impl Fn(&mut World, usize)) -> (u64, u64) {
    let mut gaps: Vec<u64> = (0..seeds)
        .map(|seed| {
            let mut world = established(seed, &[5], LeaseSettings::default(), InjectedBug::None);
            world.run_for(seed % 15 * 10_000);
            let lost = world.controllers[0].expect("controller");
            let from_us = world.now_us;
            lose(&mut world, lost);
            let next = world.run_until(from_us + 60 * SECOND_US, |world| {
                world.controllers[0].is_some_and(|controller| controller != lost)
            });
            assert!(next, "seed {seed}: no controller");
            (world.now_us - from_us) / 1_000
        })
        .collect();
    gaps.sort_unstable();
    (gaps[gaps.len() / 2], gaps[gaps.len() - 1])
}

fn main() {
    let (answer_us, tick_us) = message_us();
    let bytes = bincode::serialize(&request(1)).map_or(0, |bytes| bytes.len());
    println!(
        "promise answer {answer_us:.2} us, idle tick {tick_us:.2} us, promise request {bytes} bytes, state {} bytes",
        size_of::<Candidate>()
    );
    println!(
        "{:>6} {:>15} {:>22} {:>19} {:>20}",
        "nodes", "messages/s mean", "messages/s controller", "bytes/s controller", "reads/s (zone)"
    );
    for size in SIZES {
        let in_zone = size / if size <= 12 { 3 } else { 8 };
        let mut world = established(1, &[in_zone], LeaseSettings::default(), InjectedBug::None);
        let controller = world.controllers[0].expect("controller");
        let before = (world.messages, world.reads, world.nodes[controller].sent);
        world.run_for(10 * SECOND_US);
        let mean = (world.messages - before.0) as f64 / 10.0 / in_zone as f64;
        let reads = (world.reads - before.1) as f64 / 10.0;
        let sent = (world.nodes[controller].sent - before.2) as f64 / 10.0;
        // Upper bound: counts every message at the size of the largest.
        println!("{size:>6} {mean:>15.2} {sent:>22.1} {:>19.0} {reads:>20.1}", sent * bytes as f64);
    }
    println!("{:<40} {:>10} {:>10}", "time to the next controller", "median ms", "most ms");
    let report =
        |name: &str, (median, most): (u64, u64)| println!("{name:<40} {median:>10} {most:>10}");
    report("controller lost", gap_ms(200, |world, lost| world.crash(lost, u64::MAX)));
    report(
        "controller lost, store down",
        gap_ms(200, |world, lost| {
            (0..5).for_each(|index| world.store_down(index, u64::MAX));
            world.crash(lost, u64::MAX);
        }),
    );
    report("planned stop", gap_ms(200, World::resign));
}
