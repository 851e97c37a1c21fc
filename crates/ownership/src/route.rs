//! Result of a route lookup.

use wagtailmoor_core::{Epoch, TargetId};

use crate::Unit;

/// Destination of requests for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// A target owns the key.
    Owner {
        /// The target.
        target: &'a TargetId,
        /// Epoch of the assignment.
        epoch: Epoch,
        /// The slot or hot key that contains the key.
        unit: Unit,
    },
    /// The key is moving to another target; look it up again within 100 ms.
    Moving,
    /// No target is known to own the key.
    NoOwner,
    /// The route lease could end before the longest request does.
    Stale,
}
