//! Checks that a non-idempotent request is executed at most once.

use std::collections::BTreeMap;

use crate::{CheckResult, Execution, History};

/// Reports idempotency keys that were executed more than once for the same customer.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("at-most-once");
    let mut executions: BTreeMap<(Option<&str>, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.idempotency_key {
            executions.entry((execution.customer.as_deref(), key)).or_default().push(execution);
        }
    }
    result.examined = executions.len() as u64;
    for ((customer, key), executions) in
        executions.iter().filter(|(_, executions)| executions.len() > 1)
    {
        let targets: Vec<_> =
            executions.iter().map(|execution| execution.target.as_str()).collect();
        result.add_finding(format!(
            "customer {}: idempotency key {key} executed {} times, at {}",
            customer.unwrap_or("-"),
            executions.len(),
            targets.join(", ")
        ));
    }
    result
}
