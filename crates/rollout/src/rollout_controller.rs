//! Decides the rollout of one back end, on the leader.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{
    BackEndId, Instant, KeyHash, NodeId, PartsPerMillion, RowVersion, SortedVec, StoreTime,
    TargetId, ZoneId, rendezvous_score,
};

use crate::{
    Evidence, Inventory, MemberRole, Rollout, RolloutAction, RolloutDirective, RolloutOrder,
    RolloutPhase, RolloutReport, RolloutRow, RolloutSettings, RolloutStatus, VersionClass,
    VersionPolicy,
};

/// Part of the exposure share that is used in the canary phase, in percent. The rest covers the
/// first steps of the shift.
const CANARY_SHARE_PERCENT: u32 = 60;

/// Part of the exposure slack that is spent on evidence in the canary phase, in percent. Back ends
/// with few requests would otherwise get too few answers. The rest covers the differences between
/// the hosts' gates.
const CANARY_SLACK_PERCENT: f64 = 50.0;

/// Largest share in the canary phase, for back ends with few requests.
const CANARY_SHARE_MAX: f64 = 0.3;

/// The rate of requests is known after this time.
const RATE_KNOWN_AFTER: Duration = Duration::from_millis(1_200);

/// Part of the duration after which a version with enough good answers leaves the canary phase.
const CANARY_END: f64 = 0.5;

/// Part of the duration after which a version without a fault leaves the canary phase although it
/// has few answers.
const CANARY_END_WITHOUT_EVIDENCE: f64 = 0.6;

/// Part of the duration that the shift takes.
const SHIFT_PART: f64 = 0.16;

/// Part of the duration by which the shift ends, if the new targets became available late.
const SHIFT_END_LATEST: f64 = 0.8;

/// Part of the duration after which a version succeeds although it has few answers, unless these leave
/// it in doubt: a version that always fails otherwise succeeds for lack of requests.
const SETTLE_END_WITHOUT_EVIDENCE: f64 = 0.85;

/// Part of the duration after which a version succeeds although it has no answer at all. Requests on
/// a keyed back end first wait for the new owners of their keys, and a late shift ends only at
/// [`SHIFT_END_LATEST`].
const SETTLE_END_WITHOUT_ANSWERS: f64 = 0.9;

/// Shares of the steps of the shift. With the canary phase, the first two take 8 of 100 requests, so
/// that a version whose fault appears under load stays within the exposure share.
const SHIFT_SHARES: [f64; 2] = [0.2, 0.4];

/// A rollout fails if no target of the new version has been in service for this long after one was.
const NEW_GONE_AFTER: Duration = Duration::from_millis(1_500);

/// A leader does not complete a rollout within this time after it took the lead. All hosts that it
/// does not know yet report to it in the meantime.
const HOSTS_KNOWN_AFTER: Duration = Duration::from_millis(1_500);

/// A directive on a decided rollout is repeated for this long; from then on the hosts have the row.
const DECISION_REPEATED: Duration = Duration::from_secs(10);

/// Least number of canaries, if there are as many new targets: the fault of a single target can then
/// be told from one of the version.
const CANARIES_MIN: usize = 2;

/// Old targets give up all their keys to canaries only if there are more than this many for each.
const OLD_PER_CANARY_MIN: usize = 3;

/// What a host last reported.
#[derive(Clone, Copy, Debug)]
struct HostState {
    reported_at: Instant,
    /// Whether it follows the last phase and has no request in flight to an old target.
    settled: bool,
}

/// Decides the rollout of one back end during one term of the leader.
///
/// All state that must outlive the term is in the stored row, which is written before a phase takes
/// effect, under the condition that nobody else has written it.
#[derive(Debug)]
pub struct RolloutController {
    back_end: BackEndId,
    settings: RolloutSettings,
    started_at: Instant,
    order: Option<RolloutOrder>,
    /// The stored row and its version; `None` until it was read in this term.
    row: Option<(RolloutRow, RowVersion)>,
    /// A time of the store's clock, and when it was read.
    clock: Option<(StoreTime, Instant)>,
    /// Whether an operation is in progress.
    busy: bool,
    /// The status that is known to be stored.
    status: Option<RolloutStatus>,
    evidence: Evidence,
    hosts: SortedVec<NodeId, HostState>,
    /// Attempts of all hosts since the start of the rollout or of the term.
    requests: u64,
    counted_since: Instant,
    canaries: Vec<TargetId>,
    /// When a target of the new version was last seen in service.
    new_seen_at: Option<Instant>,
    decided_at: Instant,
    /// Whether the write of the success was requested; it may be repeated after the time limit.
    success_requested: bool,
}

