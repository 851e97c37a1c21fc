//! Checks that each client receives the complete response to its own request.

use std::collections::HashMap;

use crate::{CheckResult, ClientRequest, Execution, History, ResponseCheck};

/// Reports foreign and silently truncated responses, and successes without an execution of the same
/// request for the same customer.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("answers");
    let mut executions: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in &history.executions {
        if let Some(id) = &execution.load_id {
            executions.entry(id).or_default().push(execution);
        }
    }
    for request in history.requests.iter().filter(|request| request.succeeded()) {
        result.examined += 1;
        let executions = executions.get(request.load_id.as_str()).map_or(&[][..], Vec::as_slice);
        if let Some(mismatch) = mismatch(request, executions) {
            result.add_finding(format!("request {} {}: {mismatch}", request.load_id, request.path));
        }
    }
    result
}

/// Returns why a successful response does not match its request and executions, if it does not.
fn mismatch(request: &ClientRequest, executions: &[&Execution]) -> Option<String> {
    let path = request.path.split('?').next().unwrap_or_default();
    match request.check {
        ResponseCheck::Foreign => return Some("response belongs to another request".to_owned()),
        ResponseCheck::SilentlyShort => return Some("silently truncated response".to_owned()),
        ResponseCheck::None | ResponseCheck::Own | ResponseCheck::CutShort => {}
    }
    if executions.is_empty() {
        return Some("success without an execution".to_owned());
    }
    if let Some(execution) = executions.iter().find(|execution| execution.path != path) {
        return Some(format!("executed with path {}", execution.path));
    }
    executions
        .iter()
        .find(|execution| execution.customer.is_some() && execution.customer != request.customer)
        .map(|execution| {
            let customer = execution.customer.as_deref().unwrap_or("-");
            format!("executed for customer {customer} instead of {:?}", request.customer)
        })
}
