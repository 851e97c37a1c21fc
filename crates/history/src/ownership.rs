//! Checks that a key has at most one owner at a time, and that its epochs do not go back.

use std::collections::BTreeMap;

use crate::{CheckResult, Execution, History};

/// Reports executions on the same key that overlap in time at different targets.
pub(crate) fn check_owners(history: &History) -> CheckResult {
    let mut result = CheckResult::new("one-owner");
    for ((back_end, key), executions) in executions_by_key(history) {
        result.examined += 1;
        // Latest end at each target: an overlap with any earlier execution shows in these.
        let mut latest: Vec<(&str, u64)> = Vec::new();
        for execution in executions {
            let end_us = execution.end_us.unwrap_or(u64::MAX);
            let other = latest
                .iter()
                .find(|(target, end)| *target != execution.target && *end > execution.start_us);
            if let Some((target, end)) = other {
                result.add_finding(format!(
                    "{back_end} key {key}: {} began {} us before {target} ended",
                    execution.target,
                    end - execution.start_us
                ));
            }
            match latest.iter_mut().find(|(target, _)| *target == execution.target) {
                Some((_, end)) => *end = end_us.max(*end),
                None => latest.push((&execution.target, end_us)),
            }
        }
    }
    result
}

/// Reports epochs that go back on a key, and epochs that two targets use for the same key.
pub(crate) fn check_epochs(history: &History) -> CheckResult {
    let mut result = CheckResult::new("epochs");
    for ((back_end, key), executions) in executions_by_key(history) {
        let mut highest: Option<&Execution> = None;
        for execution in executions {
            let Some(epoch) = execution.epoch else {
                result.skipped += 1;
                continue;
            };
            result.examined += 1;
            let last =
                highest.and_then(|execution| Some((execution.epoch?, execution.target.as_str())));
            match last {
                Some((last, target)) if epoch < last => result.add_finding(format!(
                    "{back_end} key {key}: {} used epoch {epoch} after {target} used epoch {last}",
                    execution.target
                )),
                Some((last, target)) if epoch == last && target != execution.target => result
                    .add_finding(format!(
                        "{back_end} key {key}: {} and {target} used epoch {epoch}",
                        execution.target
                    )),
                _ => highest = Some(execution),
            }
        }
    }
    result
}

/// Returns the executions on each key of each back end, ordered by start.
fn executions_by_key(history: &History) -> BTreeMap<(&str, &str), Vec<&Execution>> {
    let mut keys: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            keys.entry((&execution.back_end, key)).or_default().push(execution);
        }
    }
    keys.values_mut().for_each(|executions| executions.sort_by_key(|execution| execution.start_us));
    keys
}
