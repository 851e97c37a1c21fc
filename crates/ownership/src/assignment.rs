//! Assignment of a slot or hot key to targets.

use wagtailmoor_core::{Epoch, TargetId};
use wagtailmoor_derive::value;

/// Owner, successor and epoch of one slot or hot key.
#[value]
pub struct Assignment {
    /// The target that may be granted the unit at `epoch`.
    pub owner: TargetId,
    /// The target that may be granted the unit at the next epoch without a store write.
    pub successor: Option<TargetId>,
    /// Fencing token of this assignment.
    pub epoch: Epoch,
}
