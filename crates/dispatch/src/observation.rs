//! Results of attempts as observed by the node that made them.

use std::time::Duration;

use wagtailmoor_core::{Instant, ReportedDuration};
use wagtailmoor_derive::value;

/// Result of one attempt, from which the target table judges the target.
#[value]
pub enum Observation {
    /// The response head arrived.
    Answered {
        /// Time from sending to the response head.
        elapsed: Duration,
        /// Whether the response marks the target as cold.
        cold: bool,
    },
    /// The target refused the request without running it.
    Refused {
        /// Delay that the target requests before the next attempt.
        retry_after: Option<ReportedDuration>,
    },
    /// The target does not own the key and did not run the request.
    Misdirected,
    /// No connection to the target could be established.
    ConnectFailed,
    /// The connection was lost after bytes were sent.
    ConnectionLost {
        /// Time at which the target was assigned to the attempt.
        assigned_at: Instant,
        /// Whether the crash ledger attributes the loss to the request. If so, the target is not
        /// avoided.
        request_blamed: bool,
    },
    /// The attempt was cancelled before the response head arrived.
    Cancelled {
        /// Time from sending to the cancellation.
        elapsed: Duration,
    },
}
