//! The target of a request: the owner of its key, or one of several.

use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_admission::{PickCriteria, Picked};
use wagtailmoor_core::{Reason, ShardKey, TargetId};
use wagtailmoor_front::Call;
use wagtailmoor_site::{BackEndRule, Target};

use crate::log_lines;
use crate::state::{RouterState, Shared};

/// Longest time for which a request waits for a key that has no owner or is moving. A move takes
/// as long as the work that runs on its keys.
const OWNER_WAIT_MAX: Duration = Duration::from_millis(300);

/// Latency assumed of a target that this node knows nothing of.
pub(crate) const USUAL_LATENCY: Duration = Duration::from_millis(150);

/// What came of looking for the owner of a key.
enum Owner {
    Found(Box<Target>, Picked),
    /// The key is moving or its owner is out of reach; it may soon be elsewhere.
    Wait(Reason),
    Refuse(Reason),
}

/// Waits for the owner of a key, briefly if it is moving.
pub(crate) async fn find_owner(
    shared: &Shared,
    call: &Call,
    key: ShardKey,
    tried: &[TargetId],
) -> Result<(Target, Picked), Reason> {
    let give_up = (shared.now() + OWNER_WAIT_MAX).min(call.deadline);
    loop {
        let changed = shared.routes_changed.notified();
        let reason = match owner(shared, call, key, tried) {
            Owner::Found(target, picked) => return Ok((*target, picked)),
            Owner::Refuse(reason) => return Err(reason),
            Owner::Wait(reason) => reason,
        };
        let left = give_up.saturating_since(shared.now());
        if left.is_zero() || timeout(left, changed).await.is_err() {
            return Err(reason);
        }
    }
}

fn owner(shared: &Shared, call: &Call, key: ShardKey, tried: &[TargetId]) -> Owner {
    let now = shared.now();
    let mut state = shared.write();
    let state = &mut *state;
    let assignment = state.tables.get(&call.back_end).and_then(|table| table.assignment_of(key));
    let Some(holder) = assignment.map(|assignment| &assignment.owner) else {
        return Owner::Wait(Reason::OwnerUnknown);
    };
    let registered = state.registry.get(&holder.target);
    let Some(target) = registered.filter(|known| known.incarnation == holder.incarnation) else {
        return Owner::Wait(Reason::OwnerUnknown);
    };
    if !state.registry.is_in_service(now, &target.target) {
        return Owner::Wait(Reason::OwnerMoving);
    }
    let rule = state.config.as_ref().and_then(|config| config.back_end(&call.back_end));
    if state.registry.is_cold(now, &target.target) {
        let per_s = rule.map_or(0.0, BackEndRule::cold_per_s);
        if !state.cold.admit_exclusive(now, &target.target, per_s) {
            return Owner::Refuse(Reason::TargetUnavailable);
        }
    }
    let withheld = match tried.is_empty() {
        true => state.admitted.withheld(now, &call.back_end, key, &mut state.random),
        false => None,
    };
    if let Some(share) = withheld {
        let leader_age = now.saturating_since(state.leader_heard);
        log_lines::withheld(call, &target.target, share, leader_age).info();
        return Owner::Refuse(Reason::QueueFull);
    }
    let load = state.picker.load(&target.target);
    if load.is_excluded(now) {
        return Owner::Refuse(Reason::OwnerUnreachable);
    }
    // It said that it does not hold the key, so the key is on its way to another target.
    if tried.contains(&target.target) && load.is_not_owner(now) {
        return Owner::Wait(Reason::OwnerMoving);
    }
    let expected = load.expected_response_time(now, target.slots.get(), USUAL_LATENCY);
    if now + expected / 2 > call.deadline {
        return Owner::Refuse(Reason::QueueFull);
    }
    let picked = Picked { running: load.start_request(), expected };
    Owner::Found(Box::new(target.clone()), picked)
}

/// Chooses a target of a back end whose requests any target can run.
pub(crate) fn pick(
    shared: &Shared,
    call: &Call,
    tried: &[TargetId],
) -> Result<(Target, Picked), Reason> {
    let now = shared.now();
    let (zone, node) = (&shared.settings.zone, &shared.settings.node);
    let mut state = shared.write();
    let RouterState { registry, picker, cold, random, config, .. } = &mut *state;
    let rule = config.as_ref().and_then(|config| config.back_end(&call.back_end));
    let per_s = rule.map_or(0.0, BackEndRule::cold_per_s);
    let criteria = PickCriteria { tried, bulk: call.bulk, usual_service_time: USUAL_LATENCY };
    let in_service = |target: &&Target| registry.is_in_service(now, &target.target);
    let (cold_targets, warm): (Vec<&Target>, Vec<&Target>) = registry
        .targets_of(&call.back_end)
        .filter(in_service)
        .partition(|target| registry.is_cold(now, &target.target));
    let admitted: Vec<&Target> = cold_targets
        .into_iter()
        .filter(|target| {
            cold.is_sender(node, &target.target) && cold.admit_shared(now, &target.target, per_s)
        })
        .take(1)
        .collect();
    let chosen = match admitted.is_empty() {
        false => picker.pick(now, zone, admitted.into_iter(), criteria, random),
        true => picker.pick(now, zone, warm.into_iter(), criteria, random),
    };
    let (target, picked) = chosen.ok_or(Reason::TargetUnavailable)?;
    match now + picked.expected / 2 > call.deadline {
        true => Err(Reason::QueueFull),
        false => Ok((target.clone(), picked)),
    }
}
