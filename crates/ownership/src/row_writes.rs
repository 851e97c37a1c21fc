//! Reads and writes of rows.

use std::time::Duration;

use wagtailmoor_core::{Instant, RowVersion, SegmentId, WriteId};

use crate::back_end::BackEnd;
use crate::rehoming::first_rows;
use crate::row_state::{InFlight, RowState};
use crate::successors::{Successors, best};
use crate::target_table::{TargetIndex, TargetTable};
use crate::turn::{Ids, Turn};
use crate::unit_state::{Recorded, UnitState};
use crate::{Output, ReadRows, RowSource, RowWrite, StoredRow, WriteResult, WriteRows};

/// Rows in one transaction.
const WRITE_ROWS: usize = 64;

/// Interval between reads while a result is unknown.
const READ_EVERY: Duration = Duration::from_millis(200);

/// Interval between reads of rows that another zone has yet to hand over.
const READ_EXPECTED_EVERY: Duration = Duration::from_millis(1_000);

/// Interval between reads of single rows of other zones.
const READ_BACKGROUND_EVERY: Duration = Duration::from_secs(4);

/// A write without any result after this time counts as failed.
const WRITE_LOST_AFTER: Duration = Duration::from_secs(2);

impl BackEnd {
    pub(crate) fn read_rows(&mut self, turn: &Turn<'_>, out: &mut Vec<Output>) {
        let since = self.last_read.map(|last| turn.now.saturating_since(last));
        if since.is_some_and(|since| since < READ_EVERY) {
            return;
        }
        for write in self.rows.iter_mut().filter_map(|row| row.in_flight.as_mut()) {
            if write.failed_at.is_none() && turn.now >= write.sent + WRITE_LOST_AFTER {
                write.failed_at = Some(turn.now);
            }
        }
        let start = since.is_none() || self.rows.iter().any(|row| !row.known);
        let background = self.background_read(turn);
        let segments: Vec<SegmentId> = if start {
            Vec::new()
        } else {
            let slow = since.is_none_or(|since| since >= READ_EXPECTED_EVERY);
            let wanted = self.rows.iter().filter(|row| row.needs_read(turn, self.store_ok, slow));
            wanted.map(|row| row.segment).chain(background).collect()
        };
        if start || !segments.is_empty() {
            self.last_read = Some(turn.now);
            let back_end = self.settings.back_end.clone();
            out.push(Output::ReadRows(ReadRows { back_end, segments }));
        }
    }

    // Finds rows that were handed over without any visible change of the zones.
    fn background_read(&mut self, turn: &Turn<'_>) -> Option<SegmentId> {
        let due = self.last_background.is_none_or(|last| turn.now >= last + READ_BACKGROUND_EVERY);
        let foreign = |row: &&RowState| row.home.as_ref() != Some(turn.zone);
        let foreign: Vec<SegmentId> =
            self.rows.iter().filter(foreign).map(|row| row.segment).collect();
        if !due || foreign.is_empty() {
            return None;
        }
        self.last_background = Some(turn.now);
        let next = foreign.iter().find(|segment| Some(**segment) > self.background_segment);
        self.background_segment = Some(*next.unwrap_or(&foreign[0]));
        self.background_segment
    }

    pub(crate) fn write_rows(&mut self, turn: &Turn<'_>, ids: &mut Ids, out: &mut Vec<Output>) {
        if !self.store_ok {
            return;
        }
        let slots = self.slots(turn.settings);
        let successors = Successors::new(turn, &self.targets);
        let mut first_rows = first_rows(turn, &self.rows, &self.targets);
        let batch_id = ids.write();
        let mut batch = Vec::new();
        let mut alone = Vec::new();
        for row in self.rows.iter_mut().filter(|row| row.known && row.in_flight.is_none()) {
            let first = first_rows.remove(&row.segment).map(|row| (row, false));
            let next = || row.next_write(turn, slots, &self.targets, &successors);
            match first.or_else(next) {
                // An exclusive write may be repeated, so it shares its id with no other row.
                Some((new, true)) => {
                    let write_id = ids.write();
                    alone.push((write_id, row.start_write(turn.now, write_id, new, 0, true)));
                }
                Some((new, false)) if batch.len() < WRITE_ROWS => {
                    batch.push(row.start_write(turn.now, batch_id, new, batch.len(), false));
                }
                Some(_) | None => {}
            }
        }
        if !batch.is_empty() {
            out.push(self.write(turn, batch_id, batch));
        }
        out.extend(alone.into_iter().map(|(id, write)| self.write(turn, id, vec![write])));
    }

