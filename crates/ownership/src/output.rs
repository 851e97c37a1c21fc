//! Operations that a controller requests from its caller.

use wagtailmoor_core::{BackEndId, Instant, RowVersion, SegmentId, WriteId};
use wagtailmoor_derive::value;

use crate::{Grant, QueryHeld, Revoke, SegmentRow};

/// One row of a write.
#[value]
pub struct RowWrite {
    /// Version that the write replaces; 0 if the row must not exist yet.
    pub expected: RowVersion,
    /// The new row.
    pub row: SegmentRow,
}

/// A transaction of up to 64 rows.
#[value]
pub struct WriteRows {
    /// The back end.
    pub back_end: BackEndId,
    /// Identifies the write.
    pub write_id: WriteId,
    /// The rows.
    pub rows: Vec<RowWrite>,
    /// If the write was not sent by this instant, the caller drops it and reports the result as
    /// unknown.
    pub drop_after: Instant,
}

/// A read of rows.
#[value]
pub struct ReadRows {
    /// The back end.
    pub back_end: BackEndId,
    /// Segments to read; all segments when empty.
    pub segments: Vec<SegmentId>,
}

/// An operation that the caller of a controller has to perform.
#[value]
pub enum Output {
    /// Send a grant to a target.
    Grant(Grant),
    /// Send a revocation to a target.
    Revoke(Revoke),
    /// Query the grants that a target holds.
    QueryHeld(QueryHeld),
    /// Write rows.
    WriteRows(WriteRows),
    /// Read rows.
    ReadRows(ReadRows),
}
