//! The assignment of a range to its owner.

use wagtailmoor_core::Epoch;
use wagtailmoor_derive::value;

use crate::{KeyRange, TargetProcess};

/// The assignment of a range to its owner.
#[value]
pub struct Assignment {
    /// The assigned keys.
    pub range: KeyRange,
    /// Process that owns the keys.
    pub owner: TargetProcess,
    /// Fencing token of the owner's grants. A later assignment of the keys has a higher one.
    pub epoch: Epoch,
}
