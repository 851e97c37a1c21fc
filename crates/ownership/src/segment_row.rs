//! Row of one segment in the store.

use wagtailmoor_core::{KeyHash, SegmentId, SlotId, ZoneId};
use wagtailmoor_derive::value;

use crate::{Assignment, Unit};

/// A key that was split off from its slot.
#[value]
pub struct HotKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// Owner, successor and epoch of the key, apart from those of its slot.
    pub assignment: Assignment,
}

/// The row `segment/<back end>/<n>`, with the assignments of consecutive slots and of the keys
/// split off from them.
#[value]
pub struct SegmentRow {
    /// Number of the segment.
    pub segment: SegmentId,
    /// Zone whose controller grants these slots and writes this row.
    pub home: ZoneId,
    /// Assignments of the slots in order.
    pub slots: Vec<Assignment>,
    /// Hot keys in order of their hash.
    pub hot_keys: Vec<HotKey>,
}

impl SegmentRow {
    /// Returns the first slot of the segment when every segment has `slots` slots.
    pub fn first_slot(segment: SegmentId, slots: u32) -> SlotId {
        SlotId::new(segment.get() * slots)
    }

    /// Returns the assignment of a slot or hot key of this row. The position of a slot is its
    /// number modulo `slots_per_segment`.
    pub fn assignment(&self, slots_per_segment: u32, unit: Unit) -> Option<&Assignment> {
        match unit {
            Unit::Slot(slot) => self.slots.get((slot.get() % slots_per_segment) as usize),
            Unit::HotKey(key) => self
                .hot_keys
                .binary_search_by_key(&key, |hot| hot.key)
                .ok()
                .map(|index| &self.hot_keys[index].assignment),
        }
    }
}