impl RolloutController {
    /// Creates the controller of a back end at the start of a term.
    pub fn new(now: Instant, back_end: BackEndId, settings: RolloutSettings) -> Self {
        Self {
            back_end,
            settings,
            started_at: now,
            order: None,
            row: None,
            clock: None,
            busy: false,
            status: None,
            evidence: Evidence::default(),
            hosts: SortedVec::new(),
            requests: 0,
            counted_since: now,
            canaries: Vec::new(),
            new_seen_at: None,
            decided_at: now,
            success_requested: false,
        }
    }

    /// Returns the stored row.
    pub fn row(&self) -> Option<&RolloutRow> {
        self.row.as_ref().map(|(row, _)| row)
    }

    /// Returns the evidence of the active rollout.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the version that the back end moves to: that of the active rollout, or of the order.
    pub fn to(&self) -> Option<&Arc<str>> {
        let active = self.row().and_then(RolloutRow::active).map(|rollout| &rollout.to);
        active.or(self.order.as_ref().map(|order| &order.to))
    }

    /// Sets the order of the operators; `None` if there is none.
    pub fn set_order(&mut self, order: Option<RolloutOrder>) {
        self.order = order;
    }

    /// Handles the report of a host.
    pub fn on_report(&mut self, now: Instant, host: &NodeId, report: &RolloutReport) {
        let Some((row, version)) = &self.row else { return };
        let Some(active) = row.active() else { return };
        let settled = active.phase == RolloutPhase::Settle
            && report.phase == RolloutPhase::Settle
            && report.row_version >= *version
            && report.in_flight_old == 0;
        self.hosts.insert(host.clone(), HostState { reported_at: now, settled });
        self.requests += u64::from(report.requests);
        self.evidence.add(now, report);
    }

    /// Handles the result of reading the row. `None` means that there is none.
    pub fn on_row(&mut self, row: Option<(RolloutRow, RowVersion)>) {
        self.busy = false;
        self.row = Some(row.unwrap_or_default());
    }

    /// Handles the result of reading the store's clock, which was requested at `sent_at`.
    pub fn on_clock(&mut self, sent_at: Instant, time: StoreTime) {
        self.busy = false;
        self.clock = Some((time, sent_at));
    }

    /// Handles the successful write of the row.
    pub fn on_row_written(&mut self, now: Instant, row: RolloutRow, version: RowVersion) {
        self.busy = false;
        let started = |row: &RolloutRow| row.rollout.as_ref().map(|rollout| rollout.started);
        if self.row().is_none_or(|before| started(before) != started(&row)) {
            self.evidence = Evidence::default();
            self.hosts = SortedVec::new();
            self.requests = 0;
            self.counted_since = now;
            self.canaries.clear();
            self.new_seen_at = None;
            self.success_requested = false;
        }
        self.decided_at = now;
        self.row = Some((row, version));
    }

    /// Handles a write of the row that failed because another process has written it, or whose
    /// outcome is unknown. The row is read again.
    pub fn on_row_uncertain(&mut self) {
        self.busy = false;
        self.row = None;
    }

    /// Handles the successful write of the status.
    pub fn on_status_written(&mut self, status: RolloutStatus) {
        self.busy = false;
        self.status = Some(status);
    }

    /// Handles an operation that failed without an effect; it is requested again.
    pub fn on_failed(&mut self) {
        self.busy = false;
    }

    /// Advances the state to `now` and returns the operation to execute.
    pub fn tick(&mut self, now: Instant, inventory: &Inventory) -> Option<RolloutAction> {
        self.update_targets(now, inventory);
        if self.busy {
            return None;
        }
        let action = self.next_action(now, inventory);
        self.busy = action.is_some();
        action
    }

    fn next_action(&mut self, now: Instant, inventory: &Inventory) -> Option<RolloutAction> {
        let Some((row, expected)) = self.row.clone() else {
            return Some(RolloutAction::ReadRow);
        };
        let write = |row, cause| Some(RolloutAction::WriteRow { row, expected, cause });
        if expected == RowVersion::default() {
            let baseline = self.baseline(inventory);
            let due = self.order.is_some() || inventory.settled;
            return (due && !baseline.is_empty()).then_some(RolloutAction::WriteRow {
                row: RolloutRow { baseline, rollout: None },
                expected,
                cause: "first",
            });
        }
        let needs_clock = self.order.is_some() || row.active().is_some();
        let Some(time) = self.store_time(now) else {
            return needs_clock.then_some(RolloutAction::ReadClock);
        };
        if let Some(active) = row.active() {
            let next = match &self.order {
                Some(order) if active.executes(order) => self.next_phase(now, active, inventory),
                Some(_) => Some((RolloutPhase::RolledBack, "another order")),
                None => Some((RolloutPhase::RolledBack, "withdrawn")),
            };
            if let Some((phase, cause)) = next {
                return write(Self::in_phase(&row, phase, time), cause);
            }
        }
        if let Some(status) = self.due_status(&row) {
            return Some(RolloutAction::WriteStatus(status));
        }
        if row.active().is_some() {
            return None;
        }
        match &self.order {
            Some(order) if row.rollout.as_ref().is_some_and(|known| known.executes(order)) => None,
            Some(order) => write(Self::started(&row, order, time, inventory), "ordered"),
            // A later order with the same content is a new one.
            None if row.rollout.is_some() => {
                write(RolloutRow { rollout: None, ..row }, "order removed")
            }
            None => None,
        }
    }

