//! Classes of reason codes.

use serde::Serialize;
use wagtailmoor_core::Reason;

/// Side that is responsible for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReasonClass {
    /// The system: the customer was within its rate limit and sent a valid request.
    System,
    /// The client: it sent an invalid request or exceeded its rate limit.
    Client,
}

impl ReasonClass {
    /// Returns the class of a reason code.
    ///
    /// The match has no wildcard, so code with a new, unclassified reason does not compile.
    pub const fn of(reason: Reason) -> Self {
        match reason {
            Reason::KeyUnverified
            | Reason::RecordUnavailable
            | Reason::CreditUnavailable
            | Reason::QueueFull
            | Reason::DeadlineExceeded
            | Reason::OwnerMoving
            | Reason::OwnerUnknown
            | Reason::OwnerUnreachable
            | Reason::TargetUnavailable
            | Reason::TargetRefused
            | Reason::TargetLost
            | Reason::ShuttingDown
            | Reason::NotReady
            | Reason::TooManyConnections => Self::System,
            Reason::BadRequest
            | Reason::HeadTooLarge
            | Reason::ClientTooSlow
            | Reason::KeyMissing
            | Reason::KeyRefused
            | Reason::RouteForbidden
            | Reason::RouteUnknown
            | Reason::IdempotencyKeyRequired
            | Reason::Duplicate
            | Reason::RateExceeded
            | Reason::CrashesTargets => Self::Client,
        }
    }
}
