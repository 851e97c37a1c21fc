//! What a controller asks its shell to do.

use wagtailmoor_core::{BackEndId, Instant, RowVersion, SegmentId, WriteId};
use wagtailmoor_derive::value;

use crate::{Grant, QueryHeld, Revoke, SegmentRow};

/// One row of a write.
#[value]
pub struct RowWrite {
    /// Version that the write replaces, 0 for a row that must not exist.
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
    /// The shell drops the write when it was not sent by then and reports it as unknown.
    pub drop_after: Instant,
}

/// A read of rows.
#[value]
pub struct ReadRows {
    /// The back end.
    pub back_end: BackEndId,
    /// The segments, all when empty.
    pub segments: Vec<SegmentId>,
}

/// What a controller asks its shell to do.
#[value]
pub enum Output {
    /// Send a grant to a target.
    Grant(Grant),
    /// Send a revocation to a target.
    Revoke(Revoke),
    /// Ask a target what it holds.
    QueryHeld(QueryHeld),
    /// Write rows.
    WriteRows(WriteRows),
    /// Read rows.
    ReadRows(ReadRows),
}
