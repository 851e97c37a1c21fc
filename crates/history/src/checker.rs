//! Runs all checks on a history.

use std::time::Duration;

use crate::{CheckResult, History};
use crate::{
    at_most_once, counter, ownership, rate, refusals, responses, target_violations, withdrawals,
};

/// Settings of the checks.
#[derive(Clone, Copy, Debug)]
pub struct Checker {
    /// Time after a withdrawal in which the zone or target may still start new work.
    pub withdrawal_bound: Duration,
}

impl Default for Checker {
    /// Uses the 3 s that requirements 4 and 10 allow.
    fn default() -> Self {
        Self { withdrawal_bound: Duration::from_secs(3) }
    }
}

impl Checker {
    /// Runs all checks, each over the whole history.
    pub fn check(&self, history: &History) -> Vec<CheckResult> {
        vec![
            at_most_once::check(history),
            responses::check(history),
            refusals::check(history),
            rate::check(history),
            withdrawals::check(history, self.withdrawal_bound),
            ownership::check_owners(history),
            ownership::check_epochs(history),
            counter::check(history),
            target_violations::check(history),
        ]
    }
}
