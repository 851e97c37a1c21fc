//! Simulation of several nodes under one seeded random schedule.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, Outcome, Requests, TargetId};
use wagtailmoor_dispatch::{
    AttemptId, CallId, Member, MemberState, PlanSettings, ReadResult, RecordKey, RecordState,
    RecordWrite, ResponseHead, WriteResult,
};

use super::fault::Fault;
use super::history::{History, Operation, Submission, Violation};
use super::node::{Context, KeeperEvent, KnownLosses, Node, NodeEvent, PlanEvent};
use super::table::{FakeTable, WriteOutcome};
use super::target::{Action, FakeTarget};

const NODES: usize = 3;
const TARGETS: usize = 5;
const OPERATIONS: usize = 60;
const SUBMISSIONS_MAX: usize = 4;
const FAULTS_END: Duration = Duration::from_secs(3);
/// Leaves time after `FAULTS_END` for the maximum back-off of a target and for the writes that are
/// pending after an outage.
const FINAL_SUBMISSIONS_AT: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(16);

/// A request in transit to a target or in flight there.
#[derive(Clone)]
pub(crate) struct Arrival {
    pub(crate) from: (usize, u32),
    pub(crate) plan: u64,
    pub(crate) attempt: AttemptId,
    pub(crate) submission: usize,
    pub(crate) target: TargetId,
}

pub(crate) enum Event {
    Node { node: usize, incarnation: u32, event: NodeEvent },
    Connect { from: (usize, u32), plan: u64, attempt: AttemptId, target: TargetId },
    Arrive(Arrival),
    Answer { arrival: Arrival, incarnation: u32, head: ResponseHead },
    Write { from: (usize, u32), call: CallId, rows: Vec<RecordWrite> },
    DelayedWrite(Vec<RecordWrite>),
    Read { from: (usize, u32), call: CallId, key: RecordKey },
    Client(usize),
    InjectFault,
    NodeStart(usize),
    TargetStart(usize),
    OutageEnd,
    Gossip,
    EndFaults,
    SubmitFinal,
}

pub(crate) struct World {
    seed: u64,
    fault: Fault,
    now: Instant,
    random: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    nodes: Vec<Node>,
    targets: Vec<FakeTarget>,
    table: FakeTable,
    history: History,
    losses: KnownLosses,
    false_refusals: bool,
    faults_ended: bool,
    /// Operations that must be answered when they are submitted at the end.
    must_answer: Vec<usize>,
}

