//! Chooses the target of a request: the owner of its key, or any target of the back end.

use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_admission::{PickCriteria, Picked};
use wagtailmoor_core::{Instant, NodeId, Reason, ShardKey, TargetId, ZoneId};
use wagtailmoor_front::Call;
use wagtailmoor_rollout::{OwnerUse, VersionClass};
use wagtailmoor_site::{BackEndRule, Target};

use crate::confirmation_wait::{self, NotConfirmed};
use crate::state::{RouterState, Shared};

/// A request waits at most this long for a key that has no owner. The keys of a lost target have
/// none for seconds, but the first grant and a restart take less.
const OWNER_WAIT_MAX: Duration = Duration::from_millis(300);

/// A request waits at most this long for a key that is moving: until the requests that run on its
/// keys have ended, the next owner is stored, and this node knows of it. A client that is refused
/// returns no earlier.
const MOVE_WAIT_MAX: Duration = Duration::from_millis(800);

/// The owner of a key is looked up again at least this often while a request waits. A target that
/// refused the request because its grant had not arrived yet becomes usable without a change of the
/// owners.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Latency assumed for a target without measurements.
pub(crate) const DEFAULT_LATENCY: Duration = Duration::from_millis(150);

/// The result of a lookup of a key's owner.
enum OwnerLookup {
    Found(Box<Target>, Picked),
    /// The key has no owner or is moving, and may soon have another owner.
    Wait(Reason),
    Refuse(Reason),
}

/// Finds the owner of a key; waits briefly while the key has no owner or is moving.
pub(crate) async fn find_owner(
    shared: &Shared,
    call: &Call,
    key: ShardKey,
    tried: &[TargetId],
) -> Result<(Target, Picked), Reason> {
    let started = shared.now();
    loop {
        let changed = shared.routes_changed.notified();
        let reason = match look_up_owner(shared, call, key, tried) {
            OwnerLookup::Found(target, picked) => return Ok((*target, picked)),
            OwnerLookup::Refuse(reason) => return Err(reason),
            OwnerLookup::Wait(reason) => reason,
        };
        let wait_max = match reason {
            Reason::OwnerMoving => MOVE_WAIT_MAX,
            _ => OWNER_WAIT_MAX,
        };
        let left = (started + wait_max).min(call.deadline).saturating_since(shared.now());
        if left.is_zero() {
            return Err(reason);
        }
        // Without a change within the interval, the look-up decides.
        drop(timeout(left.min(OWNER_CHECK_INTERVAL), changed).await);
        // The data may have grown old during the wait.
        let confirmed = confirmation_wait::wait(shared, call.deadline).await;
        confirmed.map_err(|NotConfirmed| Reason::NotReady)?;
    }
}

