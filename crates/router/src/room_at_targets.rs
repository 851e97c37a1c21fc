//! Keeps this node's requests within what targets can hold.

use std::time::Duration;

use wagtailmoor_admission::UnansweredGuard;
use wagtailmoor_core::{
    BackEndId, CustomerId, Instant, PartsPerMillion, Reason, ShardKey, TargetId,
};
use wagtailmoor_front::{Call, Refusal};
use wagtailmoor_site::Target;
use wagtailmoor_telemetry::Event;

use crate::state::RouterState;
use crate::target_choice::DEFAULT_LATENCY;

/// Counts a request that arrived, and refuses it if the owner of its key is full. Called before its
/// body is read.
///
/// # Errors
///
/// The refusal of a request beyond the permitted number.
pub(crate) fn check_arrival(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
) -> Result<(), Refusal> {
    let owner = owner_of(state, &call.back_end, call.shard_key);
    state.room.on_arrival(now, &call.back_end, owner.as_ref());
    let Some(owner) = owner else { return Ok(()) };
    // A customer above its limit is refused for that, and takes no room.
    if state.room.is_limited(now, &owner) && !is_within_limit(state, now, call.customer.as_ref()) {
        return Ok(());
    }
    let Err(admitted) = state.room.admit_keyed(now, &owner) else { return Ok(()) };
    // The balancer moves keys by the requests that arrive, also by those that are refused.
    if let Some(key) = call.shard_key {
        state.count_key(&call.back_end, key, call.priority);
    }
    state.stats.count("target-full");
    log_full(call, &owner, admitted);
    Err(Refusal::not_run(Reason::QueueFull, "the owner of the key is full"))
}

/// Returns whether the limit of the customer admits a request, without using it up.
fn is_within_limit(state: &mut RouterState, now: Instant, customer: Option<&CustomerId>) -> bool {
    let RouterState { config, customers, .. } = state;
    let rule = customer.zip(config.as_ref()).and_then(|(id, config)| config.customer(id));
    rule.is_none_or(|rule| match customers.admit(now, rule) {
        Ok(()) => {
            customers.refund(&rule.customer);
            true
        }
        Err(_) => false,
    })
}

/// Returns the time after which a request is sent again if its target is silent, or `None` if it is
/// not: it must not be repeated, or its back end answers or has no room.
pub(crate) fn hedge_after(state: &mut RouterState, now: Instant, call: &Call) -> Option<Duration> {
    if !call.idempotent {
        return None;
    }
    let owner = owner_of(state, &call.back_end, call.shard_key);
    let RouterState { registry, picker, room, .. } = state;
    let expected = owner.and_then(|owner| registry.get(&owner)).map(|owner| {
        let load = picker.load(&owner.target);
        load.expected_response_time(now, owner.slots.get(), DEFAULT_LATENCY)
    });
    room.hedge_after(now, &call.back_end, expected, call.deadline.saturating_since(now))
}

/// Returns whether a request may be sent again, and counts hedges. A request whose time to hedge has
/// come is not sent again while its back end is short of room.
pub(crate) fn may_send_again(state: &mut RouterState, now: Instant, call: &Call) -> bool {
    match call.hedge_after {
        Some(after) if now >= call.received_at + after => {
            let is_short = state.room.is_short(now, &call.back_end);
            state.stats.count(if is_short { "hedge-refused" } else { "hedge" });
            !is_short
        }
        _ => true,
    }
}

fn owner_of(state: &RouterState, back_end: &BackEndId, key: Option<ShardKey>) -> Option<TargetId> {
    let assignment = state.tables.get(back_end)?.assignment_of(key?)?;
    Some(assignment.owner.target.clone())
}

/// Counts an attempt at the chosen target as unanswered until the guard is dropped.
pub(crate) fn start(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
    target: &Target,
    expected: Duration,
) -> UnansweredGuard {
    if call.shard_key.is_none() {
        state.room.spend_pooled(now, &call.back_end, &target.target);
    }
    state.room.start(now, &call.back_end, &target.target, expected)
}

fn log_full(call: &Call, target: &TargetId, admitted: PartsPerMillion) {
    Event::new("target-full")
        .field("request", call.request_id.as_deref().unwrap_or("-"))
        .field("back_end", &call.back_end)
        .field("target", target)
        .optional("key", call.shard_key)
        .field("admitted_ppm", admitted.get())
        .info();
}
