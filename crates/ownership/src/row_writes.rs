//! Reads and writes of segment rows.

use std::time::Duration;

use wagtailmoor_core::{Instant, RowVersion, SegmentId, WriteId};

use crate::back_end::BackEnd;
use crate::context::{Context, Ids};
use crate::rehoming::initial_rows;
use crate::row_state::{InFlight, RowState};
use crate::successors::{Successors, best};
use crate::target_table::{TargetIndex, TargetTable};
use crate::unit_state::{IndexedAssignment, UnitState};
use crate::{Output, ReadRows, RowSource, RowWrite, StoredRow, WriteResult, WriteRows};

/// Maximum number of rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 64;

/// Minimum interval between reads. Reads repeat at this interval while a row is not known, a failed
/// write is unresolved, the store is unavailable, or a change of the zones is about to move a row
/// to this zone.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between reads of rows that another zone is expected to move to this zone, of rows that
/// do not exist yet and, after a change of the zones, of all rows of other zones.
const EXPECTED_ROW_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between background reads, each of one row whose home is not this zone.
const BACKGROUND_READ_INTERVAL: Duration = Duration::from_secs(4);

/// A write without a result after this time counts as failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

impl BackEnd {
    pub(crate) fn read_rows(&mut self, context: &Context<'_>, out: &mut Vec<Output>) {
        let elapsed = self.last_read.map(|last| context.now.saturating_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < READ_INTERVAL) {
            return;
        }
        for write in self.rows.iter_mut().filter_map(|row| row.in_flight.as_mut()) {
            if write.failed_at.is_none() && context.now >= write.sent + WRITE_TIMEOUT {
                write.failed_at = Some(context.now);
            }
        }
        let read_all = elapsed.is_none() || self.rows.iter().any(|row| !row.known);
        let background = self.background_read(context);
        let segments: Vec<SegmentId> = if read_all {
            Vec::new()
        } else {
            let slow_read_due = elapsed.is_none_or(|elapsed| elapsed >= EXPECTED_ROW_READ_INTERVAL);
            let wanted = self
                .rows
                .iter()
                .filter(|row| row.needs_read(context, self.store_available, slow_read_due));
            wanted.map(|row| row.segment).chain(background).collect()
        };
        if read_all || !segments.is_empty() {
            self.last_read = Some(context.now);
            let back_end = self.settings.back_end.clone();
            out.push(Output::ReadRows(ReadRows { back_end, segments }));
        }
    }

    // Finds rows that another controller moved to this zone although this node saw no change of
    // the zones.
    fn background_read(&mut self, context: &Context<'_>) -> Option<SegmentId> {
        let due = self
            .last_background_read
            .is_none_or(|last| context.now >= last + BACKGROUND_READ_INTERVAL);
        let foreign = |row: &&RowState| row.home.as_ref() != Some(context.zone);
        let foreign: Vec<SegmentId> =
            self.rows.iter().filter(foreign).map(|row| row.segment).collect();
        if !due || foreign.is_empty() {
            return None;
        }
        self.last_background_read = Some(context.now);
        let next = foreign.iter().find(|segment| Some(**segment) > self.last_background_segment);
        self.last_background_segment = Some(*next.unwrap_or(&foreign[0]));
        self.last_background_segment
    }

    pub(crate) fn write_rows(
        &mut self,
        context: &Context<'_>,
        ids: &mut Ids,
        out: &mut Vec<Output>,
    ) {
        if !self.store_available {
            return;
        }
        let slots = self.slots(context.settings);
        let successors = Successors::new(context, &self.targets);
        let mut initial_rows = initial_rows(context, &self.rows, &self.targets);
        let batch_id = ids.write();
        let mut batch = Vec::new();
        let mut exclusive = Vec::new();
        for row in self.rows.iter_mut().filter(|row| row.known && row.in_flight.is_none()) {
            let initial = initial_rows.remove(&row.segment).map(|row| (row, false));
            let change = || row.next_write(context, slots, &self.targets, &successors);
            match initial.or_else(change) {
                // An exclusive write may be repeated, so its id is used for no other row.
                Some((new, true)) => {
                    let write_id = ids.write();
                    exclusive
                        .push((write_id, row.start_write(context.now, write_id, new, 0, true)));
                }
                Some((new, false)) if batch.len() < MAX_ROWS_PER_WRITE => {
                    batch.push(row.start_write(context.now, batch_id, new, batch.len(), false));
                }
                Some(_) | None => {}
            }
        }
        if !batch.is_empty() {
            out.push(self.write_output(context, batch_id, batch));
        }
        out.extend(
            exclusive.into_iter().map(|(id, write)| self.write_output(context, id, vec![write])),
        );
    }

