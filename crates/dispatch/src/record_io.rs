//! Table calls of the record keeper and their results.

use wagtailmoor_core::{Outcome, Reason, RowVersion, WriteId};
use wagtailmoor_derive::value;

use crate::{AttemptRecord, CallId, ClaimId, RecordKey, RecordState, StoredRecord};

/// One row of a write.
#[value]
pub struct RecordWrite {
    /// Key of the row.
    pub key: RecordKey,
    /// Row version that the write replaces, or 0 if the row must not exist.
    pub expected: RowVersion,
    /// The new record, or `None` to delete it.
    pub record: Option<AttemptRecord>,
}

/// Cause of the refusal of a claim.
#[value]
pub enum RecordRefusal {
    /// The record could not be written, so the request is not run.
    Unavailable,
    /// A request with the same `Idempotency-Key` was run earlier or is running.
    Duplicate {
        /// Recorded outcome; `Unknown` while the earlier request is running.
        outcome: Outcome,
        /// Recorded HTTP status, if the earlier request was answered.
        status: Option<u16>,
        /// Recorded reason, if the outcome of the earlier request is unknown.
        reason: Option<Reason>,
    },
}

impl RecordRefusal {
    /// Returns the refusal of a duplicate request whose record is in this state.
    pub fn duplicate(state: RecordState) -> Self {
        match state {
            RecordState::Answered { status } => {
                Self::Duplicate { outcome: Outcome::Answered, status: Some(status), reason: None }
            }
            RecordState::Unknown { reason } => {
                let reason = Some(reason);
                Self::Duplicate { outcome: Outcome::Unknown, status: None, reason }
            }
            RecordState::Running | RecordState::NotRun { .. } => {
                Self::Duplicate { outcome: Outcome::Unknown, status: None, reason: None }
            }
        }
    }
}

/// Action that the record keeper asks of the I/O code.
#[value]
pub enum RecordOutput {
    /// Write rows in one transaction.
    Write {
        /// Id with which the result is reported.
        call: CallId,
        /// Random id that identifies the write to the table.
        write_id: WriteId,
        /// The rows, at most `rows_max`.
        rows: Vec<RecordWrite>,
    },
    /// Read one row.
    Read {
        /// Id with which the result is reported.
        call: CallId,
        /// Key of the row.
        key: RecordKey,
    },
    /// The claim succeeded, so the request may run.
    Claimed {
        /// Id that [`RecordKeeper::claim`](crate::RecordKeeper::claim) returned.
        claim: ClaimId,
        /// Key of the record.
        key: RecordKey,
    },
    /// The claim is refused, so the request must not run.
    Refused {
        /// Id that [`RecordKeeper::claim`](crate::RecordKeeper::claim) returned.
        claim: ClaimId,
        /// Cause, and the recorded outcome if there is one.
        refusal: RecordRefusal,
    },
}

/// Result of a write.
#[value]
pub enum WriteResult {
    /// All rows were written.
    Done {
        /// New row versions, in the order of the rows in the write.
        versions: Vec<RowVersion>,
    },
    /// No row was written, because one row does not have the expected version.
    Conflict {
        /// Key of the row whose version differs from the expected one.
        key: RecordKey,
    },
    /// It is not known whether the write took effect or will do so later.
    Unknown,
}

/// Result of a read.
#[value]
pub enum ReadResult {
    /// The row exists.
    Row(StoredRecord),
    /// The row does not exist.
    Absent,
    /// The table did not answer.
    Unavailable,
}
