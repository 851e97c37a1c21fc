//! Keeps this node's requests within what targets can hold.

use wagtailmoor_admission::{Picked, RunningGuard, UnansweredGuard};
use wagtailmoor_core::{CustomerId, Instant, PartsPerMillion, Reason, TargetId};
use wagtailmoor_front::{Call, Refusal};
use wagtailmoor_site::Target;
use wagtailmoor_telemetry::Event;

use crate::state::RouterState;

/// Counts an attempt as running at its target and as unanswered until it is dropped.
pub struct AttemptGuard {
    _running: RunningGuard,
    _unanswered: UnansweredGuard,
}

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
    let owner = call.shard_key.and_then(|key| {
        let table = state.tables.get(&call.back_end)?;
        table.assignment_of(key).map(|assignment| assignment.owner.target.clone())
    });
    state.room.on_arrival(now, &call.back_end, owner.as_ref());
    let Some(owner) = owner else { return Ok(()) };
    // A customer above its limit is refused for that, and takes no room.
    if state.room.is_limited(now, &owner) && !is_within_limit(state, now, call.customer.as_ref()) {
        return Ok(());
    }
    let Err(admitted) = state.room.admit_keyed(now, &owner) else { return Ok(()) };
    // The balancer moves keys by the requests that arrive, also by those that are refused.
    if let Some(key) = call.shard_key {
        state.count_key(&call.back_end, key);
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

/// Counts an attempt at the chosen target.
pub(crate) fn start(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
    target: &Target,
    picked: Picked,
) -> AttemptGuard {
    if call.shard_key.is_none() {
        state.room.spend_pooled(now, &call.back_end, &target.target);
    }
    let unanswered = state.room.start(now, &call.back_end, &target.target, picked.expected);
    AttemptGuard { _running: picked.running, _unanswered: unanswered }
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
