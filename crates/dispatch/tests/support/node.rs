//! Simulated node: passes events to the state machines under test and carries out their outputs.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Incarnation, Instant, Outcome, Reason, Requests, TargetId, ZoneId};
use wagtailmoor_dispatch::{
    AttemptId, ChoiceRequest, ClaimId, CrashLedger, CrashSettings, Fingerprint, InFlight,
    LatencyQuantile, LoadReport, Member, Observation, PlanInput, PlanOutput, PlanRequest,
    PlanSettings, PowerOfTwo, RecordKeeper, RecordKey, RecordOutput, RecordRefusal, RecordSettings,
    RecordState, RequestPlan, ResponseHead, SuspectReport, TargetSettings, TargetTable, TimeBucket,
};

use super::budget::Budget;
use super::fault::Fault;
use super::history::{History, Reply, Violation};
use super::world::{Arrival, Event};

pub(crate) const DEADLINE: Duration = Duration::from_millis(300);
const COLD_STEP: Duration = Duration::from_millis(200);
const COLD_CONCURRENCY: u32 = 1;

/// Event that a node handles.
pub(crate) enum NodeEvent {
    Submit(usize),
    Plan(u64, PlanEvent),
    Keeper(KeeperEvent),
    Gossip(Vec<SuspectReport>, KnownLosses),
    Report(TargetId, LoadReport),
}

pub(crate) enum PlanEvent {
    Connected(AttemptId),
    Lost(AttemptId),
    Head { attempt: AttemptId, head: ResponseHead, content: usize, crossed: bool },
    BodyEnded(AttemptId),
    ClientGone,
    Timer,
}

pub(crate) enum KeeperEvent {
    Written(wagtailmoor_dispatch::CallId, wagtailmoor_dispatch::WriteResult),
    Read(wagtailmoor_dispatch::CallId, wagtailmoor_dispatch::ReadResult),
    Tick,
}

/// Targets on which each fingerprint has a known loss.
pub(crate) type KnownLosses = BTreeMap<Fingerprint, BTreeSet<TargetId>>;

/// Simulation state that a node may use while it handles an event.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) fault: Fault,
    pub(crate) random: &'a mut ChaCha8Rng,
    pub(crate) history: &'a mut History,
    pub(crate) losses: &'a mut KnownLosses,
    pub(crate) events: Vec<(Duration, Event)>,
    pub(crate) replies: Vec<usize>,
}

/// Counts an attempt independently of the target table. Leaks the table's guard if `leaks_guard`.
pub(crate) struct CountedGuard {
    guard: Option<InFlight<()>>,
    count: Rc<Cell<u32>>,
    leaks_guard: bool,
}

impl Drop for CountedGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        match self.guard.take() {
            Some(guard) if self.leaks_guard => std::mem::forget(guard),
            guard => drop(guard),
        }
    }
}

pub(crate) struct Running {
    plan: RequestPlan<CountedGuard>,
    submission: usize,
    claim: Option<(RecordKey, ClaimId)>,
    content: Option<usize>,
    pub(crate) sent: Option<AttemptId>,
}

pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) incarnation: u32,
    pub(crate) up: bool,
    pub(crate) paused_until: Instant,
    pub(crate) plans: BTreeMap<u64, Running>,
    pub(crate) ledger: CrashLedger,
    pub(crate) known_losses: KnownLosses,
    pub(crate) targets: TargetTable,
    keeper: RecordKeeper<ChaCha8Rng>,
    waiting: BTreeMap<ClaimId, (usize, RecordKey)>,
    settings: PlanSettings,
    budget: Budget,
    quantile: LatencyQuantile,
    cold_since: BTreeMap<TargetId, Instant>,
    in_flight_counts: BTreeMap<TargetId, Rc<Cell<u32>>>,
    next_plan: u64,
    keeper_timer: Option<Instant>,
}

