//! Rate of table writes for attempt records.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_dispatch::{
    CallId, ClaimId, RecordKeeper, RecordKey, RecordOutput, RecordSettings, RecordState,
    TimeBucket, WriteResult,
};

const RUN_SECONDS: u64 = 10;
const TABLE_LATENCY: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(20);

enum Event {
    Request(u64),
    Written(CallId, usize),
    Finished(RecordKey, ClaimId),
    Tick,
}

struct Run {
    keeper: RecordKeeper<ChaCha8Rng>,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    timer: Option<Instant>,
    started: BTreeMap<ClaimId, Instant>,
    waits_us: Vec<u64>,
    writes: u64,
    rows: u64,
    refused: u64,
}

/// Prints the table writes of one node at several rates of non-idempotent requests.
pub(crate) fn print() {
    println!("Attempt records of one node (table answers in 5 ms, requests take 20 ms), simulated");
    println!("requests/s  writes/s  rows/write  claim wait p50 ms  p99 ms  refused");
    for rate_per_s in [1.0, 10.0, 50.0, 200.0, 600.0, 900.0, 2000.0] {
        let run = Run::new().run(rate_per_s);
        let wait_ms = |share: f64| {
            let index = (run.waits_us.len() as f64 * share) as usize;
            run.waits_us[index.min(run.waits_us.len() - 1)] as f64 / 1000.0
        };
        println!(
            "{:10.0} {:9.1} {:11.1} {:18.1} {:7.1} {:8}",
            rate_per_s,
            run.writes as f64 / RUN_SECONDS as f64,
            run.rows as f64 / run.writes as f64,
            wait_ms(0.5),
            wait_ms(0.99),
            run.refused,
        );
    }
    println!();
}

impl Run {
    fn new() -> Self {
        let random = ChaCha8Rng::seed_from_u64(1);
        let node = "n1".parse().expect("valid id");
        Self {
            keeper: RecordKeeper::new(node, RecordSettings::default(), random),
            now: Instant::from_us(1_000_000),
            queue: BTreeMap::new(),
            sequence: 0,
            timer: None,
            started: BTreeMap::new(),
            waits_us: Vec::new(),
            writes: 0,
            rows: 0,
            refused: 0,
        }
    }

    fn run(mut self, rate_per_s: f64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let mut wait = Duration::ZERO;
        let mut number = 0;
        while wait < Duration::from_secs(RUN_SECONDS) {
            self.at(wait, Event::Request(number));
            let uniform: f64 = random.random();
            wait += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate_per_s);
            number += 1;
        }
        let end = self.now + Duration::from_secs(RUN_SECONDS);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.waits_us.sort_unstable();
        self
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), event);
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        let out = match event {
            Event::Request(number) => {
                let customer = "c1".parse().expect("valid id");
                let key = RecordKey::of(&customer, &number.to_le_bytes());
                let deadline = now + Duration::from_secs(1);
                let (claim, out) = self.keeper.claim(now, key, deadline, TimeBucket::new(1));
                self.started.insert(claim, now);
                out
            }
            Event::Written(call, rows) => {
                let versions = vec![RowVersion::new(1); rows];
                self.keeper.on_write(now, call, WriteResult::Done { versions })
            }
            Event::Finished(key, claim) => {
                self.keeper.finish(now, &key, claim, RecordState::Answered { status: 200 })
            }
            Event::Tick => {
                self.timer = None;
                self.keeper.tick(now)
            }
        };
        out.into_iter().for_each(|output| self.output(output));
        let next = self.keeper.next_timer();
        if let Some(at) = next.filter(|at| self.timer.is_none_or(|set| *at < set)) {
            self.timer = Some(at);
            self.at(at.saturating_since(now).max(Duration::from_micros(1)), Event::Tick);
        }
    }

    fn output(&mut self, output: RecordOutput) {
        match output {
            RecordOutput::Write { call, rows, .. } => {
                self.writes += 1;
                self.rows += rows.len() as u64;
                self.at(TABLE_LATENCY, Event::Written(call, rows.len()));
            }
            RecordOutput::Read { .. } => {}
            RecordOutput::Claimed { claim, key } => {
                let started = self.started.remove(&claim).unwrap_or(self.now);
                self.waits_us.push(self.now.saturating_since(started).as_micros() as u64);
                self.at(SERVICE_TIME, Event::Finished(key, claim));
            }
            RecordOutput::Refused { .. } => self.refused += 1,
        }
    }
}
