//! A host's view of the versions of a back end.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{
    BackEndId, Instant, PartsPerMillion, RowVersion, SortedVec, TargetId, TemplateId, millis,
};

use crate::{
    AnswerCounts, AnswerKind, ExposureGate, OwnerUse, RolloutDirective, RolloutOrder, RolloutPhase,
    RolloutReport, RolloutRow, RouteCounts, TargetCounts, VersionClass, VersionPolicy,
};

/// Routes with evidence in one report. Answers on further routes count only towards the sum of the
/// last one, so that a report is bounded.
const ROUTES_MAX: usize = 64;

/// Counts an attempt as in flight to a version until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Rc<Cell<u32>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// A host's view of the versions of a back end: which it may use, how many requests it has sent to
/// them, and their answers since the last report.
#[derive(Debug)]
pub struct HostRollout {
    back_end: BackEndId,
    policy: VersionPolicy,
    row_version: RowVersion,
    directive: Option<(RolloutDirective, Instant)>,
    /// How long a directive applies without a newer one.
    directive_lifetime: Duration,
    gate: ExposureGate,
    /// Attempts in flight by version.
    in_flight: SortedVec<Arc<str>, Rc<Cell<u32>>>,
    requests: u32,
    old: SortedVec<TemplateId, AnswerCounts>,
    new: SortedVec<(TemplateId, Option<TargetId>), AnswerCounts>,
    /// Attempts since the start of the process, by whether they went to the new version.
    sent: [u64; 2],
}

impl HostRollout {
    /// Creates the view of a host that knows no order and no row. `initial_credit` is to be random
    /// between zero and one.
    pub fn new(back_end: BackEndId, directive_lifetime: Duration, initial_credit: f64) -> Self {
        Self {
            back_end,
            policy: VersionPolicy::default(),
            row_version: RowVersion::default(),
            directive: None,
            directive_lifetime,
            gate: ExposureGate::new(initial_credit),
            in_flight: SortedVec::new(),
            requests: 0,
            old: SortedVec::new(),
            new: SortedVec::new(),
            sent: [0; 2],
        }
    }

    /// Sets the order of the operators; `None` if it was withdrawn.
    pub fn set_order(&mut self, order: Option<&RolloutOrder>) {
        self.policy.set_order(order);
    }

    /// Sets the stored row; an older one than the known one has no effect.
    pub fn set_row(&mut self, row: Option<RolloutRow>, version: RowVersion) {
        if version >= self.row_version {
            self.row_version = version;
            self.policy.set_row(row);
        }
    }

    /// Sets the leader's instructions; those of a leader that knows an older row have no effect.
    pub fn set_directive(&mut self, now: Instant, directive: RolloutDirective) {
        let known =
            self.directive.as_ref().map_or(RowVersion::default(), |(known, _)| known.row_version);
        if directive.row_version >= self.row_version.max(known) {
            self.directive = Some((directive, now));
        }
    }

    /// Returns the versions that may be used.
    pub fn policy(&self) -> &VersionPolicy {
        &self.policy
    }

    /// Returns the version of the stored row.
    pub fn row_version(&self) -> RowVersion {
        self.row_version
    }

    /// Returns the phase that this host follows; `None` without an active rollout.
    pub fn phase(&self) -> Option<RolloutPhase> {
        let stored = self.policy.row()?.active()?.phase;
        Some(self.current_directive().map_or(stored, |(directive, _)| directive.phase))
    }

    /// Returns the share of requests for the new version.
    pub fn share(&self, now: Instant) -> PartsPerMillion {
        match (self.phase(), self.current_directive()) {
            (Some(RolloutPhase::Settle | RolloutPhase::Succeeded), _) => PartsPerMillion::ONE,
            (Some(RolloutPhase::Canary), Some((_, received)))
                if now >= *received + self.directive_lifetime =>
            {
                PartsPerMillion::default()
            }
            (Some(RolloutPhase::Canary | RolloutPhase::Shift), Some((directive, _))) => {
                directive.share
            }
            _ => PartsPerMillion::default(),
        }
    }

    /// Returns how a target may be used.
    pub fn class(&self, target: &TargetId, version: &str) -> VersionClass {
        match self.policy.class(version) {
            VersionClass::New if self.is_canary(target) => VersionClass::Canary,
            class => class,
        }
    }

    /// Returns the classes of the targets to try for an attempt, in this order. `has` returns
    /// whether a target of a class is in service.
    pub fn choose(
        &self,
        now: Instant,
        has: impl Fn(VersionClass) -> bool,
    ) -> [Option<VersionClass>; 2] {
        use VersionClass::{Barred, Canary, New, Old};
        let exposed = match self.phase() {
            Some(RolloutPhase::Canary) => Canary,
            _ => New,
        };
        let admitted = self.gate.admits(self.share(now));
        let no_more_old =
            matches!(self.phase(), Some(RolloutPhase::Settle | RolloutPhase::Succeeded));
        match (has(Old), has(New)) {
            (_, true) if no_more_old => [Some(New), None],
            (true, true) if admitted && has(exposed) => [Some(exposed), Some(Old)],
            (true, _) => [Some(Old), None],
            (false, true) => [Some(New), None],
            (false, false) => [Some(Barred), None],
        }
    }