    /// Returns the versions that were there before the order; all of them if there is none other.
    fn baseline(&self, inventory: &Inventory) -> Vec<Arc<str>> {
        let ordered = self.order.as_ref().map(|order| &order.to);
        let before: Vec<Arc<str>> = inventory
            .versions
            .iter()
            .filter(|version| Some(*version) != ordered)
            .cloned()
            .collect();
        match before.is_empty() {
            true => inventory.versions.clone(),
            false => before,
        }
    }

    /// Returns the row of a rollout that starts. A version that is the only one has succeeded.
    fn started(
        row: &RolloutRow,
        order: &RolloutOrder,
        time: StoreTime,
        inventory: &Inventory,
    ) -> RolloutRow {
        let is_only = row.baseline.contains(&order.to)
            && inventory.versions.iter().all(|version| *version == order.to);
        let rollout = Rollout {
            to: Arc::clone(&order.to),
            duration: order.duration,
            phase: RolloutPhase::Canary,
            started: time,
            phase_started: time,
        };
        let mut baseline = row.baseline.clone();
        if baseline.len() > 1 {
            baseline.retain(|version| *version != order.to);
        }
        let row = RolloutRow { baseline, rollout: Some(rollout) };
        match is_only {
            true => Self::in_phase(&row, RolloutPhase::Succeeded, time),
            false => row,
        }
    }

    fn in_phase(row: &RolloutRow, phase: RolloutPhase, time: StoreTime) -> RolloutRow {
        let rollout =
            row.rollout.clone().map(|rollout| Rollout { phase, phase_started: time, ..rollout });
        let baseline = match (phase, &rollout) {
            (RolloutPhase::Succeeded, Some(rollout)) => vec![Arc::clone(&rollout.to)],
            _ => row.baseline.clone(),
        };
        RolloutRow { baseline, rollout }
    }

    fn due_status(&self, row: &RolloutRow) -> Option<RolloutStatus> {
        let status = RolloutStatus::of(&self.back_end, row.rollout.as_ref()?);
        (self.status.as_ref() != Some(&status)).then_some(status)
    }

    /// Returns the next phase of the active rollout, if it is due, and why.
    fn next_phase(
        &mut self,
        now: Instant,
        active: &Rollout,
        inventory: &Inventory,
    ) -> Option<(RolloutPhase, &'static str)> {
        let time = self.store_time(now)?;
        let part = part(time.saturating_since(active.started), active.duration);
        if let Some(fault) = self.evidence.fault() {
            return Some((RolloutPhase::RolledBack, fault));
        }
        let was_seen =
            self.new_seen_at.or((active.phase != RolloutPhase::Canary).then_some(self.started_at));
        if was_seen.is_some_and(|seen| now >= seen + NEW_GONE_AFTER) {
            return Some((RolloutPhase::RolledBack, "no target of the new version"));
        }
        let settle_end = match self.evidence.new_answers() {
            0 => SETTLE_END_WITHOUT_ANSWERS,
            _ => SETTLE_END_WITHOUT_EVIDENCE,
        };
        let is_known =
            self.evidence.is_sufficient() || part >= settle_end && !self.evidence.is_doubtful();
        if active.phase == RolloutPhase::Settle && is_known && self.is_settled(now, inventory) {
            self.success_requested |= part < 1.0;
            if self.success_requested {
                return Some((RolloutPhase::Succeeded, "settled"));
            }
        }
        if part >= 1.0 {
            return Some((RolloutPhase::RolledBack, "time limit"));
        }
        let has_warm = inventory.new.iter().any(|target| !target.cold);
        let has_cold = inventory.new.iter().any(|target| target.cold);
        let sufficient = self.evidence.is_sufficient();
        match active.phase {
            RolloutPhase::Canary if !has_warm => None,
            RolloutPhase::Canary if part >= CANARY_END && sufficient => {
                Some((RolloutPhase::Shift, "enough good answers"))
            }
            RolloutPhase::Canary if part >= CANARY_END_WITHOUT_EVIDENCE => {
                Some((RolloutPhase::Shift, "no fault"))
            }
            RolloutPhase::Shift if self.shift_step(time, active).is_none() => {
                let waits = (has_cold || !sufficient) && part < SHIFT_END_LATEST;
                (!waits).then_some((RolloutPhase::Settle, "shifted"))
            }
            _ => None,
        }
    }

