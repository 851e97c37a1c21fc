//! Log lines of requests.

use std::time::Duration;

use wagtailmoor_admission::Picked;
use wagtailmoor_core::{Instant, PartsPerMillion};
use wagtailmoor_dispatch::Verdict;
use wagtailmoor_front::{Call, ConfigBasis, Refusal};
use wagtailmoor_site::Target;
use wagtailmoor_telemetry::Event;

use crate::decision_gate::Confirmation;
use crate::state::RouterState;

/// Adds the version or age of the data on which a decision is based.
pub(crate) fn with_inputs(event: Event, state: &RouterState, now: Instant) -> Event {
    event
        .field("config_version", state.config_version())
        .field("store_age_ms", state.replica.age(now).as_millis())
        .field("leader_age_ms", now.saturating_since(state.leader_last_contact).as_millis())
}

/// Adds how old the data of this node are, and whether a source has confirmed them.
pub(crate) fn with_confirmation(
    event: Event,
    confirmation: Confirmation,
    state: &RouterState,
    now: Instant,
) -> Event {
    event
        .field("config_version", state.config_version())
        .field("store_age_ms", state.replica.age(now).as_millis())
        .field("confirmed", confirmation == Confirmation::Current)
}

/// Adds a request and the configuration that decided it. These fields come first, since lines may be
/// cut where they are collected.
fn with_decision(event: Event, request_id: Option<&str>, config: &ConfigBasis) -> Event {
    event
        .field("request", request_id.unwrap_or("-"))
        .field("decided_version", config.version)
        .field("decided_age_ms", config.age.as_millis())
        .field("confirmed", config.confirmed)
}

fn with_call(event: Event, call: &Call) -> Event {
    with_decision(event, call.request_id.as_deref(), &call.config)
        .field("back_end", &call.back_end)
        .optional("customer", call.customer.as_ref())
        .optional("key", call.shard_key)
        .field("idempotent", call.idempotent)
}

/// The line of an attempt for which a target was chosen, with the inputs of the choice.
pub(crate) fn assigned(
    call: &Call,
    target: &Target,
    picked: &Picked,
    tried: usize,
    state: &RouterState,
) -> Event {
    let assignment =
        call.shard_key.and_then(|key| state.tables.get(&call.back_end)?.assignment_of(key));
    Event::new("assign")
        .field("request", call.request_id.as_deref().unwrap_or("-"))
        .field("target", &target.target)
        .field("zone", &target.zone)
        .field("tried", tried)
        .field("expected_ms", picked.expected.as_millis())
        .optional("key", call.shard_key)
        .optional("epoch", assignment.map(|assignment| assignment.epoch))
}

/// The line of an admitted request that finished.
pub(crate) fn finished(call: &Call, verdict: &Verdict, state: &RouterState, now: Instant) -> Event {
    let event = with_call(Event::new("request"), call)
        .field("outcome", verdict.outcome)
        .optional("reason", verdict.reason)
        .field("ending", format!("{:?}", verdict.ending))
        .optional("status", verdict.status)
        .field("elapsed_ms", now.saturating_since(call.received_at).as_millis())
        .field("left_ms", call.deadline.saturating_since(now).as_millis())
        .field("decided_after_ms", call.config.waited.as_millis());
    with_inputs(event, state, now)
}

/// The line of a request that was refused before a target was chosen.
pub(crate) fn refused(
    call: Option<&Call>,
    refusal: &Refusal,
    state: &RouterState,
    now: Instant,
) -> Event {
    let event = Event::new("refusal");
    let event = match (call, &refusal.decision) {
        (Some(call), _) => with_call(event, call),
        (None, Some(head)) => with_decision(event, head.request_id.as_deref(), &head.config),
        (None, None) => event,
    };
    let retry_after_ms = refusal.retry_after.map(|after| after.as_millis());
    let event = event
        .field("outcome", refusal.outcome)
        .field("reason", refusal.reason)
        .optional("retry_after_ms", retry_after_ms)
        .field("detail", &refusal.detail);
    with_inputs(event, state, now)
}

/// The line of a request that is withheld from its overloaded back end.
pub(crate) fn withheld(call: &Call, admitted: PartsPerMillion, leader_age: Duration) -> Event {
    with_call(Event::new("withheld"), call)
        .field("priority", call.priority)
        .field("admitted_ppm", admitted.get())
        .field("leader_age_ms", leader_age.as_millis())
}
