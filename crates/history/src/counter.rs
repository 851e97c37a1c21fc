//! Checks that the counter of each key is linearizable.

use std::collections::{BTreeMap, HashSet};

use todc_utils::{Action, History as Actions, Specification, WGLChecker};
use wagtailmoor_core::Outcome;

use crate::{CheckResult, ClientRequest, History, ResponseCheck};

/// Keys with more operations are skipped: the search uses memory quadratic in this number.
const MAX_OPERATIONS_PER_KEY: usize = 2_000;

/// Keys with more operations of unknown outcome are skipped: each may double the search.
const MAX_UNKNOWN_OUTCOMES_PER_KEY: usize = 10;

/// Sequential specification of a counter that starts at an unknown value.
struct Counter;

/// An operation on a counter with the value that the client received.
#[derive(Clone, Copy, Debug)]
enum CounterOperation {
    /// Increment, with the value after it; `None` if the outcome is unknown.
    Add(Option<u64>),
    /// Read of the value.
    Read(u64),
}

impl Specification for Counter {
    type State = Option<u64>;
    type Operation = CounterOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &CounterOperation, state: &Self::State) -> (bool, Self::State) {
        match (*operation, *state) {
            (CounterOperation::Add(None), state) => (true, state.map(|value| value + 1)),
            (CounterOperation::Add(Some(value)), None) => (true, Some(value)),
            (CounterOperation::Add(Some(value)), Some(current)) if value == current + 1 => {
                (true, Some(value))
            }
            (CounterOperation::Read(value), None) => (true, Some(value)),
            (CounterOperation::Read(value), Some(current)) if value == current => {
                (true, Some(current))
            }
            (_, state) => (false, state),
        }
    }
}

/// Reports keys whose operations have no linearization with the values that clients received.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("linearizable");
    let executed: HashSet<&str> =
        history.executions.iter().filter_map(|execution| execution.load_id.as_deref()).collect();
    let mut keys: BTreeMap<&str, Vec<(&ClientRequest, CounterOperation)>> = BTreeMap::new();
    for request in &history.requests {
        let operation = operation(request, executed.contains(request.load_id.as_str()));
        if let (Some(key), Some(operation)) = (&request.key, operation) {
            keys.entry(key).or_default().push((request, operation));
        }
    }
    for (key, operations) in keys {
        let unknown = operations.iter().filter(|(_, operation)| is_unknown(operation)).count();
        if operations.len() > MAX_OPERATIONS_PER_KEY || unknown > MAX_UNKNOWN_OUTCOMES_PER_KEY {
            result.skipped += operations.len() as u64;
            continue;
        }
        result.examined += operations.len() as u64;
        if !WGLChecker::<Counter>::is_linearizable(actions(&operations)) {
            result.add_finding(format!("key {key}: responses are not linearizable"));
        }
    }
    result
}

fn is_unknown(operation: &CounterOperation) -> bool {
    matches!(operation, CounterOperation::Add(None))
}

/// Returns the operation of a request. A write without a value counts only if its outcome is
/// unknown and a target executed it.
fn operation(request: &ClientRequest, executed: bool) -> Option<CounterOperation> {
    let outcome_unknown =
        request.outcome == Outcome::Unknown || request.check == ResponseCheck::CutShort;
    match (request.is_write(), request.value) {
        (false, value) => value.map(CounterOperation::Read),
        (true, Some(value)) => Some(CounterOperation::Add(Some(value))),
        (true, None) => (outcome_unknown && executed).then_some(CounterOperation::Add(None)),
    }
}

/// Returns calls and responses ordered by time. An operation with an unknown outcome may take
/// effect at any time after its call, so its response comes last.
fn actions(operations: &[(&ClientRequest, CounterOperation)]) -> Actions<CounterOperation> {
    let mut actions = Vec::new();
    for (process, (request, operation)) in operations.iter().enumerate() {
        let end_us = match operation {
            CounterOperation::Add(None) => u64::MAX,
            _ => request.end_us.max(request.start_us + 1),
        };
        // At equal times calls sort before responses, so that the operations count as concurrent.
        actions.push((request.start_us, false, process, Action::Call(*operation)));
        actions.push((end_us, true, process, Action::Response(*operation)));
    }
    actions.sort_by_key(|&(at_us, response, process, _)| (at_us, response, process));
    let actions = actions.into_iter().map(|(_, _, process, action)| (process, action));
    Actions::from_actions(actions.collect())
}