impl World {
    pub(crate) fn new(seed: u64, fault: Fault) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let false_refusals = random.random_bool(0.5) || fault == Fault::BelieveUntrusted;
        let mut world = Self {
            seed,
            fault,
            now: Instant::from_us(1_000_000),
            random,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            targets: (0..TARGETS).map(|_| FakeTarget::new(false_refusals)).collect(),
            table: FakeTable::default(),
            history: History::default(),
            losses: KnownLosses::new(),
            false_refusals,
            faults_ended: false,
            must_answer: Vec::new(),
        };
        world.nodes = (0..NODES).map(|index| world.node(index, 0)).collect();
        world.history.node_starts = NODES as u32;
        world.schedule_events();
        world
    }

    /// Runs the schedule and returns its history after all checks.
    pub(crate) fn run(mut self) -> History {
        let end = self.now + END;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.history.steps += 1;
            self.step(event);
        }
        self.check_final();
        self.history.check();
        self.history
    }

    fn node(&self, index: usize, incarnation: u32) -> Node {
        let settings = PlanSettings {
            trusts_refusals: !self.false_refusals || self.fault == Fault::BelieveUntrusted,
            trusts_misdirected: true,
            ..PlanSettings::default()
        };
        Node::new(index, incarnation, self.seed, members(), settings, self.fault)
    }

    fn schedule_events(&mut self) {
        for _ in 0..OPERATIONS {
            let crashes_targets = self.random.random_range(0..20) == 0;
            let idempotent = self.random.random_bool(0.4);
            self.add_operation(idempotent, crashes_targets);
            let operation = self.history.operations.len() - 1;
            let wait = Duration::from_micros(self.random.random_range(0..3_000_000));
            self.submit(operation, wait);
            // Some clients submit an operation twice at almost the same time.
            if self.random.random_range(0..10) == 0 {
                self.submit(operation, wait + Duration::from_micros(300));
            }
        }
        for _ in 0..8 {
            let wait = Duration::from_micros(self.random.random_range(0..2_500_000));
            self.at(wait, Event::InjectFault);
        }
        self.at(Duration::from_millis(50), Event::Gossip);
        self.at(FAULTS_END, Event::EndFaults);
        self.at(FINAL_SUBMISSIONS_AT, Event::SubmitFinal);
    }

    fn add_operation(&mut self, idempotent: bool, crashes_targets: bool) {
        let number = self.history.operations.len();
        // Requests that crash targets are also repeated under another `Idempotency-Key`.
        let customer = if crashes_targets { 0 } else { number % 3 };
        let customer = format!("c{customer}").parse().expect("valid id");
        // Reads share paths, so a read whose path lost connections to two targets is refused
        // correctly. The operations added at the end have paths without losses.
        let path = match (crashes_targets, idempotent) {
            (true, _) => format!("/poison/{idempotent}"),
            _ if number >= OPERATIONS => format!("/new/{number}"),
            (false, true) => format!("/read/{}", number % 5),
            (false, false) => format!("/write/{number}"),
        };
        self.history.operations.push(Operation { customer, idempotent, crashes_targets, path });
    }

    fn submit(&mut self, operation: usize, wait: Duration) {
        let submission = self.history.submissions.len();
        self.history.submissions.push(Submission { operation, reply: None });
        let node = self.random.random_range(0..NODES);
        let incarnation = self.nodes[node].incarnation;
        let event = NodeEvent::Submit(submission);
        self.at(wait, Event::Node { node, incarnation, event });
        self.at(wait + Duration::from_millis(700), Event::Client(submission));
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Node { node, incarnation, event } => self.deliver(node, incarnation, event),
            Event::Connect { from, plan, attempt, target } => {
                self.connect(from, plan, attempt, &target);
            }
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Answer { arrival, incarnation, head } => {
                self.answer(arrival, incarnation, head);
            }
            Event::Write { from, call, rows } => self.write(from, call, rows),
            Event::DelayedWrite(rows) => drop(self.table.write(&rows)),
            Event::Read { from, call, key } => {
                let result = self.table.read(&key);
                let lost = !self.faults_ended && self.random.random_range(0..50) == 0;
                let result = if lost { ReadResult::Unavailable } else { result };
                self.send_to_node(from, NodeEvent::Keeper(KeeperEvent::Read(call, result)));
            }
            Event::Client(submission) => self.client(submission),
            Event::InjectFault => self.inject_fault(),
            Event::NodeStart(node) => self.node_start(node),
            Event::TargetStart(target) => self.targets[target].start(self.now),
            Event::OutageEnd => self.table.down = false,
            Event::Gossip => self.gossip(),
            Event::EndFaults => self.end_faults(),
            Event::SubmitFinal => self.submit_final(),
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u32, event: NodeEvent) {
        let node = &mut self.nodes[index];
        if !node.up || node.incarnation != incarnation {
            return;
        }
        if self.now < node.paused_until {
            let wait = node.paused_until.saturating_since(self.now);
            return self.at(wait, Event::Node { node: index, incarnation, event });
        }
        let mut cx = Context {
            now: self.now,
            fault: self.fault,
            random: &mut self.random,
            history: &mut self.history,
            losses: &mut self.losses,
            events: Vec::new(),
            replies: Vec::new(),
        };
        node.handle(&mut cx, event);
        let Context { events, replies, .. } = cx;
        events.into_iter().for_each(|(wait, event)| self.at(wait, event));
        for submission in replies {
            let wait = Duration::from_millis(self.random.random_range(1..150));
            self.at(wait, Event::Client(submission));
        }
    }

    fn send_to_node(&mut self, to: (usize, u32), event: NodeEvent) {
        let wait = Duration::from_micros(self.random.random_range(200..1500));
        self.at(wait, Event::Node { node: to.0, incarnation: to.1, event });
    }

    fn send_to_plan(&mut self, arrival: &Arrival, event: PlanEvent) {
        self.send_to_node(arrival.from, NodeEvent::Plan(arrival.plan, event));
    }

    fn connect(&mut self, from: (usize, u32), plan: u64, attempt: AttemptId, target: &TargetId) {
        let up = self.targets[position(target)].up;
        let event = match self.random.random_range(0..100) {
            0..3 if !self.faults_ended => return,
            3..6 if !self.faults_ended => PlanEvent::Lost(attempt),
            _ if up => PlanEvent::Connected(attempt),
            _ => PlanEvent::Lost(attempt),
        };
        self.send_to_node(from, NodeEvent::Plan(plan, event));
    }

    fn arrive(&mut self, arrival: Arrival) {
        let index = position(&arrival.target);
        let target = &mut self.targets[index];
        let operation = self.history.submissions[arrival.submission].operation;
        let crashes_targets = self.history.operations[operation].crashes_targets;
        match target {
            target if !target.up => {
                return self.send_to_plan(&arrival, PlanEvent::Lost(arrival.attempt));
            }
            target if self.now < target.paused_until => {
                let wait = target.paused_until.saturating_since(self.now);
                return self.at(wait, Event::Arrive(arrival));
            }
            _ => {}
        }
        // The connection may be lost before or after the request reaches the target.
        let connection_lost = !self.faults_ended && self.random.random_range(0..40) == 0;
        if connection_lost {
            self.send_to_plan(&arrival, PlanEvent::Lost(arrival.attempt));
            if self.random.random_bool(0.5) {
                return;
            }
        }
        let incarnation = self.targets[index].incarnation;
        match self.targets[index].respond(self.now, crashes_targets, &mut self.random) {
            Action::Crash => {
                self.history.executions.push(arrival.submission);
                self.targets[index].in_flight.push(arrival);
                self.crash(index);
            }
            Action::Refuse(head) => {
                self.at(Duration::from_micros(100), Event::Answer { arrival, incarnation, head });
            }
            Action::Run(time, head) => {
                self.history.executions.push(arrival.submission);
                self.targets[index].in_flight.push(arrival.clone());
                self.at(time, Event::Answer { arrival, incarnation, head });
            }
        }
    }

    fn crash(&mut self, index: usize) {
        self.targets[index].up = false;
        for arrival in std::mem::take(&mut self.targets[index].in_flight) {
            self.send_to_plan(&arrival, PlanEvent::Lost(arrival.attempt));
        }
        let wait = Duration::from_millis(self.random.random_range(50..400));
        self.at(wait, Event::TargetStart(index));
    }

    fn answer(&mut self, arrival: Arrival, incarnation: u32, head: ResponseHead) {
        let target = &mut self.targets[position(&arrival.target)];
        if !target.up || target.incarnation != incarnation {
            return;
        }
        target.in_flight.retain(|held| held.attempt != arrival.attempt);
        let content = self.history.submissions[arrival.submission].operation;
        let attempt = arrival.attempt;
        let node = &self.nodes[arrival.from.0];
        let others: Vec<u64> =
            node.plans.keys().copied().filter(|plan| *plan != arrival.plan).collect();
        if !self.faults_ended && !others.is_empty() && self.random.random_range(0..20) == 0 {
            let plan = others[self.random.random_range(0..others.len())];
            let event = PlanEvent::Head { attempt, head, content, crossed: true };
            self.send_to_node(arrival.from, NodeEvent::Plan(plan, event));
            return self
                .send_to_node(arrival.from, NodeEvent::Plan(plan, PlanEvent::BodyEnded(attempt)));
        }
        let truncated = !self.faults_ended && self.random.random_range(0..30) == 0;
        let end = if truncated { PlanEvent::Lost(attempt) } else { PlanEvent::BodyEnded(attempt) };
        let (node, incarnation) = arrival.from;
        let event = PlanEvent::Head { attempt, head, content, crossed: false };
        let event = NodeEvent::Plan(arrival.plan, event);
        self.at(Duration::from_micros(500), Event::Node { node, incarnation, event });
        let event = NodeEvent::Plan(arrival.plan, end);
        self.at(Duration::from_micros(900), Event::Node { node, incarnation, event });
    }

    fn write(&mut self, from: (usize, u32), call: CallId, rows: Vec<RecordWrite>) {
        let result = match self.table.draw_write_outcome(&mut self.random) {
            WriteOutcome::Delivered => self.table.write(&rows),
            WriteOutcome::ResultLost => {
                self.table.write(&rows);
                WriteResult::Unknown
            }
            WriteOutcome::RequestLost => WriteResult::Unknown,
            WriteOutcome::Delayed => {
                let wait = Duration::from_millis(self.random.random_range(1..1500));
                self.at(wait, Event::DelayedWrite(rows));
                WriteResult::Unknown
            }
        };
        self.send_to_node(from, NodeEvent::Keeper(KeeperEvent::Written(call, result)));
    }

    /// Lets a client submit an operation again: often if it was not answered, at times if it was.
    fn client(&mut self, submission: usize) {
        let Submission { operation, reply } = self.history.submissions[submission].clone();
        let sent = self.history.replies(operation).count();
        let answered = reply.is_some_and(|reply| reply.outcome() == Outcome::Answered);
        let repeats = match answered {
            true => self.random.random_range(0..20) == 0,
            false => self.random.random_range(0..3) > 0,
        };
        if repeats && sent < SUBMISSIONS_MAX && !self.faults_ended {
            self.submit(operation, Duration::from_micros(10));
        }
    }

    fn inject_fault(&mut self) {
        let node = self.random.random_range(0..NODES);
        let target = self.random.random_range(0..TARGETS);
        let pause = Duration::from_millis(self.random.random_range(10..900));
        match self.random.random_range(0..6) {
            0 => self.nodes[node].paused_until = self.now + pause,
            1 if self.nodes[node].up => {
                self.nodes[node].up = false;
                self.at(pause, Event::NodeStart(node));
            }
            2 | 3 if self.targets[target].up => self.crash(target),
            4 => self.targets[target].paused_until = self.now + pause,
            _ => {
                self.table.down = true;
                self.at(pause, Event::OutageEnd);
            }
        }
    }

    fn node_start(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        self.nodes[index] = self.node(index, incarnation);
        self.history.node_starts += 1;
    }

    fn gossip(&mut self) {
        let (from, to) = (self.random.random_range(0..NODES), self.random.random_range(0..NODES));
        if self.nodes[from].up && self.now >= self.nodes[from].paused_until {
            let reports = self.nodes[from].ledger.next_report(self.now);
            let known_losses = self.nodes[from].known_losses.clone();
            let incarnation = self.nodes[to].incarnation;
            self.send_to_node((to, incarnation), NodeEvent::Gossip(reports, known_losses));
        }
        let target = self.random.random_range(0..TARGETS);
        let report = self.targets[target].report(self.now, &mut self.random);
        let event = NodeEvent::Report(target_id(target), report);
        let incarnation = self.nodes[to].incarnation;
        self.send_to_node((to, incarnation), event);
        self.at(Duration::from_millis(50), Event::Gossip);
    }

    fn end_faults(&mut self) {
        self.faults_ended = true;
        self.table.faults_ended = true;
        self.table.down = false;
        self.targets.iter_mut().for_each(|target| target.faults_ended = true);
    }

    /// Submits new operations, and again each non-idempotent one that was certainly not run.
    fn submit_final(&mut self) {
        for operation in 0..self.history.operations.len() {
            let candidate = &self.history.operations[operation];
            let refused = |reply: Option<&super::history::Reply>| {
                reply.is_some_and(|reply| reply.outcome() == Outcome::NotRun)
            };
            let resend = !candidate.idempotent
                && !candidate.crashes_targets
                && self.history.replies(operation).all(refused)
                && !self.is_orphaned(operation);
            if resend {
                self.must_answer.push(operation);
            }
        }
        for idempotent in [true, false, true, false] {
            self.add_operation(idempotent, false);
            self.must_answer.push(self.history.operations.len() - 1);
        }
        for (index, operation) in self.must_answer.clone().into_iter().enumerate() {
            self.submit(operation, Duration::from_millis(50 * index as u64));
        }
    }

    /// Returns whether the record was left in state `Running` by a crashed node. It is unknown
    /// whether such an operation was run.
    fn is_orphaned(&self, operation: usize) -> bool {
        let customer = &self.history.operations[operation].customer;
        let key = RecordKey::of(customer, &operation.to_le_bytes());
        let Some(row) = self.table.row(&key) else { return false };
        let restarted = |node: &Node| {
            node.incarnation > 0 && row.record.node.as_str() == format!("n{}", node.index)
        };
        row.record.state == RecordState::Running && self.nodes.iter().any(restarted)
    }

    fn check_final(&mut self) {
        for operation in self.must_answer.clone() {
            let answered = self
                .history
                .replies(operation)
                .any(|reply| reply.is_some_and(|reply| reply.outcome() == Outcome::Answered));
            let new = operation >= OPERATIONS;
            let violation = if new { Violation::NotServed } else { Violation::CannotRun };
            // 3% of clients disconnect before they are answered.
            let client_gone = self.history.replies(operation).any(|reply| {
                matches!(reply, Some(super::history::Reply::Ended { verdict, .. })
                    if verdict.ending == wagtailmoor_dispatch::Ending::ClientGone)
            });
            self.history.require(answered || client_gone, violation);
        }
        for node in &self.nodes {
            node.check_guards(&mut self.history);
        }
    }
}

fn target_id(index: usize) -> TargetId {
    format!("t{index}").parse().expect("valid id")
}

fn position(target: &TargetId) -> usize {
    target.as_str()[1..].parse().expect("a target id ends in its number")
}

fn members() -> Vec<Member> {
    let member = |index: usize| Member {
        target: target_id(index),
        zone: format!("z{}", index % 2).parse().expect("valid id"),
        slots: Requests::new(2),
        state: MemberState::Live,
    };
    (0..TARGETS).map(member).collect()
}
