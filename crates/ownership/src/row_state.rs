//! State of one segment row, as known to a controller.

use wagtailmoor_core::{
    Instant, KeyHash, RowVersion, SegmentId, SlotId, SortedVec, WriteId, ZoneId,
};

use crate::context::Context;
use crate::target_table::TargetTable;
use crate::unit_state::{IndexedAssignment, UnitState};
use crate::{Assignment, HotKey, SegmentRow, StoredRow, Unit};

#[derive(Clone, Debug)]
pub(crate) struct RowState {
    pub(crate) segment: SegmentId,
    pub(crate) first_slot: u32,
    /// Whether the row was read, or was found not to exist.
    pub(crate) known: bool,
    pub(crate) version: RowVersion,
    /// Id of the write that produced this version.
    pub(crate) write_id: WriteId,
    pub(crate) home: Option<ZoneId>,
    /// Whether a read or write under the current authority showed the row in another zone.
    pub(crate) seen_in_other_zone: bool,
    pub(crate) slots: Vec<UnitState>,
    /// Instant after which no grant of an earlier controller can have an effect.
    pub(crate) takeover_lapse: Instant,
    pub(crate) hot_keys: SortedVec<KeyHash, UnitState>,
    /// Hot keys that were merged since routes were last published.
    pub(crate) merged: Vec<KeyHash>,
    pub(crate) in_flight: Option<InFlight>,
    /// Key to be split off by the next row write.
    pub(crate) split: Option<KeyHash>,
    /// Zone to which the row is to be moved as soon as no target here may serve its units.
    pub(crate) rehome: Option<ZoneId>,
    /// End of the pause during which the moved segment occupies a target of the receiving zone.
    pub(crate) rehomed_until: Instant,
}

/// A write whose result is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) write_id: WriteId,
    /// Position of the row in its transaction.
    pub(crate) position: usize,
    pub(crate) row: SegmentRow,
    pub(crate) sent: Instant,
    /// When the write failed or its response was found to be lost. A read sent after this instant
    /// shows whether the write took effect.
    pub(crate) failed_at: Option<Instant>,
    /// Whether the write moves the row to another zone or merges a key. No other change of the row
    /// is allowed until the result is known, because the write can still take effect.
    pub(crate) exclusive: bool,
}

impl RowState {
    pub(crate) fn new(segment: SegmentId, slots: u32, lapse: Instant) -> Self {
        Self {
            segment,
            first_slot: SegmentRow::first_slot(segment, slots).get(),
            known: false,
            version: RowVersion::default(),
            write_id: WriteId::default(),
            home: None,
            seen_in_other_zone: false,
            slots: vec![UnitState::unknown(lapse); slots as usize],
            takeover_lapse: lapse,
            hot_keys: SortedVec::new(),
            merged: Vec::new(),
            in_flight: None,
            split: None,
            rehome: None,
            rehomed_until: Instant::default(),
        }
    }

    pub(crate) fn reset(&mut self, lapse: Instant) {
        self.units_mut().for_each(|(_, unit)| unit.reset(lapse));
        self.takeover_lapse = lapse;
        self.seen_in_other_zone = false;
        self.in_flight = None;
        self.split = None;
        self.rehome = None;
    }