    fn write_output(
        &self,
        context: &Context<'_>,
        write_id: WriteId,
        rows: Vec<RowWrite>,
    ) -> Output {
        let back_end = self.settings.back_end.clone();
        let drop_after = context.authority.until;
        Output::WriteRows(WriteRows { back_end, write_id, rows, drop_after })
    }

    pub(crate) fn on_write_result(
        &mut self,
        context: &Context<'_>,
        id: WriteId,
        result: &WriteResult,
    ) {
        let slots = self.slots(context.settings);
        let versions: &[RowVersion] = match result {
            WriteResult::Done(versions) => versions,
            WriteResult::Conflict | WriteResult::Unknown => &[],
        };
        self.store_available = *result != WriteResult::Unknown;
        for row in &mut self.rows {
            let Some(write) = row.in_flight.as_mut().filter(|write| write.write_id == id) else {
                continue;
            };
            match versions.get(write.position) {
                Some(version) => row.finish_write(context, *version, slots, &mut self.targets),
                None => write.failed_at = Some(context.now),
            }
        }
        if *result != WriteResult::Unknown {
            return;
        }
        self.last_read = None;
    }

    pub(crate) fn on_rows(
        &mut self,
        context: &Context<'_>,
        read: &RowsRead<'_>,
        out: &mut Vec<Output>,
    ) {
        if read.source == RowSource::Store {
            self.store_available = true;
        }
        let current =
            read.source == RowSource::Store && read.requested_at >= context.authority.start;
        let slots = self.slots(context.settings);
        let lapse = context.authority.start + context.settings.lapse(&self.settings);
        let mut retries = Vec::new();
        for row in &mut self.rows {
            let stored = read.rows.iter().find(|stored| stored.row.segment == row.segment);
            if stored.is_none() && !(read.complete && read.source == RowSource::Store) {
                continue;
            }
            retries.extend(row.resolve_write(context, read, stored, slots, &mut self.targets));
            let Some(stored) = stored else {
                row.known = true;
                continue;
            };
            if row.in_flight.is_none() && (stored.version > row.version || !row.known) {
                row.apply_foreign_row(context, stored, slots, lapse, &mut self.targets);
            }
            if current && stored.version == row.version && stored.row.home != *context.zone {
                row.seen_in_other_zone = true;
            }
        }
        for (write_id, write) in retries {
            out.push(self.write_output(context, write_id, vec![write]));
        }
    }
}

/// A completed read of rows.
pub(crate) struct RowsRead<'a> {
    pub(crate) source: RowSource,
    pub(crate) requested_at: Instant,
    pub(crate) complete: bool,
    pub(crate) rows: &'a [StoredRow],
}

impl RowState {
    fn needs_read(
        &self,
        context: &Context<'_>,
        store_available: bool,
        slow_read_due: bool,
    ) -> bool {
        if self.in_flight.as_ref().is_some_and(|write| write.failed_at.is_some())
            || !store_available
        {
            return true;
        }
        let Some(home) = self.home.as_ref() else { return slow_read_due };
        let expected = context.preferred_home(self.segment) == Some(context.zone);
        let soon = context.zones_changed || !context.is_in_service(home);
        home != context.zone
            && if expected { slow_read_due || soon } else { slow_read_due && context.zones_changed }
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
        context: &Context<'_>,
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
        self.record(version, &write.row, true, context, slots, targets);
        if created {
            // No unit can have been granted while the row did not exist.
            for (_, unit) in self.units_mut() {
                unit.lapse = unit.lapse.min(context.now);
                unit.needs_write = false;
            }
        }
        if write.row.home != *context.zone {
            self.on_moved_out(context);
            self.seen_in_other_zone = true;
        }
    }