    /// Returns the step of the shift; `None` after the last one.
    fn shift_step(&self, time: StoreTime, active: &Rollout) -> Option<usize> {
        let entered = part(active.phase_started.saturating_since(active.started), active.duration);
        let length = SHIFT_PART.min((SHIFT_END_LATEST - entered).max(0.0));
        let passed = part(time.saturating_since(active.phase_started), active.duration);
        let step = (passed / (length / SHIFT_SHARES.len() as f64)) as usize;
        (passed < length && step < SHIFT_SHARES.len()).then_some(step)
    }

    /// Returns whether all hosts confirmed that no request is in flight to an old target, and none
    /// of these owns a key. A host that stopped reporting counts once its longest request has ended.
    fn is_settled(&self, now: Instant, inventory: &Inventory) -> bool {
        let reporting = inventory.hosts.iter().all(|host| self.hosts.contains_key(host));
        let settled = self.hosts.iter().all(|(host, state)| {
            let is_gone = !inventory.hosts.contains(host);
            state.settled || is_gone && now >= state.reported_at + inventory.longest_request
        });
        reporting
            && settled
            && !inventory.old_owns_keys
            && now >= self.started_at + HOSTS_KNOWN_AFTER
    }

    fn store_time(&self, now: Instant) -> Option<StoreTime> {
        let (time, read_at) = self.clock?;
        let passed_ms = now.saturating_since(read_at).as_millis() as u64;
        Some(StoreTime::from_ms(time.as_ms() + passed_ms))
    }

    fn update_targets(&mut self, now: Instant, inventory: &Inventory) {
        if !inventory.new.is_empty() {
            self.new_seen_at = Some(now);
        }
        if self.row().is_some_and(|row| row.active().is_some()) {
            self.canaries = choose_canaries(self.settings.exposure_share, inventory);
        }
    }

    /// Returns the instructions to hosts; `None` if there is nothing to tell.
    pub fn directive(&self, now: Instant) -> Option<RolloutDirective> {
        let (row, row_version) = self.row.as_ref()?;
        let rollout = row.rollout.as_ref()?;
        let is_active = rollout.phase.is_active();
        if !is_active && now >= self.decided_at + DECISION_REPEATED {
            return None;
        }
        Some(RolloutDirective {
            back_end: self.back_end.clone(),
            row_version: *row_version,
            phase: rollout.phase,
            share: self.share(now, rollout),
            canaries: if is_active { self.canaries.clone() } else { Vec::new() },
            slow_over_ms: if is_active { self.evidence.slow_over_ms() } else { Vec::new() },
        })
    }

    fn share(&self, now: Instant, rollout: &Rollout) -> PartsPerMillion {
        match rollout.phase {
            RolloutPhase::Canary => self.canary_share(now, rollout),
            RolloutPhase::Shift => {
                let step = self.store_time(now).map(|time| self.shift_step(time, rollout));
                let step = step.flatten().unwrap_or(SHIFT_SHARES.len() - 1);
                PartsPerMillion::from_share(SHIFT_SHARES[step])
            }
            RolloutPhase::Settle | RolloutPhase::Succeeded => PartsPerMillion::ONE,
            RolloutPhase::RolledBack => PartsPerMillion::default(),
        }
    }

    /// Returns the share in the canary phase: a part of the exposure share, and as much more as
    /// spends a part of the slack evenly over the phase.
    fn canary_share(&self, now: Instant, rollout: &Rollout) -> PartsPerMillion {
        let base = self.settings.exposure_share.of(1.0) * f64::from(CANARY_SHARE_PERCENT) / 100.0;
        let counted_s = now.saturating_since(self.counted_since).as_secs_f64();
        if counted_s < RATE_KNOWN_AFTER.as_secs_f64() {
            return PartsPerMillion::from_share(base);
        }
        let slack = f64::from(self.settings.exposure_slack.get()) * CANARY_SLACK_PERCENT / 100.0;
        let per_s = (self.requests as f64 / counted_s).max(1.0);
        let expected = per_s * rollout.duration.as_secs_f64() * CANARY_END_WITHOUT_EVIDENCE;
        let share = base + slack / expected.max(1.0);
        PartsPerMillion::from_share(share.min(CANARY_SHARE_MAX.max(base)))
    }

