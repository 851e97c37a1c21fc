//! Operation without failures: the units of an empty table are placed, granted, renewed and
//! published.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{
    BackEndId, Generation, Incarnation, Instant, KeyHash, RowVersion, Weight, ZoneId,
};
use wagtailmoor_ownership::{
    Authority, BackEndSettings, Controller, Fencing, GrantReply, HeldReply, Input, Output,
    OwnershipSettings, Route, RouteTable, RowSource, StoredRow, Target, TargetClock, TargetState,
    WriteResult, ZoneState,
};

fn zone() -> ZoneId {
    "a".parse().expect("a valid id")
}

fn back_end() -> BackEndId {
    "feed".parse().expect("a valid id")
}

fn targets(count: u32) -> Vec<Target> {
    let target = |number| Target {
        target: format!("server-{number}").parse().expect("a valid id"),
        zone: zone(),
        capacity: Weight::new(1),
        state: TargetState::Live,
    };
    (0..count).map(target).collect()
}

/// A controller with targets and a table that reply immediately.
struct Harness {
    controller: Controller,
    rows: Vec<StoredRow>,
    now: Instant,
    grants: usize,
    writes: usize,
}

impl Harness {
    fn start() -> Self {
        let random = ChaCha8Rng::seed_from_u64(1);
        let controller = Controller::new(zone(), OwnershipSettings::default(), random);
        let mut this =
            Self { controller, rows: Vec::new(), now: Instant::from_us(1), grants: 0, writes: 0 };
        let zones = vec![ZoneState { zone: zone(), in_service: true, weight: Weight::new(1) }];
        this.handle(Input::BackEnds(vec![BackEndSettings::new(back_end(), Fencing::Grants)]));
        this.handle(Input::Zones(zones));
        this.handle(Input::Targets { back_end: back_end(), targets: targets(15) });
        this
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + Duration::from_millis(50);
            let until = self.now + Duration::from_millis(500);
            let authority = Authority { generation: Generation::new(1), until };
            self.handle(Input::Authority(Some(authority)));
            self.handle(Input::Tick);
        }
    }

    fn handle(&mut self, input: Input) {
        for output in self.controller.handle(self.now, input) {
            if let Some(reply) = self.reply(output) {
                self.handle(reply);
            }
        }
    }

    fn reply(&mut self, output: Output) -> Option<Input> {
        let reading_us = self.now.as_us();
        let clock = Some(TargetClock { incarnation: Incarnation::new(1), reading_us });
        match output {
            Output::QueryHeld(query) => Some(Input::HeldReply(HeldReply {
                target: query.target,
                back_end: query.back_end,
                query_id: query.query_id,
                held: Vec::new(),
                split_keys: Vec::new(),
                clock,
            })),
            Output::Grant(grant) => {
                self.grants += 1;
                Some(Input::GrantReply(GrantReply {
                    target: grant.target,
                    back_end: grant.back_end,
                    grant_id: grant.grant_id,
                    refused: Vec::new(),
                    newer_generation: None,
                    expired: false,
                    unknown: false,
                    clock,
                }))
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
                let version = RowVersion::new(self.writes as u64);
                let result = WriteResult::Done(vec![version; write.rows.len()]);
                let write_id = write.write_id;
                let stored = |row| StoredRow { version, write_id, row };
                self.rows
                    .retain(|old| write.rows.iter().all(|new| new.row.segment != old.row.segment));
                self.rows.extend(write.rows.into_iter().map(|write| stored(write.row)));
                Some(Input::WriteResult { back_end: write.back_end, write_id, result })
            }
            Output::Revoke(_) => None,
        }
    }
}

/// Guards against a key without an owner after the first placement.
#[test]
fn an_empty_table_is_placed_granted_and_published() {
    let mut system = Harness::start();
    system.run(40);
    let mut table = RouteTable::new();
    let pull = table.pull(&zone());
    let update = system.controller.routes(system.now, &pull).expect("an active controller");
    assert!(table.merge(system.now, &update));
    let owned = |key: u64| {
        let route = table.lookup(system.now, &back_end(), KeyHash::new(key));
        matches!(route, Route::Owner { .. })
    };
    assert!((0..4_096).all(owned), "every slot has an owner");
    assert_eq!(system.writes, 1, "64 rows fit in one write");
}

/// Guards against leases that end because renewals stop, and against route updates without a
/// change.
#[test]
fn grants_are_renewed_every_200_ms_and_routes_stay_unchanged() {
    let mut system = Harness::start();
    system.run(40);
    let mut table = RouteTable::new();
    let update = system.controller.routes(system.now, &table.pull(&zone())).expect("active");
    table.merge(system.now, &update);
    let before = system.grants;
    system.run(40);
    assert_eq!(system.grants - before, 15 * 10, "each target is renewed five times a second");
    let update = system.controller.routes(system.now, &table.pull(&zone())).expect("active");
    assert!(!update.full && update.back_ends.is_empty(), "nothing changed");
}