impl Node {
    pub(crate) fn new(
        index: usize,
        incarnation: u32,
        seed: u64,
        members: Vec<Member>,
        settings: PlanSettings,
        fault: Fault,
    ) -> Self {
        let zone: ZoneId = format!("z{}", index % 2).parse().expect("valid id");
        let target_settings = TargetSettings {
            cold_concurrency: Requests::new(COLD_CONCURRENCY),
            cold_step: COLD_STEP,
            ..TargetSettings::default()
        };
        let mut targets = TargetTable::new(zone, target_settings);
        targets.set_members(Instant::default(), members);
        let name = format!("n{index}").parse().expect("valid id");
        let seed = seed ^ ((index as u64) << 32) ^ ((u64::from(incarnation) + 1) << 48);
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            index,
            incarnation,
            up: true,
            paused_until: Instant::default(),
            plans: BTreeMap::new(),
            ledger: CrashLedger::new(CrashSettings::default()),
            known_losses: KnownLosses::new(),
            targets,
            keeper: RecordKeeper::new(name, RecordSettings::default(), random),
            waiting: BTreeMap::new(),
            settings,
            budget: Budget::new(fault == Fault::NoBudget),
            quantile: LatencyQuantile::new(),
            cold_since: BTreeMap::new(),
            in_flight_counts: BTreeMap::new(),
            next_plan: 0,
            keeper_timer: None,
        }
    }

    pub(crate) fn handle(&mut self, cx: &mut Context<'_>, event: NodeEvent) {
        match event {
            NodeEvent::Submit(submission) => self.submit(cx, submission),
            NodeEvent::Plan(plan, event) => self.plan_event(cx, plan, event),
            NodeEvent::Keeper(event) => self.keeper_event(cx, event),
            NodeEvent::Gossip(reports, known_losses) => {
                self.ledger.merge(cx.now, &reports);
                for (fingerprint, targets) in known_losses {
                    self.known_losses.entry(fingerprint).or_default().extend(targets);
                }
            }
            NodeEvent::Report(target, report) => {
                let cold_before = self.targets.cold_cause(&target);
                self.targets.on_load_report(cx.now, &target, report);
                if cold_before.is_none() && self.targets.cold_cause(&target).is_some() {
                    self.cold_since.insert(target, cx.now);
                }
            }
        }
    }

    /// Checks that no request is counted as in flight after all plans have ended.
    pub(crate) fn check_guards(&self, history: &mut History) {
        let ids: Vec<TargetId> =
            self.targets.members().map(|member| member.target.clone()).collect();
        for target in ids.iter().filter(|_| self.plans.is_empty()) {
            let left = self.targets.in_flight(target);
            history.require(left == Requests::new(0), Violation::GuardLeft);
        }
    }

    fn fingerprint(cx: &Context<'_>, submission: usize) -> Fingerprint {
        let operation = &cx.history.operations[cx.history.submissions[submission].operation];
        Fingerprint::of(7, Some(&operation.customer), "POST", &operation.path, b"")
    }

    fn submit(&mut self, cx: &mut Context<'_>, submission: usize) {
        let fingerprint = Self::fingerprint(cx, submission);
        if self.refuses(cx, fingerprint) {
            return self.reply(cx, submission, Reply::Crashes);
        }
        let number = cx.history.submissions[submission].operation;
        let operation = &cx.history.operations[number];
        if operation.idempotent || cx.fault == Fault::RunWithoutRecord {
            return self.start_plan(cx, submission, None);
        }
        let key = RecordKey::of(&operation.customer, &number.to_le_bytes());
        let bucket = TimeBucket::new(1);
        let (claim, out) = self.keeper.claim(cx.now, key.clone(), cx.now + DEADLINE, bucket);
        self.waiting.insert(claim, (submission, key));
        self.keeper_outputs(cx, out);
    }

    fn refuses(&mut self, cx: &mut Context<'_>, fingerprint: Fingerprint) -> bool {
        let refuses = cx.fault != Fault::IgnoreLedger && self.ledger.refuses(cx.now, fingerprint);
        let losses = cx.losses.get(&fingerprint).map_or(0, BTreeSet::len);
        cx.history.require(!refuses || losses >= 2, Violation::WrongRefusal);
        refuses
    }

    fn start_plan(
        &mut self,
        cx: &mut Context<'_>,
        submission: usize,
        claim: Option<(RecordKey, ClaimId)>,
    ) {
        let operation = cx.history.submissions[submission].operation;
        let request = PlanRequest {
            id: AttemptId::new(cx.random.random()),
            idempotent: cx.history.operations[operation].idempotent,
            replayable: true,
            deadline: cx.now + DEADLINE,
            hedge_after: self.quantile.p95().or(Some(Duration::from_millis(40))),
        };
        cx.history.first_attempts += 1;
        let mut plan = RequestPlan::new(self.settings.clone(), request);
        let out = plan.start(cx.now, &mut self.budget);
        let number = self.next_plan;
        self.next_plan += 1;
        self.plans.insert(number, Running { plan, submission, claim, content: None, sent: None });
        if cx.random.random_range(0..100) < 3 {
            let wait = Duration::from_millis(cx.random.random_range(0..30));
            self.schedule(cx, wait, NodeEvent::Plan(number, PlanEvent::ClientGone));
        }
        self.plan_outputs(cx, number, out);
    }

    fn plan_event(&mut self, cx: &mut Context<'_>, number: u64, event: PlanEvent) {
        let Some(submission) = self.plans.get(&number).map(|running| running.submission) else {
            return;
        };
        let refused = self.refuses(cx, Self::fingerprint(cx, submission));
        let Some(running) = self.plans.get_mut(&number) else { return };
        let mut head_content = None;
        let input = match event {
            PlanEvent::Connected(attempt) if refused => {
                PlanInput::NoTarget { attempt, reason: Reason::CrashesTargets }
            }
            PlanEvent::Connected(attempt) => PlanInput::Connected { attempt },
            PlanEvent::Lost(attempt) => PlanInput::Lost { attempt },
            PlanEvent::Head { attempt, head, content, crossed } => {
                head_content = Some(content);
                let attempt = match running.sent {
                    Some(own) if crossed && cx.fault == Fault::ReuseCrossed => own,
                    _ => attempt,
                };
                PlanInput::Head { attempt, head }
            }
            PlanEvent::BodyEnded(attempt) => PlanInput::BodyEnded { attempt },
            PlanEvent::ClientGone => PlanInput::ClientGone,
            PlanEvent::Timer => PlanInput::Timer,
        };
        let out = running.plan.handle(cx.now, input, &mut self.budget);
        if out.iter().any(|output| matches!(output, PlanOutput::Answer { .. })) {
            running.content = head_content;
        }
        self.plan_outputs(cx, number, out);
    }

    fn plan_outputs(&mut self, cx: &mut Context<'_>, number: u64, out: Vec<PlanOutput>) {
        let mut queue = VecDeque::from(out);
        while let Some(output) = queue.pop_front() {
            let Some(input) = self.plan_output(cx, number, output) else { continue };
            let Some(running) = self.plans.get_mut(&number) else { return };
            queue.extend(running.plan.handle(cx.now, input, &mut self.budget));
        }
    }

    fn plan_output(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        output: PlanOutput,
    ) -> Option<PlanInput<CountedGuard>> {
        let submission = self.plans.get(&number)?.submission;
        let fingerprint = Self::fingerprint(cx, submission);
        match output {
            PlanOutput::Choose { attempt } => return Some(self.choose(cx, number, attempt)),
            PlanOutput::Connect { attempt, target } => {
                self.connect(cx, number, attempt, target);
            }
            PlanOutput::Send { attempt } => {
                self.send(cx, number, submission, attempt);
                let suppressed = cx.fault == Fault::RetryAfterBytes;
                return (!suppressed).then_some(PlanInput::BytesSent { attempt });
            }
            PlanOutput::SetTimer { at } => {
                let wait = at.saturating_since(cx.now);
                self.schedule(cx, wait, NodeEvent::Plan(number, PlanEvent::Timer));
            }
            PlanOutput::Cancel { .. } => {}
            PlanOutput::Answer { .. } => self.ledger.record_answer(cx.now, fingerprint),
            PlanOutput::Observe { target, observation } => self.observe(cx, &target, observation),
            PlanOutput::Lost { target, assigned_at } => {
                cx.losses.entry(fingerprint).or_default().insert(target.clone());
                self.known_losses.entry(fingerprint).or_default().insert(target.clone());
                let request_blamed =
                    self.ledger.record_loss(cx.now, fingerprint, &target, Incarnation::default());
                self.observe(
                    cx,
                    &target,
                    Observation::ConnectionLost { assigned_at, request_blamed },
                );
            }
            PlanOutput::Finish(verdict) => {
                let running = self.plans.remove(&number)?;
                let content = running.content;
                if let Some((key, claim)) = &running.claim {
                    let suppressed = cx.fault == Fault::RecordUnknownAsNotRun
                        && verdict.outcome == Outcome::Unknown;
                    let state = match suppressed {
                        true => RecordState::NotRun { reason: Reason::TargetLost },
                        false => RecordState::from(&verdict),
                    };
                    let out = self.keeper.finish(cx.now, key, *claim, state);
                    self.keeper_outputs(cx, out);
                }
                self.reply(cx, submission, Reply::Ended { verdict, content });
            }
        }
        None
    }

    fn choose(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        attempt: AttemptId,
    ) -> PlanInput<CountedGuard> {
        let running = &self.plans[&number];
        let fingerprint = Self::fingerprint(cx, running.submission);
        let avoid = running.plan.tried();
        let operation = cx.history.submissions[running.submission].operation;
        let idempotent = cx.history.operations[operation].idempotent;
        if self.refuses(cx, fingerprint) {
            return PlanInput::NoTarget { attempt, reason: Reason::CrashesTargets };
        }
        let choice_request = ChoiceRequest { idempotent, avoid: &avoid };
        let mut permits = |_: Instant, _: &TargetId| Some(());
        let chosen =
            self.targets.choose(cx.now, choice_request, &mut PowerOfTwo, &mut permits, cx.random);
        let Some(chosen) = chosen else {
            return PlanInput::NoTarget { attempt, reason: Reason::TargetUnavailable };
        };
        let target = chosen.target;
        let count = Rc::clone(self.in_flight_counts.entry(target.clone()).or_default());
        count.set(count.get() + 1);
        let cold = self.cold_since.get(&target).is_some_and(|since| cx.now < *since + COLD_STEP);
        cx.history.require(!cold || count.get() <= COLD_CONCURRENCY, Violation::ColdOverload);
        let leaks_guard = cx.fault == Fault::ForgetGuard;
        let guard = CountedGuard { guard: Some(chosen.in_flight), count, leaks_guard };
        PlanInput::Assigned { attempt, target, guard, send_before: None }
    }

    fn connect(&mut self, cx: &mut Context<'_>, number: u64, attempt: AttemptId, target: TargetId) {
        let from = (self.index, self.incarnation);
        cx.events.push((
            Duration::from_micros(500),
            Event::Connect { from, plan: number, attempt, target },
        ));
    }

    fn send(&mut self, cx: &mut Context<'_>, number: u64, submission: usize, attempt: AttemptId) {
        let fingerprint = Self::fingerprint(cx, submission);
        let crashes_targets =
            cx.history.operations[cx.history.submissions[submission].operation].crashes_targets;
        let known_losses = self.known_losses.get(&fingerprint).map_or(0, BTreeSet::len);
        cx.history.require(!crashes_targets || known_losses < 2, Violation::CrashNotRefused);
        cx.history.sends += 1;
        let Some(running) = self.plans.get_mut(&number) else { return };
        running.sent = Some(attempt);
        let Some(target) = running.plan.tried().pop() else { return };
        let from = (self.index, self.incarnation);
        let arrival = Arrival { from, plan: number, attempt, submission, target };
        let wait = Duration::from_micros(cx.random.random_range(200..2000));
        cx.events.push((wait, Event::Arrive(arrival)));
    }

    fn observe(&mut self, cx: &Context<'_>, target: &TargetId, observation: Observation) {
        let since = self.cold_since.get(target).copied();
        let cold = match &observation {
            Observation::Answered { elapsed, cold } => {
                self.quantile.add(*elapsed);
                *cold
            }
            Observation::ConnectionLost { assigned_at, .. } => {
                since.is_none_or(|at| *assigned_at > at)
            }
            _ => false,
        };
        if cold {
            self.cold_since.insert(target.clone(), cx.now);
        }
        if !(cold && cx.fault == Fault::HideCold) {
            self.targets.observe(cx.now, target, &observation);
        }
    }

    fn keeper_event(&mut self, cx: &mut Context<'_>, event: KeeperEvent) {
        let out = match event {
            KeeperEvent::Written(call, result) => self.keeper.on_write(cx.now, call, result),
            KeeperEvent::Read(call, result) => self.keeper.on_read(cx.now, call, result),
            KeeperEvent::Tick => {
                self.keeper_timer = None;
                self.keeper.tick(cx.now)
            }
        };
        self.keeper_outputs(cx, out);
    }

    fn keeper_outputs(&mut self, cx: &mut Context<'_>, out: Vec<RecordOutput>) {
        for output in out {
            self.keeper_output(cx, output);
        }
        let next = self.keeper.next_timer();
        let earlier = next.filter(|at| self.keeper_timer.is_none_or(|set| *at < set));
        if let Some(at) = earlier {
            self.keeper_timer = Some(at);
            let wait = at.saturating_since(cx.now).max(Duration::from_micros(1));
            self.schedule(cx, wait, NodeEvent::Keeper(KeeperEvent::Tick));
        }
    }

    fn keeper_output(&mut self, cx: &mut Context<'_>, output: RecordOutput) {
        let from = (self.index, self.incarnation);
        let wait = Duration::from_micros(cx.random.random_range(500..3000));
        match output {
            RecordOutput::Write { call, rows, .. } => {
                cx.events.push((wait, Event::Write { from, call, rows }));
            }
            RecordOutput::Read { call, key } => {
                cx.events.push((wait, Event::Read { from, call, key }));
            }
            RecordOutput::Claimed { claim, key } => {
                if let Some((submission, _)) = self.waiting.remove(&claim) {
                    self.start_plan(cx, submission, Some((key, claim)));
                }
            }
            RecordOutput::Refused { claim, refusal } => {
                let Some((submission, _)) = self.waiting.remove(&claim) else { return };
                match refusal {
                    RecordRefusal::Unavailable if cx.fault == Fault::RunWhenUnavailable => {
                        self.start_plan(cx, submission, None);
                    }
                    refusal => self.reply(cx, submission, Reply::Record(refusal)),
                }
            }
        }
    }

    fn reply(&mut self, cx: &mut Context<'_>, submission: usize, reply: Reply) {
        cx.history.submissions[submission].reply = Some(reply);
        cx.replies.push(submission);
    }

    fn schedule(&self, cx: &mut Context<'_>, wait: Duration, event: NodeEvent) {
        let event = Event::Node { node: self.index, incarnation: self.incarnation, event };
        cx.events.push((wait, event));
    }
}
