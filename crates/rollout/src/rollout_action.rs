//! Operations that a controller requests.

use wagtailmoor_core::RowVersion;

use crate::{RolloutRow, RolloutStatus};

/// An operation that a controller requests. It requests the next one only once it knows the result.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Read the stored row.
    ReadRow,
    /// Read the store's clock.
    ReadClock,
    /// Write the row if its version is the expected one.
    WriteRow {
        /// The new row.
        row: RolloutRow,
        /// Version that it replaces; zero if there is none.
        expected: RowVersion,
        /// Why the row changes, for logs.
        cause: &'static str,
    },
    /// Write the status unless it is stored already.
    WriteStatus(RolloutStatus),
}