    fn write(&self, turn: &Turn<'_>, write_id: WriteId, rows: Vec<RowWrite>) -> Output {
        let back_end = self.settings.back_end.clone();
        let drop_after = turn.authority.until;
        Output::WriteRows(WriteRows { back_end, write_id, rows, drop_after })
    }

    pub(crate) fn on_write_result(&mut self, turn: &Turn<'_>, id: WriteId, result: &WriteResult) {
        let slots = self.slots(turn.settings);
        let versions: &[RowVersion] = match result {
            WriteResult::Done(versions) => versions,
            WriteResult::Conflict | WriteResult::Unknown => &[],
        };
        self.store_ok = *result != WriteResult::Unknown;
        for row in &mut self.rows {
            let Some(write) = row.in_flight.as_mut().filter(|write| write.write_id == id) else {
                continue;
            };
            match versions.get(write.position) {
                Some(version) => row.finish_write(turn, *version, slots, &mut self.targets),
                None => write.failed_at = Some(turn.now),
            }
        }
        if *result != WriteResult::Unknown {
            return;
        }
        self.last_read = None;
    }

    pub(crate) fn on_rows(&mut self, turn: &Turn<'_>, read: &RowsRead<'_>, out: &mut Vec<Output>) {
        if read.source == RowSource::Store {
            self.store_ok = true;
        }
        let fresh = read.source == RowSource::Store && read.asked_at >= turn.authority.start;
        let slots = self.slots(turn.settings);
        let lapse = turn.authority.start + turn.settings.lapse(&self.settings);
        let mut again = Vec::new();
        for row in &mut self.rows {
            let stored = read.rows.iter().find(|stored| stored.row.segment == row.segment);
            if stored.is_none() && !(read.complete && read.source == RowSource::Store) {
                continue;
            }
            again.extend(row.resolve_write(turn, read, stored, slots, &mut self.targets));
            let Some(stored) = stored else {
                row.known = true;
                continue;
            };
            if row.in_flight.is_none() && (stored.version > row.version || !row.known) {
                row.adopt(turn, stored, slots, lapse, &mut self.targets);
            }
            if fresh && stored.version == row.version && stored.row.home != *turn.zone {
                row.seen_elsewhere = true;
            }
        }
        for (write_id, write) in again {
            out.push(self.write(turn, write_id, vec![write]));
        }
    }
}

/// Rows that were read.
pub(crate) struct RowsRead<'a> {
    pub(crate) source: RowSource,
    pub(crate) asked_at: Instant,
    pub(crate) complete: bool,
    pub(crate) rows: &'a [StoredRow],
}

impl RowState {
    fn needs_read(&self, turn: &Turn<'_>, store_ok: bool, slow: bool) -> bool {
        if self.in_flight.as_ref().is_some_and(|write| write.failed_at.is_some()) || !store_ok {
            return true;
        }
        let Some(home) = self.home.as_ref() else { return slow };
        let expected = turn.preferred_home(self.segment) == Some(turn.zone);
        let soon = turn.zones_changed || !turn.is_in_service(home);
        home != turn.zone && if expected { slow || soon } else { slow && turn.zones_changed }
    }

    fn start_write(
        &mut self,
        now: Instant,
        write_id: WriteId,
        row: crate::SegmentRow,
        position: usize,
        exclusive: bool,
    ) -> RowWrite {
        let write = RowWrite { expected: self.version, row: row.clone() };
        self.in_flight =
            Some(InFlight { write_id, position, row, sent: now, failed_at: None, exclusive });
        write
    }

    fn finish_write(
        &mut self,
        turn: &Turn<'_>,
        version: RowVersion,
        slots: u32,
        targets: &mut TargetTable,
    ) {
        let Some(write) = self.in_flight.take() else { return };
        let created = self.version == RowVersion::default();
        self.write_id = write.write_id;
        if let Some(key) = self.split {
            let written = write.row.hot_keys.binary_search_by_key(&key, |hot| hot.key).is_ok();
            self.split = if written { None } else { self.split };
        }
        self.record(version, &write.row, true, turn, slots, targets);
        if created {
            // No grant can have been given under a row that did not exist.
            for (_, unit) in self.units_mut() {
                unit.lapse = unit.lapse.min(turn.now);
                unit.needs_write = false;
            }
        }
        if write.row.home != *turn.zone {
            self.leave(turn);
            self.seen_elsewhere = true;
        }
    }

    fn leave(&mut self, turn: &Turn<'_>) {
        let lapse = turn.now;
        self.units_mut().for_each(|(_, unit)| unit.leave(lapse));
        self.rehome = None;
        self.split = None;
    }