    /// Returns, for targets of a keyed back end that are in service, with their versions, what each
    /// may own. New targets get the keys that old ones give up, step by step.
    pub fn roles(&self, now: Instant, targets: &[(&TargetId, &str)]) -> Vec<MemberRole> {
        let mut policy = VersionPolicy::default();
        policy.set_order(self.order.as_ref());
        let stored = self.row.as_ref().filter(|(_, version)| *version != RowVersion::default());
        policy.set_row(stored.map(|(row, _)| row.clone()));
        let active = self.row().and_then(RolloutRow::active);
        let phase = active.map(|active| active.phase);
        let of_class = |class: VersionClass| {
            let found = targets.iter().filter(|(_, version)| policy.class(version) == class);
            found.map(|(target, _)| *target).collect::<Vec<_>>()
        };
        let (mut old, new) = (of_class(VersionClass::Old), of_class(VersionClass::New));
        old.sort_by_key(|target| std::cmp::Reverse(canary_score(target)));
        let share = active.map_or(0.0, |active| self.share(now, active).of(1.0));
        let (exposed, giving_up) = match phase {
            Some(RolloutPhase::Canary) => {
                let canaries = self.canaries.len();
                // With few old targets, the loss of one would overload the others.
                let enough = old.len() > canaries * OLD_PER_CANARY_MIN;
                (canaries, if enough { canaries } else { 0 })
            }
            Some(RolloutPhase::Shift) => (new.len(), (share * old.len() as f64).ceil() as usize),
            Some(RolloutPhase::Settle) if !new.is_empty() => (new.len(), old.len()),
            _ => (new.len(), 0),
        };
        let capacity = match phase {
            Some(RolloutPhase::Canary | RolloutPhase::Shift) => {
                (share * old.len() as f64 / exposed.max(1) as f64).min(1.0)
            }
            _ => 1.0,
        };
        let role = |target: &TargetId, version: &str| match policy.class(version) {
            VersionClass::Old if old.iter().take(giving_up).any(|id| *id == target) => {
                MemberRole::LEAVING
            }
            VersionClass::New
                if phase == Some(RolloutPhase::Canary) && !self.canaries.contains(target) =>
            {
                MemberRole::LEAVING
            }
            VersionClass::New | VersionClass::Canary => {
                MemberRole { capacity, ..MemberRole::OWNER }
            }
            VersionClass::Barred if !old.is_empty() || !new.is_empty() => MemberRole::LEAVING,
            VersionClass::Old | VersionClass::Barred => MemberRole::OWNER,
        };
        targets.iter().map(|(target, version)| role(target, version)).collect()
    }
}

/// Returns the rank of a target among the canaries, or among the old targets that give up their keys.
fn canary_score(target: &TargetId) -> u64 {
    rendezvous_score(KeyHash::of(target.as_str().as_bytes()).get(), "canary")
}

/// Returns a time as a part of a duration.
fn part(passed: Duration, duration: Duration) -> f64 {
    passed.as_secs_f64() / duration.as_secs_f64().max(f64::EPSILON)
}

/// Chooses as many new targets as their share of the requests is of the old targets, so that each
/// is loaded like an old one; at least one in each zone that has new targets. The choice is stable
/// while targets join.
fn choose_canaries(share: PartsPerMillion, inventory: &Inventory) -> Vec<TargetId> {
    let by_share = share.of(inventory.old as f64 * f64::from(CANARY_SHARE_PERCENT) / 100.0);
    let mut ranked: Vec<_> = inventory.new.iter().collect();
    ranked.sort_by_key(|new| std::cmp::Reverse(canary_score(&new.target)));
    if inventory.keyed {
        // Requests on a canary's keys beyond the share are refused, so there are no more than needed.
        let wanted = (by_share as usize).max(1);
        return ranked.into_iter().take(wanted).map(|new| new.target.clone()).collect();
    }
    let wanted = (by_share.ceil() as usize).max(CANARIES_MIN);
    let mut zones: Vec<&ZoneId> = Vec::new();
    let (mut first_of_zone, mut others) = (Vec::new(), Vec::new());
    for new in ranked {
        match zones.contains(&&new.zone) {
            true => others.push(new.target.clone()),
            false => {
                zones.push(&new.zone);
                first_of_zone.push(new.target.clone());
            }
        }
    }
    let more = wanted.saturating_sub(first_of_zone.len());
    first_of_zone.into_iter().chain(others.into_iter().take(more)).collect()
}
