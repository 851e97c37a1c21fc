//! Cost of a controller: time, bytes, store writes and memory.

use std::time::{Duration, Instant as WallInstant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{BackEndId, Generation, Incarnation, Instant, RowVersion, Weight, ZoneId};
use wagtailmoor_ownership::{
    Authority, BackEndSettings, Controller, Fencing, GrantReply, HeldReply, Input, Output,
    OwnershipSettings, RowSource, StoredRow, Target, TargetClock, TargetState, WriteResult,
    ZoneState,
};

use crate::table;

const TICK: Duration = Duration::from_millis(20);
const SECONDS: u32 = 10;

pub(crate) fn back_end() -> BackEndId {
    "feed".parse().expect("a valid id")
}

pub(crate) fn zone() -> ZoneId {
    "a".parse().expect("a valid id")
}

pub(crate) fn print() {
    let mut rows = Vec::new();
    for targets in [5, 15, 20, 200, 600] {
        rows.push(measure(targets, "steady", false));
        rows.push(measure(targets, "by reference", true));
        rows.push(measure(targets, "target lost", false));
    }
    let head = [
        "targets",
        "state",
        "us per s",
        "core %",
        "bytes out per s",
        "messages per s",
        "store writes per s",
        "row bytes per write",
    ];
    table::print("Cost of a controller of 4,096 slots, ticks of 20 ms", &head, &rows);
    print_memory();
}

/// A controller with targets and a table that reply immediately.
pub(crate) struct Harness {
    pub(crate) controller: Controller,
    pub(crate) now: Instant,
    pub(crate) lost: Option<String>,
    rows: Vec<StoredRow>,
    bytes: usize,
    messages: usize,
    writes: usize,
    row_bytes: usize,
    busy: Duration,
}

impl Harness {
    pub(crate) fn start(targets: usize, by_reference: bool) -> Self {
        let random = ChaCha8Rng::seed_from_u64(1);
        let settings =
            OwnershipSettings { renew_by_reference: by_reference, ..OwnershipSettings::default() };
        let controller = Controller::new(zone(), settings, random);
        let mut this = Self {
            controller,
            now: Instant::from_us(1),
            lost: None,
            rows: Vec::new(),
            bytes: 0,
            messages: 0,
            writes: 0,
            row_bytes: 0,
            busy: Duration::ZERO,
        };
        let zones = vec![ZoneState { zone: zone(), in_service: true, weight: Weight::new(1) }];
        let target = |number| Target {
            target: format!("server-{number}").parse().expect("a valid id"),
            zone: zone(),
            capacity: Weight::new(1),
            state: TargetState::Live,
        };
        let targets = (0..targets).map(target).collect();
        this.handle(Input::BackEnds(vec![BackEndSettings::new(back_end(), Fencing::Grants)]));
        this.handle(Input::Zones(zones));
        this.handle(Input::Targets { back_end: back_end(), targets });
        this
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            let until = self.now + Duration::from_millis(500);
            let authority = Authority { generation: Generation::new(1), until };
            self.handle(Input::Authority(Some(authority)));
            self.handle(Input::Tick);
        }
    }

    fn handle(&mut self, input: Input) {
        let start = WallInstant::now();
        let outputs = self.controller.handle(self.now, input);
        self.busy += start.elapsed();
        for output in outputs {
            if let Some(reply) = self.reply(output) {
                self.handle(reply);
            }
        }
    }

    fn count(&mut self, units: usize) {
        // A slot with its epoch takes about 8 bytes in JSON; the other fields and the message
        // head take about 300 bytes.
        self.bytes += 300 + 8 * units;
        self.messages += 1;
    }

    fn reply(&mut self, output: Output) -> Option<Input> {
        let reading_us = self.now.as_us();
        let clock = Some(TargetClock { incarnation: Incarnation::new(1), reading_us });
        let lost = |id: &str| self.lost.as_deref() == Some(id);
        match output {
            Output::QueryHeld(query) => {
                let is_lost = lost(query.target.as_str());
                self.count(0);
                (!is_lost).then(|| {
                    Input::HeldReply(HeldReply {
                        target: query.target,
                        back_end: query.back_end,
                        query_id: query.query_id,
                        held: Vec::new(),
                        split_keys: Vec::new(),
                        clock,
                    })
                })
            }
            Output::Grant(grant) => {
                let is_lost = lost(grant.target.as_str());
                self.count(grant.units.len());
                (!is_lost).then(|| {
                    Input::GrantReply(GrantReply {
                        target: grant.target,
                        back_end: grant.back_end,
                        grant_id: grant.grant_id,
                        refused: Vec::new(),
                        newer_generation: None,
                        expired: false,
                        unknown: false,
                        clock,
                    })
                })
            }
            Output::Revoke(revoke) => {
                self.count(revoke.units.len());
                Some(Input::RevokeReply {
                    back_end: revoke.back_end,
                    target: revoke.target,
                    grant_id: revoke.grant_id,
                })
            }
            Output::ReadRows(_) => Some(Input::Rows {
                back_end: back_end(),
                source: RowSource::Store,
                requested_at: self.now,
                complete: true,
                rows: self.rows.clone(),
            }),
            Output::WriteRows(write) => {
                self.writes += 1;
                let mut versions = Vec::new();
                for each in write.rows {
                    let json = serde_json::to_string(&each.row).expect("a row");
                    self.row_bytes += json.len();
                    let version = RowVersion::new(each.expected.get() + 1);
                    versions.push(version);
                    self.rows.retain(|old| old.row.segment != each.row.segment);
                    let write_id = write.write_id;
                    self.rows.push(StoredRow { version, write_id, row: each.row });
                }
                let result = WriteResult::Done(versions);
                Some(Input::WriteResult {
                    back_end: write.back_end,
                    write_id: write.write_id,
                    result,
                })
            }
        }
    }
}

fn measure(targets: usize, state: &str, by_reference: bool) -> Vec<String> {
    let mut system = Harness::start(targets, by_reference);
    system.run(Duration::from_secs(8));
    (system.bytes, system.messages, system.writes, system.row_bytes) = (0, 0, 0, 0);
    system.busy = Duration::ZERO;
    if state == "target lost" {
        system.lost = Some("server-0".to_owned());
    }
    system.run(Duration::from_secs(u64::from(SECONDS)));
    let per_second = |count: usize| count / SECONDS as usize;
    let busy_us = system.busy.as_micros() as usize / SECONDS as usize;
    vec![
        targets.to_string(),
        state.to_owned(),
        busy_us.to_string(),
        format!("{:.2}", busy_us as f64 / 10_000.0),
        per_second(system.bytes).to_string(),
        per_second(system.messages).to_string(),
        format!("{:.2}", system.writes as f64 / f64::from(SECONDS)),
        (system.row_bytes / system.writes.max(1)).to_string(),
    ]
}

// Measures the resident memory of many clones of a controller, because safe code cannot read the
// size of its heap.
fn print_memory() {
    const COPIES: usize = 40;
    let mut rows = Vec::new();
    for targets in [15, 200] {
        let mut system = Harness::start(targets, false);
        system.run(Duration::from_secs(3));
        let before = resident_bytes();
        let copies: Vec<Controller> = (0..COPIES).map(|_| system.controller.clone()).collect();
        let used = (resident_bytes() - before) / copies.len();
        rows.push(vec![
            targets.to_string(),
            used.to_string(),
            (used / 4_096).to_string(),
            (used / targets).to_string(),
        ]);
    }
    let head = ["targets", "bytes", "bytes per slot", "bytes per target"];
    table::print("State of a controller of 4,096 slots", &head, &rows);
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}