    pub(crate) fn is_exclusive(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|write| write.exclusive)
    }

    pub(crate) fn units(&self) -> impl Iterator<Item = (Unit, &UnitState)> {
        let slots = (self.first_slot..).map(|slot| Unit::Slot(SlotId::new(slot))).zip(&self.slots);
        slots.chain(self.hot_keys.iter().map(|(key, unit)| (Unit::HotKey(*key), unit)))
    }

    pub(crate) fn units_mut(&mut self) -> impl Iterator<Item = (Unit, &mut UnitState)> {
        let slots =
            (self.first_slot..).map(|slot| Unit::Slot(SlotId::new(slot))).zip(&mut self.slots);
        slots.chain(self.hot_keys.iter_mut().map(|(key, unit)| (Unit::HotKey(*key), unit)))
    }

    pub(crate) fn unit(&self, unit: Unit) -> Option<&UnitState> {
        match unit {
            Unit::Slot(slot) => self.slots.get(slot.get().checked_sub(self.first_slot)? as usize),
            Unit::HotKey(key) => self.hot_keys.get(&key),
        }
    }

    pub(crate) fn unit_mut(&mut self, unit: Unit) -> Option<&mut UnitState> {
        match unit {
            Unit::Slot(slot) => {
                self.slots.get_mut(slot.get().checked_sub(self.first_slot)? as usize)
            }
            Unit::HotKey(key) => self.hot_keys.get_mut(&key),
        }
    }

    /// Returns the slot of the row that a key belongs to.
    pub(crate) fn slot_of(&self, key: KeyHash, slots: u32) -> Option<usize> {
        let position = key.slot(slots).get().checked_sub(self.first_slot)? as usize;
        (position < self.slots.len()).then_some(position)
    }

    /// Records the assignments of a row. `own` means that this controller wrote the row.
    pub(crate) fn record(
        &mut self,
        version: RowVersion,
        row: &SegmentRow,
        own: bool,
        context: &Context<'_>,
        slots: u32,
        targets: &mut TargetTable,
    ) {
        let initial = !self.known || self.home.is_none() || !context.active;
        self.known = true;
        self.version = version;
        self.home = Some(row.home.clone());
        for (unit, assignment) in self.slots.iter_mut().zip(&row.slots) {
            unit.record(to_indexed(targets, assignment), own);
        }
        self.remove_hot_keys(row, own || initial);
        for hot in &row.hot_keys {
            let recorded = to_indexed(targets, &hot.assignment);
            self.record_hot_key(hot.key, recorded, own, initial, slots);
        }
        self.slots.iter_mut().for_each(UnitState::upgrade);
        self.hot_keys.values_mut().for_each(UnitState::upgrade);
    }

    // Removes hot keys that the row does not contain. A key with a grantee is removed only if
    // `include_granted` is set.
    fn remove_hot_keys(&mut self, row: &SegmentRow, include_granted: bool) {
        let is_recorded =
            |key: &KeyHash| row.hot_keys.binary_search_by_key(key, |hot| hot.key).is_ok();
        let merged = &mut self.merged;
        self.hot_keys.retain(|key, unit| {
            let keep = is_recorded(key) || (!include_granted && unit.grantee.is_some());
            if !keep {
                merged.push(*key);
            }
            keep
        });
    }

    fn record_hot_key(
        &mut self,
        key: KeyHash,
        recorded: IndexedAssignment,
        own: bool,
        initial: bool,
        slots: u32,
    ) {
        if let Some(unit) = self.hot_keys.get_mut(&key) {
            return unit.record(recorded, own);
        }
        let Some(position) = self.slot_of(key, slots) else { return };
        let slot = &self.slots[position];
        let mut unit = UnitState::unknown(slot.lapse);
        unit.needs_write = slot.needs_write;
        unit.recorded = Some(recorded);
        if own {
            // The grantee of the slot also serves the key until its grants exclude the key.
            unit.split_epoch = slot.recorded.map(|slot| slot.epoch).unwrap_or_default();
            match slot.grantee {
                Some(grantee) if grantee.target == recorded.owner => {
                    unit.set_grantee(recorded.owner, recorded.epoch);
                }
                // The slot failed over while the write was in flight, so its grant does not exclude
                // the key.
                Some(_) => unit.merging = true,
                None => {}
            }
        } else if !initial {
            // An earlier controller split off the key after the known row was copied, or by a write
            // that took effect late, and may have granted the key.
            unit.lapse = unit.lapse.max(self.takeover_lapse);
            unit.split_epoch = slot.recorded.map(|slot| slot.epoch).unwrap_or_default();
            unit.merging = true;
        }
        self.hot_keys.insert(key, unit);
    }

    /// Returns the last known contents of the row in the store.
    pub(crate) fn stored(&self, targets: &TargetTable) -> Option<StoredRow> {
        let known =
            |unit: &UnitState| unit.recorded.map(|recorded| to_assignment(targets, recorded));
        let hot_key = |(key, unit): (&KeyHash, &UnitState)| {
            known(unit).map(|assignment| HotKey { key: *key, assignment })
        };
        let row = SegmentRow {
            segment: self.segment,
            home: self.home.clone()?,
            slots: self.slots.iter().map(known).collect::<Option<_>>()?,
            hot_keys: self.hot_keys.iter().map(hot_key).collect::<Option<_>>()?,
        };
        Some(StoredRow { version: self.version, write_id: self.write_id, row })
    }

    /// Returns the desired contents of the row. `with_successor` adds the successor to an
    /// assignment.
    pub(crate) fn desired_row(
        &self,
        context: &Context<'_>,
        slots: u32,
        targets: &TargetTable,
        mut with_successor: impl FnMut(Unit, &UnitState, IndexedAssignment) -> IndexedAssignment,
    ) -> Option<SegmentRow> {
        let mut row = SegmentRow {
            segment: self.segment,
            home: context.zone.clone(),
            slots: Vec::with_capacity(self.slots.len()),
            hot_keys: Vec::new(),
        };
        for (unit, state) in self.units() {
            let desired = with_successor(unit, state, state.desired()?);
            let assignment = to_assignment(targets, desired);
            match unit {
                Unit::Slot(_) => row.slots.push(assignment),
                Unit::HotKey(_) if state.merging && state.is_free(context.now) => {}
                Unit::HotKey(key) => row.hot_keys.push(HotKey { key, assignment }),
            }
        }
        self.raise_epochs_after_merge(context.now, slots, &mut row);
        self.add_split(slots, &mut row);
        Some(row)
    }

    // All grants of a slot at one epoch exclude the same keys, so a merge raises the epoch.
    fn raise_epochs_after_merge(&self, now: Instant, slots: u32, row: &mut SegmentRow) {
        let merged = self.hot_keys.iter().filter(|(_, unit)| unit.merging && unit.is_free(now));
        for (key, unit) in merged {
            let Some(position) = self.slot_of(*key, slots) else { continue };
            let epoch = unit.next_epoch().max(self.slots[position].next_epoch());
            let slot = &mut row.slots[position];
            slot.epoch = slot.epoch.max(epoch);
        }
    }

    fn add_split(&self, slots: u32, row: &mut SegmentRow) {
        let Some(key) = self.split else { return };
        let Some(position) = self.slot_of(key, slots) else { return };
        let Err(index) = row.hot_keys.binary_search_by_key(&key, |hot| hot.key) else { return };
        let epoch = self.slots[position].next_epoch();
        row.slots[position].epoch = row.slots[position].epoch.max(epoch);
        let assignment = row.slots[position].clone();
        row.hot_keys.insert(index, HotKey { key, assignment });
    }
}

impl UnitState {
    fn record(&mut self, recorded: IndexedAssignment, own: bool) {
        let written = own
            && self.proposed.is_some_and(|proposed| {
                (proposed.owner, proposed.epoch) == (recorded.owner, recorded.epoch)
            });
        if written {
            self.needs_write = false;
            self.move_to = None;
        }
        // The epoch of a proposal is derived from the recorded epoch, so a changed record makes the
        // proposal outdated.
        if written || !own || self.recorded != Some(recorded) {
            self.proposed = None;
        }
        self.recorded = Some(recorded);
    }
}

pub(crate) fn to_indexed(targets: &mut TargetTable, assignment: &Assignment) -> IndexedAssignment {
    IndexedAssignment {
        owner: targets.index(&assignment.owner),
        successor: assignment.successor.as_ref().map(|target| targets.index(target)),
        epoch: assignment.epoch,
    }
}

pub(crate) fn to_assignment(targets: &TargetTable, recorded: IndexedAssignment) -> Assignment {
    Assignment {
        owner: targets.at(recorded.owner).target.clone(),
        successor: recorded.successor.map(|target| targets.at(target).target.clone()),
        epoch: recorded.epoch,
    }
}
