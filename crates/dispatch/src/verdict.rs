//! Final result of a request.

use wagtailmoor_core::{Outcome, Reason, ReportedDuration};
use wagtailmoor_derive::{scalar, value};

/// Way in which a request ended.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The complete response was forwarded to the client.
    Answered,
    /// The target's connection was lost after the response head was forwarded.
    Truncated,
    /// The response body stalled after the response head was forwarded.
    BodyStalled,
    /// The connection was lost after bytes of the request were sent.
    TargetLost,
    /// The target refused the request without running it.
    Refused,
    /// No target was available or reachable.
    NoTarget,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The client closed its connection.
    ClientGone,
    /// The client stopped sending its request body.
    ClientStalled,
}

/// Final result of a request.
#[value]
pub struct Verdict {
    /// Whether the request was answered, was not run, or may have been run.
    pub outcome: Outcome,
    /// Cause of the failure, or `None` if the request was answered.
    pub reason: Option<Reason>,
    /// Detailed cause of the end, for logs.
    pub ending: Ending,
    /// HTTP status of the response whose head was forwarded, or `None` if there was none.
    pub status: Option<u16>,
    /// Delay that the refusing target requests before the next attempt.
    pub retry_after: Option<ReportedDuration>,
}

impl Verdict {
    pub(crate) fn answered(status: Option<u16>) -> Self {
        let (outcome, ending) = (Outcome::Answered, Ending::Answered);
        Self { outcome, reason: None, ending, status, retry_after: None }
    }

    /// Returns whether the client's connection must be closed, because the response is incomplete.
    pub fn is_response_incomplete(&self) -> bool {
        self.status.is_some() && self.outcome != Outcome::Answered
    }
}
