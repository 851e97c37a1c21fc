//! Unit of assignment: a slot or a hot key.

use wagtailmoor_core::{KeyHash, SlotId};
use wagtailmoor_derive::scalar;

/// The smallest set of keys that has an owner of its own.
#[scalar]
pub enum Unit {
    /// All keys of a slot that are not split off.
    Slot(SlotId),
    /// One key that was split off from its slot.
    HotKey(KeyHash),
}
