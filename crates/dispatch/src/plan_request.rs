//! Properties of a request that its plan depends on.

use std::time::Duration;

use wagtailmoor_core::Instant;

use crate::AttemptId;

/// Properties of a request that its plan depends on.
#[derive(Clone, Debug)]
pub struct PlanRequest {
    /// Random id from which attempt ids are derived by replacing the lowest byte.
    pub id: AttemptId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body is buffered, so that it can be sent again.
    pub replayable: bool,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
    /// Time without a response head after which an idempotent request is hedged. `None` disables
    /// hedging.
    pub hedge_after: Option<Duration>,
}
