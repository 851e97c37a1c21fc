//! The versions of targets that this node may use, and the rollouts that it decides as the leader.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::{BackEndId, Generation, Instant, NodeId, RowVersion, SortedVec, TargetId};
use wagtailmoor_front::Call;
use wagtailmoor_ranges::Member;
use wagtailmoor_rollout::{
    HostRollout, InFlightGuard, OwnerUse, RolloutController, RolloutDirective, RolloutOrder,
    RolloutReport, RolloutRow, RolloutSettings, VersionClass,
};
use wagtailmoor_site::{Registry, Target};

use crate::state::RouterState;

/// Prefix of the keys of rows with the versions of a back end, in the table of owners.
pub(crate) const ROW_PREFIX: &str = "rollout.";

/// An attempt that was cancelled this long before its deadline, or later, counts as one that its
/// target did not answer in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// The versions of targets that this node may use, and the rollouts that it decides as the leader.
#[derive(Debug)]
pub(crate) struct Rollouts {
    pub(crate) settings: RolloutSettings,
    hosts: SortedVec<BackEndId, HostRollout>,
    pub(crate) orders: SortedVec<BackEndId, RolloutOrder>,
    /// The term of this process as the leader to which the controllers belong.
    pub(crate) term: Option<Generation>,
    pub(crate) controllers: SortedVec<BackEndId, RolloutController>,
}

impl Rollouts {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            hosts: SortedVec::new(),
            orders: SortedVec::new(),
            term: None,
            controllers: SortedVec::new(),
        }
    }

    /// Returns the view of a back end's versions, created on first use.
    fn host<R: Rng>(&mut self, back_end: &BackEndId, random: &mut R) -> &mut HostRollout {
        let order = self.orders.get(back_end);
        self.hosts.get_or_insert_with(back_end.clone(), || {
            let initial_credit = random.random_range(0.0..1.0);
            let lifetime = ReportTiming::REPLY_LIFETIME;
            let mut host = HostRollout::new(back_end.clone(), lifetime, initial_credit);
            host.set_order(order);
            host
        })
    }

    /// Returns the view of a back end's versions.
    pub(crate) fn known(&self, back_end: &BackEndId) -> Option<&HostRollout> {
        self.hosts.get(back_end)
    }

    /// Iterates over the back ends with their versions.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = (&BackEndId, &HostRollout)> {
        self.hosts.iter()
    }

    /// Returns the classes of the targets to try for an attempt, in this order; `None` for all
    /// targets.
    pub(crate) fn choose(
        &self,
        now: Instant,
        registry: &Registry,
        back_end: &BackEndId,
    ) -> [Option<VersionClass>; 2] {
        let Some(host) = self.hosts.get(back_end).filter(|host| !host.policy().is_open()) else {
            return [None, None];
        };
        host.choose(now, |class| {
            registry.targets_of(back_end).any(|target| {
                class.includes(host.class(&target.target, &target.software))
                    && registry.is_in_service(now, &target.target)
            })
        })
    }

    /// Returns whether a request may be sent to the owner of its key.
    pub(crate) fn owner_use(&self, now: Instant, registry: &Registry, owner: &Target) -> OwnerUse {
        let back_end = &owner.back_end;
        let Some(host) = self.hosts.get(back_end).filter(|host| !host.policy().is_open()) else {
            return OwnerUse::Send;
        };
        host.owner_use(now, &owner.target, &owner.software, |class| {
            registry.targets_of(back_end).any(|target| {
                class.includes(host.class(&target.target, &target.software))
                    && registry.is_in_service(now, &target.target)
            })
        })
    }

    /// Returns whether a target is of a class.
    pub(crate) fn allows(&self, class: VersionClass, target: &Target) -> bool {
        let host = self.hosts.get(&target.back_end);
        host.is_none_or(|host| class.includes(host.class(&target.target, &target.software)))
    }
}

/// Sets or removes the order for a back end.
pub(crate) fn set_order(
    state: &mut RouterState,
    back_end: &BackEndId,
    order: Option<RolloutOrder>,
) {
    let RouterState { rollouts: Some(rollouts), random, .. } = state else { return };
    rollouts.host(back_end, random).set_order(order.as_ref());
    match order {
        Some(order) => drop(rollouts.orders.insert(back_end.clone(), order)),
        None => drop(rollouts.orders.remove(back_end)),
    }
}

