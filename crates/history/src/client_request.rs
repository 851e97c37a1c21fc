//! Requests as recorded by clients.

use wagtailmoor_core::{Outcome, Reason};
use wagtailmoor_derive::value;

use crate::ResponseCheck;

/// One request as recorded by its client.
#[value]
pub struct ClientRequest {
    /// Value of the `load-id` header, unique in a run.
    pub load_id: String,
    /// Customer whose key, or whose identifier, was sent.
    pub customer: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Name of the workload of the scenario.
    pub workload: String,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Application key, on keyed back ends. A key belongs to only one back end.
    pub key: Option<String>,
    /// Planned start in microseconds since the Unix epoch; latency is measured from here.
    pub intended_us: u64,
    /// Time at which the client began to send the request, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the response or time of the failure, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// HTTP status; `None` if no response head was received.
    pub status: Option<u16>,
    /// Outcome named by the response, or derived by the client from the failure.
    pub outcome: Outcome,
    /// Reason code of the response, if it has one.
    pub reason: Option<Reason>,
    /// Result of comparing the response with the request.
    pub check: ResponseCheck,
    /// Counter value of the key in the response, on keyed back ends.
    pub value: Option<u64>,
    /// Target named by the response.
    pub target: Option<String>,
    /// Bytes of the response body that the client received.
    pub bytes: u64,
}

impl ClientRequest {
    /// Returns the time from the planned start to the end of the request.
    pub fn latency_us(&self) -> u64 {
        self.end_us.saturating_sub(self.intended_us)
    }

    /// Returns whether the status is 2xx and the response was not cut short.
    pub fn succeeded(&self) -> bool {
        self.status.is_some_and(|status| (200..300).contains(&status))
            && self.check != ResponseCheck::CutShort
    }

    /// Returns whether the request was refused without being executed.
    pub fn refused(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Returns whether the request changes its key. Requests without an idempotency key only read,
    /// as they may be executed more than once.
    pub fn is_write(&self) -> bool {
        self.idempotency_key.is_some()
    }
}
