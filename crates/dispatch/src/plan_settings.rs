//! Settings of requests to one back end.

use std::time::Duration;

use wagtailmoor_core::Reason;

/// Time limit of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyTimeout {
    /// The body must end before the deadline of the request.
    Deadline,
    /// The body may take longer than the deadline, as large downloads do, unless no part of it
    /// arrives for this long.
    Stall(Duration),
}

/// Settings of requests to one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// Maximum number of attempts per request, including the first one and hedges.
    pub attempts_max: u8,
    /// Whether a 429 or 503 response that is marked not-run is trusted.
    pub trusts_refusals: bool,
    /// Whether a 421 response that is marked not-run is trusted. Set for targets that check grants.
    pub trusts_misdirected: bool,
    /// Whether a non-idempotent request is retried after a trusted not-run response.
    pub retries_refused: bool,
    /// Minimum time remaining before the deadline to start another attempt.
    pub time_left_min: Duration,
    /// Time limit of the response body.
    pub body_timeout: BodyTimeout,
    /// Reason reported when no connection to a target can be established.
    pub unreachable: Reason,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            trusts_refusals: false,
            trusts_misdirected: false,
            retries_refused: false,
            time_left_min: Duration::from_millis(2),
            body_timeout: BodyTimeout::Deadline,
            unreachable: Reason::TargetUnavailable,
        }
    }
}