    fn on_moved_out(&mut self, context: &Context<'_>) {
        let lapse = context.now;
        self.units_mut().for_each(|(_, unit)| unit.on_moved_out(lapse));
        self.rehome = None;
        self.split = None;
    }

    /// Resolves the in-flight write by a later read. Returns the write if it has to be repeated.
    fn resolve_write(
        &mut self,
        context: &Context<'_>,
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
            self.finish_write(context, stored.version, slots, targets);
            return None;
        }
        if write.failed_at.is_none_or(|failed_at| read.requested_at < failed_at) {
            return None;
        }
        let unchanged = stored.map(|stored| stored.version).unwrap_or_default() <= self.version;
        if unchanged && write.exclusive {
            // A write whose response was lost may still take effect, so the write is repeated until
            // the version changes.
            write.failed_at = None;
            write.sent = context.now;
            let retry = RowWrite { expected: self.version, row: write.row.clone() };
            return Some((write.write_id, retry));
        }
        self.in_flight = None;
        None
    }

    /// Applies a row that changed other than by a completed write of this controller.
    fn apply_foreign_row(
        &mut self,
        context: &Context<'_>,
        stored: &StoredRow,
        slots: u32,
        lapse: Instant,
        targets: &mut TargetTable,
    ) {
        let was_local = self.home.as_ref() == Some(context.zone);
        let is_local = stored.row.home == *context.zone;
        if is_local && !was_local && self.known {
            self.on_moved_in(context, lapse);
        }
        self.write_id = stored.write_id;
        self.record(stored.version, &stored.row, false, context, slots, targets);
        if was_local && !is_local {
            self.on_moved_out(context);
        }
    }

    // The controller of the previous home released every unit before it wrote the row. Unless the
    // row was seen in another zone under the current authority, an earlier controller of this zone
    // may have granted its units since the move.
    fn on_moved_in(&mut self, context: &Context<'_>, lapse: Instant) {
        self.merged.extend(self.hot_keys.keys());
        self.hot_keys.clear();
        let seen_in_other_zone = self.seen_in_other_zone;
        for (_, unit) in self.units_mut() {
            unit.reset_for_move_in(
                if seen_in_other_zone { context.now } else { lapse },
                !seen_in_other_zone,
            );
        }
        self.home = None;
    }

    /// Returns the new contents of the row and whether the write is exclusive; `None` when the row
    /// needs no change.
    fn next_write(
        &self,
        context: &Context<'_>,
        slots: u32,
        targets: &TargetTable,
        successors: &Successors<'_>,
    ) -> Option<(crate::SegmentRow, bool)> {
        match (&self.home, &self.rehome) {
            (None, _) => None,
            (Some(home), _) if home != context.zone => None,
            (Some(_), Some(to)) => self.rehomed_row(context, to, targets).map(|row| (row, true)),
            (Some(_), None) => self.changed_row(context, slots, targets, successors),
        }
    }

    fn changed_row(
        &self,
        context: &Context<'_>,
        slots: u32,
        targets: &TargetTable,
        successors: &Successors<'_>,
    ) -> Option<(crate::SegmentRow, bool)> {
        let merges = self.hot_keys.values().any(|unit| unit.merging && unit.is_free(context.now));
        let needs_change = |unit: &UnitState| {
            let desired = unit.desired()?;
            let successor_valid = successors.is_valid(desired);
            Some(unit.recorded != Some(desired) || !successor_valid)
        };
        let changed = self.units().any(|(_, unit)| needs_change(unit).unwrap_or(!unit.merging));
        if !changed && !merges && self.split.is_none() {
            return None;
        }
        let row = self.desired_row(context, slots, targets, |unit, _, desired| {
            successors.with_successor(unit, desired)
        })?;
        Some((row, merges))
    }
}

impl UnitState {
    fn on_moved_out(&mut self, now: Instant) {
        let (published, version, recorded) = (self.published, self.version, self.recorded);
        *self = Self { published, version, recorded, ..Self::unknown(now) };
    }

    fn reset_for_move_in(&mut self, lapse: Instant, needs_write: bool) {
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
        self.proposed = Some(IndexedAssignment { owner, successor, epoch: self.next_epoch() });
    }
}