fn look_up_owner(shared: &Shared, call: &Call, key: ShardKey, tried: &[TargetId]) -> OwnerLookup {
    let now = shared.now();
    let mut state = shared.write();
    let state = &mut *state;
    let assignment = state.tables.get(&call.back_end).and_then(|table| table.assignment_of(key));
    let Some(owner) = assignment.map(|assignment| &assignment.owner) else {
        return OwnerLookup::Wait(Reason::OwnerUnknown);
    };
    let registered = state.registry.get(&owner.target);
    let Some(target) = registered.filter(|known| known.incarnation == owner.incarnation) else {
        return OwnerLookup::Wait(Reason::OwnerUnknown);
    };
    if !state.registry.is_in_service(now, &target.target) {
        return OwnerLookup::Wait(Reason::OwnerMoving);
    }
    let owner_use = state
        .rollouts
        .as_ref()
        .map_or(OwnerUse::Send, |rollouts| rollouts.owner_use(now, &state.registry, target));
    match owner_use {
        OwnerUse::Send => {}
        OwnerUse::Wait => return OwnerLookup::Wait(Reason::OwnerMoving),
        OwnerUse::Refuse => return OwnerLookup::Refuse(Reason::QueueFull),
    }
    let rule = state.config.as_ref().and_then(|config| config.back_end(&call.back_end));
    if state.registry.is_cold(now, &target.target) {
        let per_s = rule.map_or(0.0, BackEndRule::cold_per_s);
        if !state.cold_gate.admit_exclusive(now, &target.target, per_s) {
            return OwnerLookup::Refuse(Reason::TargetUnavailable);
        }
    }
    // The first attempt was admitted on arrival.
    if !tried.is_empty() && !state.room.has_room(now, &target.target) {
        return OwnerLookup::Refuse(Reason::QueueFull);
    }
    let load = state.picker.load(&target.target);
    if load.is_excluded(now) {
        return OwnerLookup::Refuse(Reason::OwnerUnreachable);
    }
    // The target answered that it does not own the key, so the key is moving to another target.
    if tried.contains(&target.target) && load.is_not_owner(now) {
        return OwnerLookup::Wait(Reason::OwnerMoving);
    }
    let expected = load.expected_response_time(now, target.slots.get(), DEFAULT_LATENCY);
    if now + expected / 2 > call.deadline {
        return OwnerLookup::Refuse(Reason::QueueFull);
    }
    let picked = Picked { running: load.start_request(), expected };
    OwnerLookup::Found(Box::new(target.clone()), picked)
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
    let state = &mut *state;
    let classes = state
        .rollouts
        .as_ref()
        .map_or([None, None], |rollouts| rollouts.choose(now, &state.registry, &call.back_end));
    let chosen = pick_among(state, now, (zone, node), call, tried, classes[0]);
    let chosen = match (chosen, classes[1]) {
        (None, Some(class)) => pick_among(state, now, (zone, node), call, tried, Some(class)),
        (chosen, _) => chosen,
    };
    let (target, picked) = chosen.ok_or_else(|| reason_without_target(state, now, call))?;
    match now + picked.expected / 2 > call.deadline {
        true => Err(Reason::QueueFull),
        false => Ok((target, picked)),
    }
}

/// Returns why no target of a back end can be chosen.
fn reason_without_target(state: &RouterState, now: Instant, call: &Call) -> Reason {
    let is_full = state
        .registry
        .targets_of(&call.back_end)
        .filter(|target| state.registry.is_in_service(now, &target.target))
        .any(|target| !state.room.has_pooled_room(now, &target.target));
    match is_full {
        true => Reason::QueueFull,
        false => Reason::TargetUnavailable,
    }
}

/// Chooses a target of a class of versions; `None` for any version.
fn pick_among(
    state: &mut RouterState,
    now: Instant,
    (zone, node): (&ZoneId, &NodeId),
    call: &Call,
    tried: &[TargetId],
    class: Option<VersionClass>,
) -> Option<(Target, Picked)> {
    let RouterState { registry, picker, cold_gate, random, config, rollouts, room, .. } = state;
    let is_allowed = |target: &Target| match (class, &*rollouts) {
        (Some(class), Some(rollouts)) => rollouts.allows(class, target),
        _ => true,
    };
    let rule = config.as_ref().and_then(|config| config.back_end(&call.back_end));
    let per_s = rule.map_or(0.0, BackEndRule::cold_per_s);
    let criteria = PickCriteria { tried, bulk: call.bulk, default_service_time: DEFAULT_LATENCY };
    let in_service =
        |target: &&Target| registry.is_in_service(now, &target.target) && is_allowed(target);
    let (cold_targets, warm): (Vec<&Target>, Vec<&Target>) = registry
        .targets_of(&call.back_end)
        .filter(in_service)
        .filter(|target| room.has_pooled_room(now, &target.target))
        .partition(|target| registry.is_cold(now, &target.target));
    let admitted: Vec<&Target> = cold_targets
        .into_iter()
        .filter(|target| {
            cold_gate.is_sender(node, &target.target)
                && cold_gate.admit_shared(now, &target.target, per_s)
        })
        .take(1)
        .collect();
    let chosen = match admitted.is_empty() {
        false => picker.pick(now, zone, admitted.into_iter(), criteria, random),
        true => picker.pick(now, zone, warm.into_iter(), criteria, random),
    };
    chosen.map(|(target, picked)| (target.clone(), picked))
}
