//! Simulation of nodes that share targets. Each target has a queue and a fixed number of slots.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, Reason, Requests, TargetId};
use wagtailmoor_dispatch::{
    AttemptId, BalancingPolicy, ChoiceRequest, InFlight, LatencyQuantile, Member, MemberState,
    Observation, PlanInput, PlanOutput, PlanRequest, PlanSettings, RequestPlan, ResponseHead,
    RetryBudget, TargetSettings, TargetTable,
};

const TARGETS: usize = 5;
const NETWORK_LATENCY: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_secs(5);

/// Parameters of a simulation.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) nodes: usize,
    pub(crate) rate_per_s: f64,
    pub(crate) seconds: u64,
    pub(crate) slots: u32,
    /// Whether nodes know the number of slots and avoid targets that they have filled themselves.
    pub(crate) slots_known: bool,
    pub(crate) service_ms: f64,
    /// Factor by which the service time of target 0 is longer.
    pub(crate) slow_factor: f64,
    /// Time at which target 0 restarts cold, and number of requests for which it is slow after
    /// that.
    pub(crate) cold: Option<(Duration, u32)>,
    pub(crate) hedges: bool,
    /// Whether a shared permit issuer limits the requests of all nodes at a cold target.
    pub(crate) shared_permits: bool,
    pub(crate) settings: TargetSettings,
}

/// Results of a simulation.
pub(crate) struct Results {
    /// Latency of each request. A request that is not served counts with its time to the deadline.
    pub(crate) latencies_us: Vec<u64>,
    pub(crate) unserved: u32,
    pub(crate) first: u32,
    pub(crate) added: u32,
    /// Maximum number of concurrent requests at target 0 while it was cold.
    pub(crate) cold_peak: u32,
}

impl Results {
    pub(crate) fn quantile_ms(&self, share: f64) -> f64 {
        let index = (self.latencies_us.len() as f64 * share) as usize;
        let found = self.latencies_us.get(index.min(self.latencies_us.len().saturating_sub(1)));
        found.map_or(f64::NAN, |latency_us| *latency_us as f64 / 1000.0)
    }
}

enum Event {
    Arrive,
    ReachTarget(Job),
    Done(Job),
    Answered(Job),
    Timer(u64),
    RestartCold,
}

#[derive(Clone, Copy)]
struct Job {
    plan: u64,
    attempt: AttemptId,
    target: usize,
    /// Number of restarts of the target before the request reached it.
    restarts: u32,
}

struct Budget(f64);

impl RetryBudget for Budget {
    fn earn(&mut self, _now: Instant) {
        self.0 = (self.0 + 0.1).min(10.0);
    }

    fn spend(&mut self, _now: Instant) -> bool {
        let has_token = self.0 >= 1.0;
        self.0 -= if has_token { 1.0 } else { 0.0 };
        has_token
    }
}

struct Node<C> {
    targets: TargetTable,
    policy: C,
    budget: Budget,
    quantile: LatencyQuantile,
}

#[derive(Default)]
struct TargetState {
    running: u32,
    waiting: VecDeque<Job>,
    cancelled: BTreeSet<AttemptId>,
    cold_requests_left: u32,
    restarts: u32,
}

/// Number of requests of all nodes at each target.
#[derive(Clone, Default)]
struct InFlightCounts(Rc<RefCell<BTreeMap<TargetId, u32>>>);

struct Permit(InFlightCounts, TargetId);

impl Drop for Permit {
    fn drop(&mut self) {
        *self.0.0.borrow_mut().entry(self.1.clone()).or_default() -= 1;
    }
}

struct Simulation<C> {
    scenario: Scenario,
    now: Instant,
    random: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    nodes: Vec<Node<C>>,
    target_states: Vec<TargetState>,
    plans: BTreeMap<u64, (usize, Instant, RequestPlan<InFlight<Permit>>)>,
    in_flight_counts: InFlightCounts,
    results: Results,
}

/// Simulates a scenario with one load-balancing policy.
pub(crate) fn run<C: BalancingPolicy + Clone>(
    scenario: &Scenario,
    policy: &C,
    seed: u64,
) -> Results {
    let node = |_| {
        let zone = "z1".parse().expect("valid id");
        let mut targets = TargetTable::new(zone, scenario.settings.clone());
        let slots = if scenario.slots_known { scenario.slots } else { u32::MAX };
        targets.set_members(Instant::default(), many_members(TARGETS, slots));
        Node {
            targets,
            policy: policy.clone(),
            budget: Budget(1.0),
            quantile: LatencyQuantile::new(),
        }
    };
    let simulation = Simulation {
        scenario: scenario.clone(),
        now: Instant::from_us(1),
        random: ChaCha8Rng::seed_from_u64(seed),
        queue: BTreeMap::new(),
        sequence: 0,
        nodes: (0..scenario.nodes).map(node).collect(),
        target_states: (0..TARGETS).map(|_| TargetState::default()).collect(),
        plans: BTreeMap::new(),
        in_flight_counts: InFlightCounts::default(),
        results: Results {
            latencies_us: Vec::new(),
            unserved: 0,
            first: 0,
            added: 0,
            cold_peak: 0,
        },
    };
    simulation.run()
}

