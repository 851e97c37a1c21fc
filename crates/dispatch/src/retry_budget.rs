//! Budget shared by retries and hedges.

use wagtailmoor_core::Instant;

/// Limits the load that retries and hedges add.
pub trait RetryBudget {
    /// Records a first attempt, which adds a fraction of an extra attempt to the budget.
    fn earn(&mut self, now: Instant);

    /// Takes one extra attempt from the budget. Returns false if the budget is exhausted.
    fn spend(&mut self, now: Instant) -> bool;
}
