//! A target that implements docs/interfaces.md, with its own clock.

use std::collections::BTreeMap;

use wagtailmoor_core::{Epoch, Generation, Incarnation, KeyHash};
use wagtailmoor_ownership::{
    Grant, GrantReply, HeldReply, HeldUnit, QueryHeld, Revoke, Target, TargetClock, Unit,
};

/// A clock with an arbitrary offset, which runs up to 0.5% fast or slow by default.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DriftingClock {
    pub(crate) offset_us: u64,
    pub(crate) rate_ppm: i64,
}

impl DriftingClock {
    pub(crate) fn read(&self, now_us: u64) -> u64 {
        let rate = u128::try_from(1_000_000 + self.rate_ppm).expect("a positive rate");
        let elapsed = u128::from(now_us) * rate / 1_000_000;
        self.offset_us + u64::try_from(elapsed).expect("a simulated instant")
    }

    /// Returns the simulated time at which this clock shows a reading, rounded up.
    pub(crate) fn time_of_reading(&self, reading_us: u64) -> u64 {
        let elapsed = u128::from(reading_us.saturating_sub(self.offset_us)) * 1_000_000;
        let rate = u128::try_from(1_000_000 + self.rate_ppm).expect("a positive rate");
        u64::try_from(elapsed.div_ceil(rate)).expect("a simulated instant") + 1
    }
}

/// Injected faults of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetFaults {
    /// Accepts grants of every epoch.
    pub(crate) accepts_older_epochs: bool,
    /// Keeps serving for this long after the end of a lease, ms.
    pub(crate) lease_overrun_ms: u64,
    /// Starts a full lease when a grant is received, however old the grant is.
    pub(crate) ignores_expiry: bool,
}

#[derive(Clone, Debug)]
struct UnitRecord {
    split_keys: Vec<KeyHash>,
    highest: Epoch,
    revoked: bool,
    serving: Option<Serving>,
}

impl UnitRecord {
    fn new(highest: Epoch, revoked: bool) -> Self {
        Self { split_keys: Vec::new(), highest, revoked, serving: None }
    }
}

#[derive(Clone, Copy, Debug)]
struct Serving {
    epoch: Epoch,
    end_reading_us: u64,
}

/// A unit that a target accepted and serves until `end_us`, in simulated time.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    pub(crate) unit: Unit,
    pub(crate) epoch: Epoch,
    pub(crate) end_us: u64,
    pub(crate) split_keys: Vec<KeyHash>,
}

#[derive(Clone, Debug)]
pub(crate) struct FakeTarget {
    pub(crate) target: Target,
    pub(crate) clock: DriftingClock,
    pub(crate) up: bool,
    pub(crate) frozen_until_us: u64,
    pub(crate) faults: TargetFaults,
    incarnation: u64,
    generation: Generation,
    records: BTreeMap<Unit, UnitRecord>,
    complete: Option<Grant>,
}

