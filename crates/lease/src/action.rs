//! Actions that a candidate requests from its caller, and the result of a write.

use wagtailmoor_core::{NodeId, RowVersion, WriteId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::{ControllerRow, PromiseRequest, ZoneRequest};

/// An action that a candidate requests from its caller.
#[value]
pub enum LeaseAction {
    /// Send a request to a node and pass its reply to [`on_promise_reply`].
    ///
    /// [`on_promise_reply`]: crate::Candidate::on_promise_reply
    SendNodeRequest {
        /// Receiver.
        node: NodeId,
        /// Request.
        request: PromiseRequest,
    },
    /// Send a request to the controller of a zone and pass its reply to [`on_zone_reply`].
    ///
    /// [`on_zone_reply`]: crate::Candidate::on_zone_reply
    SendZoneRequest {
        /// Receiver.
        zone: ZoneId,
        /// Request.
        request: ZoneRequest,
    },
    /// Write the row by compare-and-set and pass the result to [`on_write`].
    ///
    /// [`on_write`]: crate::Candidate::on_write
    WriteRow {
        /// Contents.
        row: ControllerRow,
        /// Version that the row must have, or `None` if the row must be absent.
        expected: Option<RowVersion>,
        /// Id to store with the row.
        write: WriteId,
    },
    /// Read the row and pass it to [`on_row`].
    ///
    /// [`on_row`]: crate::Candidate::on_row
    ReadRow,
}

/// The result of a write of the row.
#[scalar]
pub struct WriteResult {
    /// Id of the write.
    pub write: WriteId,
    /// Whether the write took effect.
    pub outcome: WriteOutcome,
}

/// The outcome of a write.
#[scalar]
pub enum WriteOutcome {
    /// The write took effect and produced this version.
    Done(RowVersion),
    /// The write had no effect: the row did not have the expected version.
    Conflict,
    /// No response arrived: the write may have taken effect or may still do so.
    Unknown,
}
