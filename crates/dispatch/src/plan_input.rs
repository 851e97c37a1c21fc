//! Events that a request plan handles.

use wagtailmoor_core::{Instant, Reason, ReportedDuration, TargetId};

use crate::AttemptId;

/// The parts of a response head that affect the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Whether the target reports that it did not run the request.
    pub not_run: bool,
    /// Delay that the target requests before the next attempt.
    pub retry_after: Option<ReportedDuration>,
    /// Whether the target reports that it is cold.
    pub cold: bool,
}

/// Event that a request plan handles. `G` is the guard that counts an attempt at its target.
#[derive(Debug)]
pub enum PlanInput<G> {
    /// A target was chosen for an attempt.
    Assigned {
        /// The attempt that requested a target.
        attempt: AttemptId,
        /// The chosen target.
        target: TargetId,
        /// Guard that is dropped when the attempt ends.
        guard: G,
        /// End of the lease of the route, from which on the request must not be sent. `None` if
        /// the route has no lease.
        send_before: Option<Instant>,
    },
    /// No target is available for an attempt, or it must not be sent to the chosen target.
    NoTarget {
        /// The attempt that is not sent.
        attempt: AttemptId,
        /// Cause, as reported to the client if no other attempt is answered.
        reason: Reason,
    },
    /// The connection of an attempt is ready.
    ///
    /// If the crash ledger refuses the request by then, `NoTarget` is reported instead.
    Connected {
        /// The attempt that requested the connection.
        attempt: AttemptId,
    },
    /// Bytes of the request are about to be written. Must be reported before the first write.
    BytesSent {
        /// The attempt that is about to be sent.
        attempt: AttemptId,
    },
    /// The connection was closed after `BytesSent` was reported, but before any byte was written.
    Unsent {
        /// The attempt that was not sent.
        attempt: AttemptId,
    },
    /// No connection could be established, or the connection was lost.
    Lost {
        /// The attempt whose connection failed.
        attempt: AttemptId,
    },
    /// The response head arrived.
    Head {
        /// The attempt that received the response.
        attempt: AttemptId,
        /// The parts of the head that affect the outcome.
        head: ResponseHead,
    },
    /// A part of the response body arrived.
    BodyProgress {
        /// The attempt whose response is being received.
        attempt: AttemptId,
    },
    /// The complete response body arrived.
    BodyEnded {
        /// The attempt whose response is complete.
        attempt: AttemptId,
    },
    /// The request body exceeded the replay buffer, so the request cannot be sent again.
    BodyNotReplayable,
    /// The client closed its connection.
    ClientGone,
    /// The client stopped sending its request body.
    ClientStalled,
    /// A timer requested by the plan expired. Spurious timer events are harmless.
    Timer,
}
