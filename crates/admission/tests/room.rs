//! Room at full targets, shared by all nodes.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_admission::{
    HoldingLimit, LoadSample, ReportTiming, RoomAllocator, RoomGate, RoomReply, UnansweredGuard,
};
use wagtailmoor_core::{BackEndId, Incarnation, Instant, NodeId, Requests, TargetId};
use wagtailmoor_site::{Target, TargetState};

const STEP: Duration = Duration::from_millis(10);
const SLOTS: usize = 3;
const QUEUE: usize = 12;
const EXPECTED: Duration = Duration::from_millis(300);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1_000)
}

fn back_end() -> BackEndId {
    "pay".parse().unwrap()
}

fn target(number: usize) -> Target {
    Target {
        target: format!("t-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        back_end: back_end(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        state: TargetState::Ready,
        slots: Requests::new(SLOTS as u32),
        cold_for: None,
        software: "v1".into(),
    }
}

fn load(level: usize) -> LoadSample {
    let running = level.min(SLOTS) as u32;
    LoadSample {
        running: Requests::new(running),
        waiting: Requests::new(level as u32 - running),
        slowdown_percent: 100,
        cold_for: None,
    }
}

struct Request {
    node: usize,
    sent: Instant,
    _guard: UnansweredGuard,
}

/// A target with a queue, which never answers requests that it cannot queue.
#[derive(Default)]
struct Server {
    running: Vec<(Instant, Request)>,
    queue: VecDeque<Request>,
    dropped: Vec<Request>,
}

#[derive(Default, Debug)]
struct Counts {
    answered: usize,
    dropped: usize,
    refused: usize,
}

/// Nodes that send more requests than the targets can run.
struct Site {
    now: Instant,
    random: ChaCha8Rng,
    targets: Vec<Target>,
    servers: Vec<Server>,
    nodes: Vec<(NodeId, RoomGate)>,
    allocator: RoomAllocator,
    shares_room: bool,
    pooled: bool,
    counts: Counts,
}

impl Site {
    fn new(nodes: usize, targets: usize, pooled: bool, shares_room: bool) -> Self {
        let gate = |number| (format!("n-{number}").parse().unwrap(), RoomGate::default());
        Self {
            now: at(10_000),
            random: ChaCha8Rng::seed_from_u64(7),
            targets: (0..targets).map(target).collect(),
            servers: (0..targets).map(|_| Server::default()).collect(),
            nodes: (0..nodes).map(gate).collect(),
            allocator: RoomAllocator::default(),
            shares_room,
            pooled,
            counts: Counts::default(),
        }
    }

    fn run(&mut self, seconds: u64, requests_per_s: f64) {
        let interval = ReportTiming::interval(self.nodes.len()).as_millis() as usize;
        let steps = seconds as usize * 1_000 / STEP.as_millis() as usize;
        for step in 0..steps {
            self.now = self.now + STEP;
            let mut due = requests_per_s * STEP.as_secs_f64();
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.arrive();
                }
                due -= 1.0;
            }
            (0..self.servers.len()).for_each(|server| self.serve(server));
            for node in 0..self.nodes.len() {
                let phase = node * interval / self.nodes.len();
                let elapsed = step * STEP.as_millis() as usize + interval - phase;
                if self.shares_room && elapsed % interval < STEP.as_millis() as usize {
                    self.report(node);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        let (now, gate) = (self.now, &mut self.nodes[node].1);
        let chosen = match self.pooled {
            false => {
                let owner = self.random.random_range(0..self.targets.len());
                let id = &self.targets[owner].target;
                gate.on_arrival(now, &back_end(), Some(id));
                gate.admit_keyed(now, id).is_ok().then_some(owner)
            }
            true => {
                gate.on_arrival(now, &back_end(), None);
                let ids = self.targets.iter().enumerate();
                let free: Vec<usize> = ids
                    .filter(|(_, target)| gate.has_pooled_room(now, &target.target))
                    .map(|(number, _)| number)
                    .collect();
                (!free.is_empty()).then(|| free[self.random.random_range(0..free.len())])
            }
        };
        let Some(number) = chosen else { return self.counts.refused += 1 };
        let id = &self.targets[number].target;
        if self.pooled {
            gate.spend_pooled(now, &back_end(), id);
        }
        let request =
            Request { node, sent: now, _guard: gate.start(now, &back_end(), id, EXPECTED) };
        let server = &mut self.servers[number];
        match server.queue.len() < QUEUE {
            true => server.queue.push_back(request),
            false => {
                self.counts.dropped += 1;
                server.dropped.push(request);
            }
        }
    }

    fn serve(&mut self, number: usize) {
        let (now, server) = (self.now, &mut self.servers[number]);
        let id = &self.targets[number].target;
        server.dropped.retain(|request| now < request.sent + CLIENT_TIMEOUT);
        while let Some(done) = server.running.iter().position(|(end, _)| *end <= now) {
            let (_, request) = server.running.remove(done);
            let level = server.running.len() + server.queue.len();
            let gate = &mut self.nodes[request.node].1;
            gate.on_load_report(id, load(level));
            gate.on_answered(id, now.saturating_since(request.sent));
            self.counts.answered += 1;
        }
        while server.running.len() < SLOTS {
            let Some(request) = server.queue.pop_front() else { break };
            let service_ms = 120.0 + 160.0 * self.random.random::<f64>();
            server.running.push((now + Duration::from_millis(service_ms as u64), request));
        }
    }

    fn report(&mut self, node: usize) {
        let (now, targets) = (self.now, &self.targets);
        let (id, gate) = &mut self.nodes[node];
        let report = gate.take_report(now);
        let find = |id: &TargetId| targets.iter().find(|target| target.target == *id);
        self.allocator.record(now, id, &report, find);
        gate.apply_reply(now, self.allocator.reply(now, id, |_| !self.pooled), &mut self.random);
    }
}

// Guards against nodes that overrun targets together although each sends little: the targets never
// answer what they cannot queue, and such requests end as unknown at the client's timeout.
#[rstest]
#[case::keyed(80, false)]
#[case::pooled(80, true)]
#[case::keyed_small(12, false)]
#[case::pooled_small(12, true)]
fn nodes_together_do_not_overrun_targets(#[case] nodes: usize, #[case] pooled: bool) {
    let counts = |shares_room| {
        let mut site = Site::new(nodes, 20, pooled, shares_room);
        site.run(5, 450.0);
        site.counts = Counts::default();
        site.run(20, 450.0);
        site.counts
    };
    let (with, without) = (counts(true), counts(false));
    assert!(without.dropped > 2_000, "the load exceeds the capacity: {without:?}");
    assert!(with.dropped * 10 < without.dropped, "{with:?} {without:?}");
    assert!(with.answered * 100 > without.answered * 95, "{with:?} {without:?}");
}

// Guards against requests that are refused while the targets have room for them.
#[rstest]
#[case::keyed(false)]
#[case::pooled(true)]
fn requests_within_the_capacity_are_not_refused(#[case] pooled: bool) {
    let mut site = Site::new(80, 20, pooled, true);
    site.run(6, 450.0);
    site.run(3, 150.0);
    site.counts = Counts::default();
    site.run(10, 180.0);
    let Counts { refused, dropped, answered } = site.counts;
    assert!(refused * 100 < answered && dropped * 100 < answered, "{:?}", site.counts);
}

// Guards against reports and replies on a site where no target ever rejects a request.
#[test]
fn without_a_signal_nothing_is_reported_or_limited() {
    let mut site = Site::new(4, 20, false, true);
    site.run(3, 100.0);
    assert_eq!(site.allocator.reply(site.now, &site.nodes[0].0, |_| true), RoomReply::default());
    let pending = site.nodes.iter_mut().map(|(_, gate)| gate.take_report(site.now));
    assert!(pending.into_iter().all(|it| it.targets.is_empty() && it.back_ends.is_empty()));
}

// Guards against permissions that stay in force while the leader is silent, and against a node that
// sends as much as before until then.
#[test]
fn permissions_are_halved_and_then_dropped_without_replies() {
    let mut site = Site::new(12, 20, false, true);
    site.run(6, 600.0);
    let full = &site.targets[0].target;
    let (now, gate) = (site.now, &mut site.nodes[0].1);
    let sent = |gate: &mut RoomGate, age_ms: u64| {
        let now = now + Duration::from_millis(age_ms);
        (0..40).filter(|_| gate.admit_keyed(now, full).is_ok()).count()
    };
    assert!(sent(gate, 0) < 40, "the target is full");
    assert!(!gate.has_room(now, full));
    assert_eq!(sent(gate, ReportTiming::REPLY_LIFETIME.as_millis() as u64), 40);
}

// Guards against requests of a lost node that count at targets for ever.
#[test]
fn requests_of_a_lost_node_no_longer_count() {
    let mut site = Site::new(12, 20, false, true);
    site.run(6, 600.0);
    assert!(site.allocator.limited_targets(site.now).1 > 0);
    site.now = site.now + ReportTiming::REPORT_LIFETIME * 2;
    // The report of another node drops those that are overdue.
    site.servers.iter_mut().for_each(|server| *server = Server::default());
    site.report(0);
    assert_eq!(site.allocator.limited_targets(site.now).1, 0);
}

// Guards against targets that stay unlimited because clients give up before a request is silent.
#[test]
fn requests_that_were_given_up_are_a_signal() {
    let (mut gate, id) = (RoomGate::default(), target(0).target);
    let guard = gate.start(at(0), &back_end(), &id, EXPECTED);
    gate.on_given_up(&id, Duration::from_millis(100));
    assert!(gate.take_report(at(200)).targets.is_empty());
    gate.on_given_up(&id, Duration::from_millis(900));
    drop(guard);
    assert_eq!(gate.take_report(at(1_000)).targets[0].silent, 1);
}

// Guards against hedges that multiply the load of a back end without room, that come without need or
// too late to be answered, and that go on without a leader.
#[test]
fn requests_are_hedged_only_if_targets_fall_silent_and_have_room() {
    let (mut gate, id) = (RoomGate::default(), target(0).target);
    drop(gate.start(at(0), &back_end(), &id, EXPECTED));
    gate.on_answered(&id, Duration::from_millis(200));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let after = |gate: &RoomGate, ms: u64, left_ms: u64| {
        gate.hedge_after(at(ms), &back_end(), None, Duration::from_millis(left_ms))
    };
    let mut hears = |gate: &mut RoomGate, silent: bool, short: bool| {
        let named = |named: bool| named.then(back_end).into_iter().collect();
        let (silent, short) = (named(silent), named(short));
        gate.apply_reply(
            at(1_000),
            RoomReply { silent, short, ..RoomReply::default() },
            &mut random,
        );
    };
    hears(&mut gate, false, false);
    assert_eq!(after(&gate, 1_000, 2_000), None);
    hears(&mut gate, true, true);
    assert_eq!(after(&gate, 1_000, 2_000), None);
    hears(&mut gate, true, false);
    assert_eq!(after(&gate, 1_000, 2_000), Some(Duration::from_millis(700)));
    assert_eq!(after(&gate, 1_000, 800), None, "no time is left for an answer");
    assert_eq!(after(&gate, 2_000, 2_000), None, "the reply expired");
}

// Guards against a leader that learns of silent targets and does not pass it on, or does so for ever.
#[test]
fn all_nodes_learn_of_silent_targets_for_a_while() {
    let mut site = Site::new(2, 1, true, true);
    let (now, id) = (site.now, site.targets[0].target.clone());
    let gate = &mut site.nodes[0].1;
    drop(gate.start(now, &back_end(), &id, EXPECTED));
    gate.on_given_up(&id, Duration::from_millis(900));
    site.report(0);
    let silent = |site: &Site| site.allocator.reply(site.now, &site.nodes[1].0, |_| false).silent;
    assert_eq!(silent(&site), [back_end()]);
    site.now = site.now + Duration::from_secs(61);
    site.report(1);
    assert!(silent(&site).is_empty());
}

// Guards against targets that stay unlimited because each node alone sees few of their requests:
// the first signal must make all nodes report.
#[test]
fn a_signal_of_one_node_makes_all_nodes_report() {
    let mut site = Site::new(2, 1, true, true);
    let (now, id) = (site.now, site.targets[0].target.clone());
    drop(site.nodes[0].1.start(now, &back_end(), &id, EXPECTED));
    site.nodes[0].1.on_rejected(&id);
    site.report(0);
    site.report(1);
    let reply = site.allocator.reply(now, &site.nodes[1].0, |_| false);
    assert_eq!((reply.tracked.as_slice(), reply.targets.len()), ([back_end()].as_slice(), 0));
    let gate = &mut site.nodes[1].1;
    let guards: Vec<_> = (0..5).map(|_| gate.start(now, &back_end(), &id, EXPECTED)).collect();
    assert_eq!(gate.take_report(now).targets[0].unanswered, Requests::new(5));
    drop(guards);
}

// Guards against a limit learned from a target that rejects requests while it has free slots, and
// against one that never rises again after its target recovers.
#[test]
fn a_limit_is_learned_from_full_targets_and_rises_again() {
    let mut limit = HoldingLimit::default();
    limit.on_held(at(0), 2.0);
    limit.on_signal(at(100), 3.0, 2.0);
    assert_eq!(limit.get(at(100)), None, "a slot was free");
    limit.on_held(at(900), 14.0);
    limit.on_signal(at(1_000), 3.0, 16.0);
    limit.on_signal(at(1_100), 3.0, 15.0);
    let first = limit.get(at(1_100)).unwrap();
    assert!((14.0..=15.1).contains(&first), "reports of one overrun count once: {first}");
    limit.on_signal(at(21_000), 3.0, 8.0);
    let lowered = limit.get(at(21_000)).unwrap();
    assert!((3.0..8.0).contains(&lowered), "the queue became shorter: {lowered}");
    assert!(limit.get(at(41_000)).unwrap() > lowered);
    assert_eq!(limit.get(at(90_000)), None, "forgotten without signals");
}
