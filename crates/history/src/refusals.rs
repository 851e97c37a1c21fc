//! Checks that refused requests were not executed.

use std::collections::HashMap;

use wagtailmoor_core::Reason;

use crate::{CheckResult, Execution, History};

/// Reports executions of requests that were refused as not run or as duplicates.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("not-run");
    let executions: HashMap<&str, &Execution> = history
        .executions
        .iter()
        .filter_map(|execution| Some((execution.load_id.as_deref()?, execution)))
        .collect();
    let refused = history
        .requests
        .iter()
        .filter(|request| request.refused() || request.reason == Some(Reason::Duplicate));
    for request in refused {
        result.examined += 1;
        if let Some(execution) = executions.get(request.load_id.as_str()) {
            result.add_finding(format!(
                "request {} was refused with status {:?} but executed at {}",
                request.load_id, request.status, execution.target
            ));
        }
    }
    result
}