impl<C: BalancingPolicy> Simulation<C> {
    fn run(mut self) -> Results {
        self.at(Duration::ZERO, Event::Arrive);
        if let Some((wait, _)) = self.scenario.cold {
            self.at(wait, Event::RestartCold);
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.step(event);
        }
        self.results.latencies_us.sort_unstable();
        self.results
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.on_arrival(),
            Event::ReachTarget(job) => {
                let restarts = self.target_states[job.target].restarts;
                self.target_states[job.target].waiting.push_back(Job { restarts, ..job });
                self.serve(job.target);
                self.update_cold_peak();
            }
            Event::Done(job) if job.restarts != self.target_states[job.target].restarts => {}
            Event::Done(job) => {
                let target_state = &mut self.target_states[job.target];
                target_state.running -= 1;
                target_state.cold_requests_left = target_state.cold_requests_left.saturating_sub(1);
                self.serve(job.target);
                self.at(NETWORK_LATENCY, Event::Answered(job));
            }
            Event::Answered(job) => self.on_answer(job),
            Event::Timer(plan) => self.handle_input(plan, PlanInput::Timer),
            Event::RestartCold => self.restart_cold(),
        }
    }

    fn on_arrival(&mut self) {
        let end = Instant::from_us(1) + Duration::from_secs(self.scenario.seconds);
        if self.now < end {
            let interarrival_time = exponential(&mut self.random, 1.0 / self.scenario.rate_per_s);
            self.at(interarrival_time, Event::Arrive);
        }
        let index = self.random.random_range(0..self.nodes.len());
        let number = u64::from(self.results.first);
        self.results.first += 1;
        let node = &mut self.nodes[index];
        let request = PlanRequest {
            id: AttemptId::new(u128::from(number) << 8),
            idempotent: true,
            replayable: true,
            deadline: self.now + DEADLINE,
            hedge_after: node.quantile.p95().filter(|_| self.scenario.hedges),
        };
        let mut plan = RequestPlan::new(PlanSettings::default(), request);
        let out = plan.start(self.now, &mut node.budget);
        self.plans.insert(number, (index, self.now, plan));
        self.handle_outputs(number, out);
    }

    fn on_answer(&mut self, job: Job) {
        let cold = false;
        let head = ResponseHead { status: 200, not_run: false, retry_after: None, cold };
        self.handle_input(job.plan, PlanInput::Head { attempt: job.attempt, head });
        self.handle_input(job.plan, PlanInput::BodyEnded { attempt: job.attempt });
    }

    fn handle_input(&mut self, number: u64, input: PlanInput<InFlight<Permit>>) {
        let Some((node, _, plan)) = self.plans.get_mut(&number) else { return };
        let out = plan.handle(self.now, input, &mut self.nodes[*node].budget);
        self.handle_outputs(number, out);
    }

    fn handle_outputs(&mut self, number: u64, out: Vec<PlanOutput>) {
        for output in out {
            self.handle_output(number, output);
        }
    }

    fn handle_output(&mut self, number: u64, output: PlanOutput) {
        match output {
            PlanOutput::Choose { attempt } => self.choose(number, attempt),
            PlanOutput::Connect { attempt, .. } => {
                self.handle_input(number, PlanInput::Connected { attempt });
            }
            PlanOutput::Send { attempt } => {
                self.handle_input(number, PlanInput::BytesSent { attempt });
                let Some((_, _, plan)) = self.plans.get(&number) else { return };
                let target = plan.tried().pop().map_or(0, |target| position(&target));
                self.at(
                    NETWORK_LATENCY,
                    Event::ReachTarget(Job { plan: number, attempt, target, restarts: 0 }),
                );
            }
            PlanOutput::SetTimer { at } => {
                self.at(at.saturating_since(self.now), Event::Timer(number));
            }
            PlanOutput::Cancel { attempt } => {
                self.target_states.iter_mut().for_each(|target_state| {
                    target_state.cancelled.insert(attempt);
                });
            }
            PlanOutput::Observe { target, observation } => {
                self.observe(number, &target, &observation)
            }
            PlanOutput::Lost { target, assigned_at } => {
                let observation =
                    Observation::ConnectionLost { assigned_at, request_blamed: false };
                self.observe(number, &target, &observation);
            }
            PlanOutput::Answer { .. } => {}
            PlanOutput::Finish(verdict) => {
                let Some((_, started, plan)) = self.plans.remove(&number) else { return };
                self.results.added += plan.attempts().saturating_sub(1) as u32;
                self.results.unserved += u32::from(verdict.status.is_none());
                let latency = self.now.saturating_since(started);
                self.results.latencies_us.push(latency.as_micros() as u64);
            }
        }
    }

    fn choose(&mut self, number: u64, attempt: AttemptId) {
        let Some((index, _, plan)) = self.plans.get(&number) else { return };
        let tried = plan.tried();
        let limit = match self.scenario.shared_permits {
            true => {
                let limits =
                    self.nodes.iter().filter_map(|node| node.targets.cold_limit(&target(0)));
                limits.min().map_or(u32::MAX, Requests::get)
            }
            false => u32::MAX,
        };
        let in_flight_counts = self.in_flight_counts.clone();
        let mut permits = |_: Instant, id: &TargetId| {
            let mut counts = in_flight_counts.0.borrow_mut();
            let count = counts.entry(id.clone()).or_default();
            let free = position(id) != 0 || *count < limit;
            free.then(|| {
                *count += 1;
                Permit(in_flight_counts.clone(), id.clone())
            })
        };
        let node = &mut self.nodes[*index];
        let choice_request = ChoiceRequest { idempotent: true, avoid: &tried };
        let random = &mut self.random;
        let chosen =
            node.targets.choose(self.now, choice_request, &mut node.policy, &mut permits, random);
        let input = match chosen {
            Some(chosen) => PlanInput::Assigned {
                attempt,
                target: chosen.target,
                guard: chosen.in_flight,
                send_before: None,
            },
            None => PlanInput::NoTarget { attempt, reason: Reason::TargetUnavailable },
        };
        self.handle_input(number, input);
    }

    fn observe(&mut self, number: u64, target: &TargetId, observation: &Observation) {
        let Some((index, _, _)) = self.plans.get(&number) else { return };
        let node = &mut self.nodes[*index];
        if let Observation::Answered { elapsed, .. } = observation {
            node.quantile.add(*elapsed);
        }
        node.targets.observe(self.now, target, observation);
    }

    fn serve(&mut self, index: usize) {
        while self.target_states[index].running < self.scenario.slots {
            let target_state = &mut self.target_states[index];
            let Some(job) = target_state.waiting.pop_front() else { return };
            if target_state.cancelled.remove(&job.attempt) {
                continue;
            }
            target_state.running += 1;
            let warmed_up = self.scenario.cold.is_some() && target_state.cold_requests_left == 0;
            let factor = match index {
                0 if !warmed_up => self.scenario.slow_factor,
                _ => 1.0,
            };
            let mean_s = self.scenario.service_ms * factor / 1000.0;
            let time = exponential(&mut self.random, mean_s);
            self.at(time, Event::Done(job));
        }
    }

    /// Restarts target 0. Its requests are lost, and their nodes observe the lost connections.
    fn restart_cold(&mut self) {
        self.target_states[0].cold_requests_left =
            self.scenario.cold.map_or(0, |(_, requests)| requests);
        let lost: Vec<(u64, AttemptId)> = self
            .plans
            .iter()
            .filter(|(_, (_, _, plan))| plan.tried().last() == Some(&target(0)))
            .map(|(number, _)| (*number, AttemptId::new(u128::from(*number) << 8)))
            .collect();
        self.target_states[0].waiting.clear();
        self.target_states[0].running = 0;
        self.target_states[0].restarts += 1;
        for (number, first) in lost {
            let attempts = self.plans[&number].2.attempts() as u8;
            let attempt = first.with_number(attempts - 1);
            self.handle_input(number, PlanInput::Lost { attempt });
        }
    }

    fn update_cold_peak(&mut self) {
        let target_state = &self.target_states[0];
        if target_state.cold_requests_left > 0 {
            let in_flight_or_queued = target_state.running + target_state.waiting.len() as u32;
            self.results.cold_peak = self.results.cold_peak.max(in_flight_or_queued);
        }
    }
}

pub(crate) fn target(index: usize) -> TargetId {
    format!("t{index}").parse().expect("valid id")
}

pub(crate) fn many_members(count: usize, slots: u32) -> Vec<Member> {
    let member = |index| Member {
        target: target(index),
        zone: "z1".parse().expect("valid id"),
        slots: Requests::new(slots),
        state: MemberState::Live,
    };
    (0..count).map(member).collect()
}

fn position(target: &TargetId) -> usize {
    target.as_str()[1..].parse().expect("a target id ends in its number")
}

fn exponential<R: Rng>(random: &mut R, mean_s: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() * mean_s)
}
