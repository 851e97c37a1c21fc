//! The assigner of a back end during one term of this process as the leader.

use wagtailmoor_core::{Generation, Instant, RowVersion, StoreEra};
use wagtailmoor_ranges::RangeAssigner;

/// Distinguishes the granters that this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GranterId(pub(crate) u64);

/// The assigner of a back end during one term of this process as the leader.
#[derive(Debug)]
pub(crate) struct Granter {
    /// Outcomes of commands count only for the granter that issued them.
    pub(crate) id: GranterId,
    /// Generation of the leader's row in this term.
    pub(crate) generation: Generation,
    pub(crate) assigner: RangeAssigner,
    /// Version of the row in which the owners were last stored.
    pub(crate) row_version: RowVersion,
    /// Era of the store in which the owners were last read or stored.
    pub(crate) era: StoreEra,
    /// Earliest time of the next attempt to reserve fencing tokens.
    pub(crate) reserve_at: Instant,
}
