//! Slow start: the concurrency limit of a cold target.

use std::time::Duration;

use wagtailmoor_core::{Instant, Requests};

/// Why a target is treated as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The target was added to the host list.
    New,
    /// The target's load report says that it is cold.
    Reported,
    /// A response of the target says that it is cold.
    Answered,
    /// A connection to the target was lost.
    Reset,
    /// The latency has returned to the level measured while the target was last cold.
    Latency,
}

/// Concurrency limit of a cold target, doubled after each successful step.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    pub(crate) cause: ColdCause,
    pub(crate) since: Instant,
    limit: u32,
    step_start: Instant,
    successes: u32,
}

impl SlowStart {
    pub(crate) fn start(now: Instant, cause: ColdCause, concurrency: Requests) -> Self {
        let limit = concurrency.get().max(1);
        Self { cause, since: now, limit, step_start: now, successes: 0 }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit has not been raised yet.
    pub(crate) fn is_first_step(&self, concurrency: Requests) -> bool {
        self.limit <= concurrency.get()
    }

    /// Restarts the current step, because the target cannot handle the current limit.
    pub(crate) fn restart_step(&mut self, now: Instant) {
        self.step_start = now;
        self.successes = 0;
    }

    /// Counts an answer and returns whether slow start is complete.
    ///
    /// It is complete once the target has passed a step whose limit covers all its slots.
    pub(crate) fn record_success(&mut self, now: Instant, step: Duration, slots: Requests) -> bool {
        self.successes += 1;
        match now.saturating_since(self.step_start) >= step {
            true if self.limit >= slots.get() => true,
            true => {
                self.limit = self.limit.saturating_mul(2);
                self.restart_step(now);
                false
            }
            false => false,
        }
    }
}