/// Sets the stored row of a back end.
pub(crate) fn set_row(
    state: &mut RouterState,
    back_end: &BackEndId,
    row: Option<RolloutRow>,
    version: RowVersion,
) {
    if let RouterState { rollouts: Some(rollouts), random, .. } = state {
        rollouts.host(back_end, random).set_row(row, version);
    }
}

/// Counts an attempt as in flight to the version of its target; `None` if rollouts are off.
pub(crate) fn start_attempt(
    state: &mut RouterState,
    now: Instant,
    target: &Target,
) -> Option<InFlightGuard> {
    let RouterState { rollouts: Some(rollouts), random, .. } = state else { return None };
    Some(rollouts.host(&target.back_end, random).start_attempt(now, &target.software))
}

/// Records the answer of a target, or its failure.
pub(crate) fn on_answer(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
    target: &TargetId,
    elapsed: Duration,
    failed: bool,
) {
    let RouterState { rollouts: Some(rollouts), registry, random, .. } = state else { return };
    let Some(known) = registry.get(target) else { return };
    let cold = registry.is_cold(now, target);
    let host = rollouts.host(&known.back_end, random);
    host.on_answer(&call.template, target, &known.software, elapsed, failed, cold);
}

/// Records an attempt that its target had not answered when it was cancelled: a failure if the
/// deadline has passed.
pub(crate) fn on_unanswered(
    state: &mut RouterState,
    now: Instant,
    call: &Call,
    target: &TargetId,
    elapsed: Duration,
) {
    if now + DEADLINE_MARGIN >= call.deadline {
        on_answer(state, now, call, target, elapsed, true);
    }
}

/// Restricts the members of a keyed back end to the versions that may own keys.
pub(crate) fn restrict_members(
    state: &RouterState,
    now: Instant,
    back_end: &BackEndId,
    members: &mut [Member],
) {
    let controllers = state.rollouts.as_ref().map(|rollouts| &rollouts.controllers);
    let Some(controller) = controllers.and_then(|known| known.get(back_end)) else { return };
    let in_service: Vec<(&mut Member, &Target)> = members
        .iter_mut()
        .filter(|member| !member.leaving)
        .filter_map(|member| {
            let target = state.registry.get(&member.process.target)?;
            Some((member, target))
        })
        .collect();
    let targets: Vec<(&TargetId, &str)> =
        in_service.iter().map(|(_, target)| (&target.target, &*target.software)).collect();
    let roles = controller.roles(now, &targets);
    for ((member, _), role) in in_service.into_iter().zip(roles) {
        member.eligible &= role.eligible;
        member.leaving = role.leaving;
        member.capacity_per_s *= role.capacity;
    }
}

/// Returns this node's reports on active rollouts.
pub(crate) fn take_reports(state: &mut RouterState) -> Vec<RolloutReport> {
    let hosts = state.rollouts.iter_mut().flat_map(|rollouts| rollouts.hosts.values_mut());
    hosts.filter_map(HostRollout::take_report).collect()
}

/// Handles the reports of a node as the leader, and returns the instructions to it.
pub(crate) fn answer(
    state: &mut RouterState,
    now: Instant,
    node: &NodeId,
    reports: &[RolloutReport],
) -> Vec<RolloutDirective> {
    let Some(rollouts) = &mut state.rollouts else { return Vec::new() };
    if rollouts.term != state.lease.term(now) {
        return Vec::new();
    }
    for report in reports {
        if let Some(controller) = rollouts.controllers.get_mut(&report.back_end) {
            controller.on_report(now, node, report);
        }
    }
    rollouts.controllers.values().filter_map(|controller| controller.directive(now)).collect()
}

/// Handles the leader's instructions.
pub(crate) fn apply(state: &mut RouterState, now: Instant, directives: Vec<RolloutDirective>) {
    let RouterState { rollouts: Some(rollouts), random, .. } = state else { return };
    for directive in directives {
        let back_end = directive.back_end.clone();
        rollouts.host(&back_end, random).set_directive(now, directive);
    }
}
