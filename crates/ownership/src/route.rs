//! The answer of a route table.

use wagtailmoor_core::{Epoch, TargetId};

use crate::Unit;

/// Where requests of a key go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// The owner.
    Owner {
        /// The target.
        target: &'a TargetId,
        /// Epoch of its grant.
        epoch: Epoch,
        /// The slot or hot key that was found.
        unit: Unit,
    },
    /// The key moves to another target; ask again within 100 ms.
    Moving,
    /// No target is known to own the key.
    NoOwner,
    /// The route lease is too old to dispatch.
    Stale,
}
