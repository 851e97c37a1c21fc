//! What a controller knows about one segment.

use wagtailmoor_core::{
    Instant, KeyHash, RowVersion, SegmentId, SlotId, SortedVec, WriteId, ZoneId,
};

use crate::target_table::TargetTable;
use crate::turn::Turn;
use crate::unit_state::{Recorded, UnitState};
use crate::{Assignment, HotKey, SegmentRow, StoredRow, Unit};

#[derive(Clone, Debug)]
pub(crate) struct RowState {
    pub(crate) segment: SegmentId,
    pub(crate) first_slot: u32,
    /// Whether the row, or its absence, is known.
    pub(crate) known: bool,
    pub(crate) version: RowVersion,
    /// Id of the write that made this version.
    pub(crate) write_id: WriteId,
    pub(crate) home: Option<ZoneId>,
    /// A read of the present authority showed the row in another zone.
    pub(crate) seen_elsewhere: bool,
    pub(crate) slots: Vec<UnitState>,
    /// Instant after which no grant of an earlier controller can have an effect.
    pub(crate) takeover_lapse: Instant,
    pub(crate) hot_keys: SortedVec<KeyHash, UnitState>,
    /// Hot keys that were merged since the last publication.
    pub(crate) merged: Vec<KeyHash>,
    pub(crate) in_flight: Option<InFlight>,
    /// Key to be split off by the next write.
    pub(crate) split: Option<KeyHash>,
    pub(crate) rehome: Option<ZoneId>,
    /// Rehoming holds a place at the receiver until then.
    pub(crate) rehomed_until: Instant,
}

/// A write without a known result.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) write_id: WriteId,
    /// Position of the row in the write.
    pub(crate) position: usize,
    pub(crate) row: SegmentRow,
    pub(crate) sent: Instant,
    /// The write failed or its response was lost at this instant; a later read decides.
    pub(crate) failed_at: Option<Instant>,
    /// Moves the row to another zone or merges a key: nothing else may happen to the row before the
    /// result is known, because the write can still take effect.
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
            seen_elsewhere: false,
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
        self.seen_elsewhere = false;
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

    /// Takes over the assignments of a row. `own` says that this controller wrote it.
    pub(crate) fn record(
        &mut self,
        version: RowVersion,
        row: &SegmentRow,
        own: bool,
        turn: &Turn<'_>,
        slots: u32,
        targets: &mut TargetTable,
    ) {
        let first = !self.known || self.home.is_none() || !turn.active;
        self.known = true;
        self.version = version;
        self.home = Some(row.home.clone());
        for (unit, assignment) in self.slots.iter_mut().zip(&row.slots) {
            unit.record(recorded(targets, assignment), own);
        }
        self.remove_hot_keys(row, own || first);
        for hot in &row.hot_keys {
            let recorded = recorded(targets, &hot.assignment);
            self.record_hot_key(hot.key, recorded, own, first, slots);
        }
        self.slots.iter_mut().for_each(UnitState::upgrade);
        self.hot_keys.values_mut().for_each(UnitState::upgrade);
    }

    fn remove_hot_keys(&mut self, row: &SegmentRow, always: bool) {
        let is_recorded =
            |key: &KeyHash| row.hot_keys.binary_search_by_key(key, |hot| hot.key).is_ok();
        let merged = &mut self.merged;
        self.hot_keys.retain(|key, unit| {
            let keep = is_recorded(key) || (!always && unit.holder.is_some());
            if !keep {
                merged.push(*key);
            }
            keep
        });
    }

    fn record_hot_key(
        &mut self,
        key: KeyHash,
        recorded: Recorded,
        own: bool,
        first: bool,
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
            // The holder of the slot holds the key until its grants exclude it.
            unit.split_epoch = slot.recorded.map(|slot| slot.epoch).unwrap_or_default();
            match slot.holder {
                Some(holder) if holder.target == recorded.owner => {
                    unit.hold(recorded.owner, recorded.epoch);
                }
                // The slot failed over without the split while the write was under way.
                Some(_) => unit.merging = true,
                None => {}
            }
        } else if !first {
            // An earlier controller split the key after the known row was copied, or by a late write,
            // and may have granted it.
            unit.lapse = unit.lapse.max(self.takeover_lapse);
            unit.split_epoch = slot.recorded.map(|slot| slot.epoch).unwrap_or_default();
            unit.merging = true;
        }
        self.hot_keys.insert(key, unit);
    }

    /// Returns the row as it is known to be in the store.
    pub(crate) fn stored(&self, targets: &TargetTable) -> Option<StoredRow> {
        let known = |unit: &UnitState| unit.recorded.map(|recorded| assignment(targets, recorded));
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

    /// Returns the row that should be in the store. `with_successor` completes an assignment.
    pub(crate) fn build(
        &self,
        turn: &Turn<'_>,
        slots: u32,
        targets: &TargetTable,
        mut with_successor: impl FnMut(Unit, &UnitState, Recorded) -> Recorded,
    ) -> Option<SegmentRow> {
        let mut row = SegmentRow {
            segment: self.segment,
            home: turn.zone.clone(),
            slots: Vec::with_capacity(self.slots.len()),
            hot_keys: Vec::new(),
        };
        for (unit, state) in self.units() {
            let desired = with_successor(unit, state, state.desired()?);
            let assignment = assignment(targets, desired);
            match unit {
                Unit::Slot(_) => row.slots.push(assignment),
                Unit::HotKey(_) if state.merging && state.is_free(turn.now) => {}
                Unit::HotKey(key) => row.hot_keys.push(HotKey { key, assignment }),
            }
        }
        self.raise_merged_slots(turn.now, slots, &mut row);
        self.add_split(slots, &mut row);
        Some(row)
    }

    // Grants of a slot at one epoch always exclude the same keys, so a merge raises the epoch.
    fn raise_merged_slots(&self, now: Instant, slots: u32, row: &mut SegmentRow) {
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
    fn record(&mut self, recorded: Recorded, own: bool) {
        let written = own
            && self.proposed.is_some_and(|proposed| {
                (proposed.owner, proposed.epoch) == (recorded.owner, recorded.epoch)
            });
        if written {
            self.needs_write = false;
            self.move_to = None;
        }
        // The epoch of a proposal was derived from the recorded one.
        if written || !own || self.recorded != Some(recorded) {
            self.proposed = None;
        }
        self.recorded = Some(recorded);
    }
}

pub(crate) fn recorded(targets: &mut TargetTable, assignment: &Assignment) -> Recorded {
    Recorded {
        owner: targets.index(&assignment.owner),
        successor: assignment.successor.as_ref().map(|target| targets.index(target)),
        epoch: assignment.epoch,
    }
}

pub(crate) fn assignment(targets: &TargetTable, recorded: Recorded) -> Assignment {
    Assignment {
        owner: targets.at(recorded.owner).target.clone(),
        successor: recorded.successor.map(|target| targets.at(target).target.clone()),
        epoch: recorded.epoch,
    }
}
