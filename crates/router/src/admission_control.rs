//! Admission by priority: the check on each request, and the leader's computation of the shares.

use std::time::Duration;

use wagtailmoor_admission::{PooledCapacity, RefusedRequest, RequestClass};
use wagtailmoor_core::{BackEndId, Instant, Reason, ReportedDuration};
use wagtailmoor_front::{Call, Refusal};
use wagtailmoor_ranges::TargetProcess;
use wagtailmoor_site::Target;
use wagtailmoor_telemetry::Event;

use crate::granter::Granter;
use crate::log_lines;
use crate::node_settings::NodeSettings;
use crate::state::RouterState;
use crate::target_choice::DEFAULT_LATENCY;

/// Counts a request as demand on its back end, and refuses it if it exceeds the admitted share.
/// Called only for requests that their customer's limit admits; others load no target.
pub(crate) fn admit(state: &mut RouterState, now: Instant, call: &Call) -> Result<(), Refusal> {
    let class = class(call);
    match call.shard_key {
        Some(key) => state.count_key(&call.back_end, key, call.priority),
        None => state.demand.count(&call.back_end, class.clone()),
    }
    let RouterState { admission_gate, random, .. } = state;
    let withheld = admission_gate.withheld(now, &call.back_end, call.shard_key, &class, random);
    let Some(share) = withheld else { return Ok(()) };
    state.stats.count_withheld(&call.back_end, call.priority);
    let leader_age = now.saturating_since(state.leader_last_contact);
    log_lines::withheld(call, share, leader_age).info();
    let refusal = Refusal::not_run(Reason::QueueFull, "the back end is overloaded");
    let retry_after = retry_after(state, now, call, None);
    Err(Refusal { retry_after, ..refusal })
}

/// Returns when the client of a request that was refused for lack of room may return; `None` if it
/// could not be answered in time any more. `requested` is the delay that a target asked for.
pub(crate) fn retry_after(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
    requested: Option<ReportedDuration>,
) -> Option<Duration> {
    let RouterState { admission_gate, random, .. } = state;
    let refused = RefusedRequest {
        priority: call.priority,
        admitted: admission_gate.admitted(now, &call.back_end, call.shard_key, &class(call)),
        requested,
        left: call.deadline.saturating_since(now),
        service_time: DEFAULT_LATENCY,
    };
    refused.return_delay(random)
}

fn class(call: &Call) -> RequestClass {
    RequestClass { priority: call.priority, customer: call.customer.clone() }
}

/// Computes the shares of the pooled back ends, on the leader.
pub(crate) fn update_pooled(state: &mut RouterState, now: Instant, settings: &NodeSettings) {
    let RouterState { admission, config, .. } = state;
    let Some(config) = config.as_ref().filter(|config| settings.controls_load(config)) else {
        return;
    };
    admission.retain(|back_end| config.back_end(back_end).is_some());
    let rules = config.back_ends().filter(|rule| !rule.keyed);
    let due: Vec<(BackEndId, Duration)> = rules
        .filter(|rule| admission.is_due(now, &rule.back_end))
        .filter_map(|rule| Some((rule.back_end.clone(), config.objective(&rule.back_end)?)))
        .collect();
    for (back_end, objective) in due {
        let capacity = pooled_capacity(state, now, &back_end, objective);
        let was_overloaded = state.admission.is_overloaded(&back_end);
        state.admission.update_pooled(now, &back_end, capacity);
        let overloaded = state.admission.is_overloaded(&back_end);
        if overloaded != was_overloaded {
            let name = match overloaded {
                true => "overload",
                false => "overload-ended",
            };
            Event::new(name)
                .field("back_end", &back_end)
                .field("rate_per_s", capacity.rate_per_s as u64)
                .field("waiting", capacity.queue as u64)
                .field("waiting_max", capacity.queue_max as u64)
                .warn();
        }
    }
}

/// Returns the capacity of the warm targets of a back end that are in service.
fn pooled_capacity(
    state: &RouterState,
    now: Instant,
    back_end: &BackEndId,
    objective: Duration,
) -> PooledCapacity {
    let RouterState { registry, speeds, .. } = state;
    let mean = state.mean_service_time(now, back_end);
    let is_usable = |target: &&Target| {
        registry.is_in_service(now, &target.target) && !registry.is_cold(now, &target.target)
    };
    let mut sum = PooledCapacity::default();
    for target in registry.targets_of(back_end).filter(is_usable) {
        let capacity = speeds.capacity(now, target, mean, objective);
        let queue = speeds.mean_queue(now, &target.target);
        sum.rate_per_s += capacity.rate_per_s;
        sum.slots += f64::from(target.slots.get().max(1));
        sum.queue += queue;
        sum.queue_max += capacity.queue_space + queue;
    }
    sum
}

/// Computes the shares of the ranges of a keyed back end that get more requests than their owners
/// can run in time.
pub(crate) fn update_keyed(
    state: &mut RouterState,
    now: Instant,
    back_end: &BackEndId,
    mean: Duration,
) {
    if !state.admission.is_due(now, back_end) {
        return;
    }
    let objective = state.config.as_ref().and_then(|config| config.objective(back_end));
    let (Some(objective), Some(Granter { assigner, .. })) =
        (objective, state.granters.get(back_end))
    else {
        return;
    };
    let capacity = |process: &TargetProcess| {
        let target = state.registry.get(&process.target)?;
        Some(state.speeds.capacity(now, target, mean, objective))
    };
    let limited = assigner.limited_shares(now, capacity);
    state.admission.update_keyed(now, back_end, limited);
}
