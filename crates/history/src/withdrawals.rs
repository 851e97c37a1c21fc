//! Checks that a withdrawn zone or target receives no new work.

use std::time::Duration;

use crate::{CheckResult, Execution, History, Withdrawal};

/// Reports executions that started at a withdrawn zone or target later than `bound` after the
/// withdrawal and before the return to service.
pub(crate) fn check(history: &History, bound: Duration) -> CheckResult {
    let mut result = CheckResult::new("withdrawals");
    let bound_us = bound.as_micros() as u64;
    for withdrawal in &history.withdrawals {
        result.examined += 1;
        let until_us = withdrawal.until_us.unwrap_or(u64::MAX);
        let forbidden = withdrawal.from_us + bound_us..until_us;
        let late_executions = history.executions.iter().filter(|execution| {
            forbidden.contains(&execution.start_us) && covers(withdrawal, execution)
        });
        for execution in late_executions {
            result.add_finding(format!(
                "execution at {} in {} began {} ms after the withdrawal",
                execution.target,
                execution.zone,
                (execution.start_us - withdrawal.from_us) / 1_000
            ));
        }
    }
    result
}

fn covers(withdrawal: &Withdrawal, execution: &Execution) -> bool {
    withdrawal.zone.as_ref() == Some(&execution.zone)
        || withdrawal.target.as_ref() == Some(&execution.target)
}
