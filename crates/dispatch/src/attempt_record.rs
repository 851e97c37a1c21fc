//! The durable record of a non-idempotent request.

use wagtailmoor_core::{NodeId, Outcome, Reason, RowVersion};
use wagtailmoor_derive::{scalar, value};

use crate::{ClaimId, TimeBucket, Verdict};

/// State of the request that a record belongs to.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum RecordState {
    /// The claiming node is running the request, or crashed while running it.
    Running,
    /// The response was forwarded to the client.
    Answered {
        /// HTTP status of the response.
        status: u16,
    },
    /// The request was not run; another claim may take over the record.
    NotRun {
        /// Cause, as reported to the client.
        reason: Reason,
    },
    /// A target may have run the request.
    Unknown {
        /// Cause, as reported to the client.
        reason: Reason,
    },
}

impl From<&Verdict> for RecordState {
    fn from(verdict: &Verdict) -> Self {
        let reason = verdict.reason.unwrap_or(Reason::TargetLost);
        match (verdict.outcome, verdict.status) {
            (Outcome::Answered, Some(status)) => Self::Answered { status },
            (Outcome::NotRun, _) => Self::NotRun { reason },
            _ => Self::Unknown { reason },
        }
    }
}

/// The durable record of a non-idempotent request.
#[value]
pub struct AttemptRecord {
    /// The claim that last wrote the record.
    pub claim: ClaimId,
    /// The node that made the claim.
    pub node: NodeId,
    /// Time bucket in which the claim was made; determines when the record is deleted.
    pub bucket: TimeBucket,
    /// State of the request as last written by the claiming node.
    pub state: RecordState,
}

/// A record as read from the table.
#[value]
pub struct StoredRecord {
    /// Row version, which a conditional write must name.
    pub version: RowVersion,
    /// Content of the row.
    pub record: AttemptRecord,
}
