//! Retry budget with a known limit.

use wagtailmoor_core::Instant;
use wagtailmoor_dispatch::RetryBudget;

/// Extra attempts in the budget of a new node.
pub(crate) const INITIAL: f64 = 1.0;

/// Extra attempts that each first attempt adds to the budget.
pub(crate) const SHARE: f64 = 0.1;

pub(crate) struct Budget {
    tokens: f64,
    unlimited: bool,
}

impl Budget {
    pub(crate) fn new(unlimited: bool) -> Self {
        Self { tokens: INITIAL, unlimited }
    }
}

impl RetryBudget for Budget {
    fn earn(&mut self, _now: Instant) {
        self.tokens += SHARE;
    }

    fn spend(&mut self, _now: Instant) -> bool {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        self.unlimited
    }
}
