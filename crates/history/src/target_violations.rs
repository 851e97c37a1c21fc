//! Reports protocol violations that targets recorded.

use crate::{CheckResult, History};

/// Reports each recorded violation: overload of a cold target, too many connections, or a customer
/// key that was forwarded to a target.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("target-expectations");
    for violation in &history.violations {
        result.examined += 1;
        result
            .add_finding(format!("{} {}: {}", violation.target, violation.kind, violation.detail));
    }
    result
}