    /// Decides a write from what a later read shows; returns a write that has to be repeated.
    fn resolve_write(
        &mut self,
        turn: &Turn<'_>,
        read: &RowsRead<'_>,
        stored: Option<&StoredRow>,
        slots: u32,
        targets: &mut TargetTable,
    ) -> Option<(WriteId, RowWrite)> {
        if read.source != RowSource::Store {
            return None;
        }
        let write = self.in_flight.as_mut()?;
        if let Some(stored) = stored.filter(|stored| stored.write_id == write.write_id) {
            self.finish_write(turn, stored.version, slots, targets);
            return None;
        }
        if write.failed_at.is_none_or(|failed_at| read.asked_at < failed_at) {
            return None;
        }
        let unchanged = stored.map(|stored| stored.version).unwrap_or_default() <= self.version;
        if unchanged && write.exclusive {
            // The lost write may still take effect, so it is repeated until the version has changed.
            write.failed_at = None;
            write.sent = turn.now;
            let again = RowWrite { expected: self.version, row: write.row.clone() };
            return Some((write.write_id, again));
        }
        self.in_flight = None;
        None
    }

    /// Takes over a row that somebody else wrote.
    fn adopt(
        &mut self,
        turn: &Turn<'_>,
        stored: &StoredRow,
        slots: u32,
        lapse: Instant,
        targets: &mut TargetTable,
    ) {
        let was_local = self.home.as_ref() == Some(turn.zone);
        let is_local = stored.row.home == *turn.zone;
        if is_local && !was_local && self.known {
            self.arrive(turn, lapse);
        }
        self.write_id = stored.write_id;
        self.record(stored.version, &stored.row, false, turn, slots, targets);
        if was_local && !is_local {
            self.leave(turn);
        }
    }

    // The earlier home released every unit before it wrote the row.
    fn arrive(&mut self, turn: &Turn<'_>, lapse: Instant) {
        self.merged.extend(self.hot_keys.keys());
        self.hot_keys.clear();
        let seen_elsewhere = self.seen_elsewhere;
        for (_, unit) in self.units_mut() {
            unit.reset_for_arrival(if seen_elsewhere { turn.now } else { lapse }, !seen_elsewhere);
        }
        self.home = None;
    }

    /// Returns the next content of the row, if it should change, and whether the write is exclusive.
    fn next_write(
        &self,
        turn: &Turn<'_>,
        slots: u32,
        targets: &TargetTable,
        successors: &Successors<'_>,
    ) -> Option<(crate::SegmentRow, bool)> {
        match (&self.home, &self.rehome) {
            (None, _) => None,
            (Some(home), _) if home != turn.zone => None,
            (Some(_), Some(to)) => self.rehomed_row(turn, to, targets).map(|row| (row, true)),
            (Some(_), None) => self.changed_row(turn, slots, targets, successors),
        }
    }

    fn changed_row(
        &self,
        turn: &Turn<'_>,
        slots: u32,
        targets: &TargetTable,
        successors: &Successors<'_>,
    ) -> Option<(crate::SegmentRow, bool)> {
        let merges = self.hot_keys.values().any(|unit| unit.merging && unit.is_free(turn.now));
        let unit_changed = |unit: &UnitState| {
            let desired = unit.desired()?;
            let kept = successors.keeps(desired);
            Some(unit.recorded != Some(desired) || !kept)
        };
        let changed = self.units().any(|(_, unit)| unit_changed(unit).unwrap_or(!unit.merging));
        if !changed && !merges && self.split.is_none() {
            return None;
        }
        let row = self
            .build(turn, slots, targets, |unit, _, desired| successors.complete(unit, desired))?;
        Some((row, merges))
    }
}

impl UnitState {
    fn leave(&mut self, now: Instant) {
        let (published, version, recorded) = (self.published, self.version, self.recorded);
        *self = Self { published, version, recorded, ..Self::unknown(now) };
    }

    fn reset_for_arrival(&mut self, lapse: Instant, needs_write: bool) {
        let (published, version, heat) = (self.published, self.version, self.heat);
        *self = Self { published, version, heat, needs_write, ..Self::unknown(lapse) };
    }

    /// Proposes a new owner at a higher epoch, preferring the targets that the row names.
    pub(crate) fn propose(&mut self, targets: &TargetTable) {
        let Some(recorded) = self.recorded else { return };
        let named = [self.move_to, Some(recorded.owner), recorded.successor];
        let usable = |target: &TargetIndex| targets.at(*target).is_usable();
        let named = named.into_iter().flatten().find(usable);
        let any = || {
            let hash = u64::from(recorded.owner) << 32 ^ recorded.epoch.get();
            best(targets, hash, |entry| entry.is_usable())
        };
        let Some(owner) = named.or_else(any) else { return };
        let successor = recorded.successor.filter(|target| *target != owner);
        self.proposed = Some(Recorded { owner, successor, epoch: self.next_epoch() });
    }
}