impl FakeTarget {
    pub(crate) fn new(target: Target, clock: DriftingClock, faults: TargetFaults) -> Self {
        Self {
            target,
            clock,
            up: true,
            frozen_until_us: 0,
            faults,
            incarnation: 1,
            generation: Generation::default(),
            records: BTreeMap::new(),
            complete: None,
        }
    }

    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.incarnation += 1;
        self.generation = Generation::default();
        self.records.clear();
        self.complete = None;
    }

    fn clock_at(&self, now_us: u64) -> Option<TargetClock> {
        let incarnation = Incarnation::new(self.incarnation);
        Some(TargetClock { incarnation, reading_us: self.clock.read(now_us) })
    }

    pub(crate) fn on_grant(&mut self, now_us: u64, grant: &Grant) -> (GrantReply, Vec<Accepted>) {
        let reading = self.clock.read(now_us);
        let mut reply = GrantReply {
            target: grant.target.clone(),
            back_end: grant.back_end.clone(),
            grant_id: grant.grant_id,
            refused: Vec::new(),
            newer_generation: None,
            expired: false,
            unknown: false,
            clock: self.clock_at(now_us),
        };
        let full = reading + grant.lease_ms * 1_000;
        let end = match grant.expires_at.filter(|_| !self.faults.ignores_expiry) {
            Some(end) if end.incarnation.get() != self.incarnation => 0,
            Some(end) => end.reading_us.min(full),
            None => full,
        };
        if end <= reading {
            reply.expired = true;
            return (reply, Vec::new());
        }
        if grant.generation < self.generation {
            reply.newer_generation = Some(self.generation);
            return (reply, Vec::new());
        }
        self.generation = grant.generation;
        let known = self.complete.as_ref().filter(|it| Some(it.grant_id) == grant.renews);
        let effective = match (grant.renews, known) {
            (Some(_), None) => {
                reply.unknown = true;
                return (reply, Vec::new());
            }
            (_, known) => known.unwrap_or(grant).clone(),
        };
        if grant.complete {
            self.complete = Some(grant.clone());
        }
        let end = end + self.faults.lease_overrun_ms * 1_000;
        let mut accepted = Vec::new();
        let end_us = self.clock.time_of_reading(end);
        for (unit, epoch) in &effective.units {
            match self.accept(*unit, *epoch, end) {
                Ok(record) => {
                    record.split_keys = effective.split_keys.clone();
                    let split_keys = effective.split_keys.clone();
                    accepted.push(Accepted { unit: *unit, epoch: *epoch, end_us, split_keys });
                }
                Err(highest) => reply.refused.push((*unit, highest)),
            }
        }
        (reply, accepted)
    }

    fn accept(
        &mut self,
        unit: Unit,
        epoch: Epoch,
        end_reading_us: u64,
    ) -> Result<&mut UnitRecord, Epoch> {
        let new_record = UnitRecord::new(epoch, false);
        let record = self.records.entry(unit).or_insert(new_record);
        let older = epoch < record.highest || (epoch == record.highest && record.revoked);
        if older && !self.faults.accepts_older_epochs {
            return Err(record.highest);
        }
        record.revoked &= epoch <= record.highest;
        record.highest = record.highest.max(epoch);
        record.serving = Some(Serving { epoch, end_reading_us });
        Ok(record)
    }

    pub(crate) fn on_revoke(&mut self, revoke: &Revoke) {
        for (unit, epoch) in &revoke.units {
            let new_record = UnitRecord::new(*epoch, true);
            let record = self.records.entry(*unit).or_insert(new_record);
            if *epoch >= record.highest {
                record.highest = *epoch;
                record.revoked = true;
                record.serving = None;
            }
        }
    }

    pub(crate) fn on_query(&self, now_us: u64, query: &QueryHeld) -> HeldReply {
        let reading = self.clock.read(now_us);
        let held = |(unit, record): (&Unit, &UnitRecord)| {
            let remaining =
                |serving: Serving| serving.end_reading_us.saturating_sub(reading) / 1_000;
            let remaining_ms = record.serving.map_or(0, remaining);
            HeldUnit { unit: *unit, epoch: record.highest, remaining_ms }
        };
        let serving = self.records.values().filter(|record| record.serving.is_some());
        let mut split_keys: Vec<KeyHash> =
            serving.flat_map(|record| record.split_keys.iter().copied()).collect();
        split_keys.sort_unstable();
        split_keys.dedup();
        HeldReply {
            target: query.target.clone(),
            back_end: query.back_end.clone(),
            query_id: query.query_id,
            held: self.records.iter().map(held).collect(),
            split_keys,
            clock: self.clock_at(now_us),
        }
    }

    /// Returns whether the target would execute a request sent for a unit at an epoch.
    pub(crate) fn serves(&self, now_us: u64, unit: Unit, epoch: Epoch) -> bool {
        let reading = self.clock.read(now_us);
        let record = self.records.get(&unit).and_then(|record| record.serving);
        let ready = self.up && now_us >= self.frozen_until_us;
        ready && record.is_some_and(|it| it.epoch == epoch && it.end_reading_us > reading)
    }

    /// Returns whether the target would execute a request for any unit.
    pub(crate) fn serves_anything(&self, now_us: u64) -> bool {
        let reading = self.clock.read(now_us);
        let mut serving = self.records.values().filter_map(|record| record.serving);
        self.up && serving.any(|serving| serving.end_reading_us > reading)
    }

    /// Returns whether a hot-key record of the target excludes a key from a slot grant of an epoch.
    pub(crate) fn excludes(&self, key: KeyHash, slot_epoch: Epoch) -> bool {
        self.records.get(&Unit::HotKey(key)).is_some_and(|record| record.highest >= slot_epoch)
    }
}