    /// Returns whether a request may be sent to the owner of its key. `has` returns whether a target
    /// of a class is in service.
    pub fn owner_use(
        &self,
        now: Instant,
        owner: &TargetId,
        version: &str,
        has: impl Fn(VersionClass) -> bool,
    ) -> OwnerUse {
        use VersionClass::{Barred, Canary, New, Old};
        let phase = self.phase();
        match self.class(owner, version) {
            New | Canary if phase == Some(RolloutPhase::RolledBack) && has(Old) => OwnerUse::Wait,
            New | Canary if phase == Some(RolloutPhase::Canary) && has(Old) => {
                match self.gate.admits(self.share(now)) {
                    true => OwnerUse::Send,
                    false => OwnerUse::Refuse,
                }
            }
            Old if matches!(phase, Some(RolloutPhase::Settle | RolloutPhase::Succeeded))
                && has(New) =>
            {
                OwnerUse::Wait
            }
            Barred if has(Old) || has(New) => OwnerUse::Wait,
            _ => OwnerUse::Send,
        }
    }

    /// Counts an attempt that is sent to a target of a version as in flight.
    pub fn start_attempt(&mut self, now: Instant, version: &Arc<str>) -> InFlightGuard {
        let is_new = self.policy.class(version) == VersionClass::New;
        self.requests += 1;
        self.gate.count(self.share(now), is_new);
        self.sent[usize::from(is_new)] += 1;
        let count = self.in_flight.get_or_insert_with(Arc::clone(version), Rc::default);
        count.set(count.get() + 1);
        InFlightGuard { count: Rc::clone(count) }
    }

    /// Records an answer of a target, as failed or by the time that it took.
    pub fn on_answer(
        &mut self,
        route: &TemplateId,
        target: &TargetId,
        version: &str,
        elapsed: Duration,
        failed: bool,
        cold: bool,
    ) {
        if self.policy.to().is_none() {
            return;
        }
        let elapsed_ms = millis(elapsed);
        let kind = match (failed, self.slow_over_ms(route)) {
            (true, _) => AnswerKind::Failed,
            // Cold targets are slow at any version.
            (false, Some(limit_ms)) if elapsed_ms > limit_ms && !cold => AnswerKind::Slow,
            _ => AnswerKind::Good,
        };
        let is_known = self.old.contains_key(route);
        let route = match is_known || self.old.len() < ROUTES_MAX {
            true => route.clone(),
            false => self.old.keys().next_back().cloned().unwrap_or_else(|| route.clone()),
        };
        let old = self.old.get_or_insert_with(route.clone(), AnswerCounts::default);
        match self.policy.class(version) {
            VersionClass::New => {
                let target = Some(target).filter(|target| self.is_canary(target)).cloned();
                let new = self.new.get_or_insert_with((route, target), AnswerCounts::default);
                new.record(kind, elapsed_ms);
            }
            _ => old.record(kind, elapsed_ms),
        }
    }

    /// Returns the report on an active rollout and resets its counts.
    pub fn take_report(&mut self) -> Option<RolloutReport> {
        let requests = std::mem::take(&mut self.requests);
        let (old, new) = (std::mem::take(&mut self.old), std::mem::take(&mut self.new));
        let phase = self.phase()?;
        let to = self.policy.to()?;
        let in_flight_old = self.in_flight.iter().filter(|(version, _)| *version != to);
        Some(RolloutReport {
            back_end: self.back_end.clone(),
            row_version: self
                .current_directive()
                .map_or(self.row_version, |(directive, _)| directive.row_version),
            phase,
            requests,
            in_flight_old: in_flight_old.map(|(_, count)| count.get()).sum(),
            old: old
                .into_iter()
                .filter(|(_, counts)| counts.answers > 0)
                .map(|(route, counts)| RouteCounts { route, counts })
                .collect(),
            new: new
                .into_iter()
                .map(|((route, target), counts)| TargetCounts { route, target, counts })
                .collect(),
        })
    }

    /// Returns the attempts since the start of the process: to old versions and to new ones.
    pub fn sent(&self) -> [u64; 2] {
        self.sent
    }

    fn is_canary(&self, target: &TargetId) -> bool {
        self.current_directive().is_some_and(|(directive, _)| directive.canaries.contains(target))
    }

    fn slow_over_ms(&self, route: &TemplateId) -> Option<u64> {
        let (directive, _) = self.current_directive()?;
        let found = directive.slow_over_ms.iter().find(|(known, _)| known == route);
        found.map(|(_, limit_ms)| *limit_ms)
    }

    /// Returns the newest instructions unless the stored row is newer.
    fn current_directive(&self) -> Option<&(RolloutDirective, Instant)> {
        self.directive.as_ref().filter(|(directive, _)| directive.row_version >= self.row_version)
    }
}
