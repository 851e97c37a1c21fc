//! Admission by priority to overloaded back ends, from the demand of the nodes to their decisions.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_admission::{
    AdmissionController, AdmissionGate, AdmittedShares, BackEndDemand, DemandCounter, KeyedShare,
    PooledCapacity, ReportTiming, RequestClass,
};
use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, Priority, ShardKey};
use wagtailmoor_ranges::{KeyRange, RangeShare};

const START: Instant = Instant::from_us(1_000_000);
const STEP: Duration = Duration::from_millis(5);

fn back_end() -> BackEndId {
    "feed".parse().unwrap()
}

fn class(priority: u8, customer: &str) -> RequestClass {
    RequestClass { priority: Priority::new(priority), customer: Some(customer.parse().unwrap()) }
}

/// Requests of one class: those that were withheld, those that ended in time, and all.
#[derive(Clone, Debug)]
struct Flow {
    class: RequestClass,
    per_s: f64,
    withheld: u32,
    in_time: u32,
    all: u32,
}

impl Flow {
    fn new(priority: u8, customer: &str, per_s: f64) -> Self {
        Self { class: class(priority, customer), per_s, withheld: 0, in_time: 0, all: 0 }
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all)
    }
}

/// Nodes that send to the targets of a pooled back end, which share one queue.
struct Site {
    now: Instant,
    random: ChaCha8Rng,
    leader: AdmissionController,
    nodes: Vec<(DemandCounter, AdmissionGate)>,
    flows: Vec<Flow>,
    /// Waiting requests: flow and time of arrival.
    queue: VecDeque<(usize, Instant)>,
    /// Running requests: when they end, flow and time of arrival.
    running: Vec<(Instant, usize, Instant)>,
    /// Whether withheld requests are refused.
    sheds: bool,
}

impl Site {
    const NODES: usize = 20;
    const SLOTS: usize = 60;
    const SERVICE: Duration = Duration::from_millis(200);
    const OBJECTIVE: Duration = Duration::from_millis(600);
    /// A target drops a request that waits for longer.
    const QUEUE_TIME_MAX: Duration = Duration::from_millis(1_200);
    /// Requests per second that the targets run.
    const CAPACITY_PER_S: f64 = 300.0;
    const REPORT_STEPS: usize = 60;

    fn new(seed: u64, flows: Vec<Flow>) -> Self {
        let nodes = (0..Self::NODES).map(|_| Default::default()).collect();
        Self {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            leader: AdmissionController::default(),
            nodes,
            flows,
            queue: VecDeque::new(),
            running: Vec::new(),
            sheds: true,
        }
    }

    fn simulate(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.now = self.now + STEP;
            for flow in 0..self.flows.len() {
                self.arrivals(flow);
            }
            self.run_requests();
            self.report();
            if self.leader.is_due(self.now, &back_end()) {
                self.update();
            }
        }
    }

    /// Simulates 3 s in which the overload starts, which are not counted, and 10 s.
    fn simulate_overload(&mut self) {
        self.simulate(Duration::from_secs(3));
        for flow in &mut self.flows {
            (flow.withheld, flow.in_time, flow.all) = (0, 0, 0);
        }
        self.simulate(Duration::from_secs(10));
    }

    fn arrivals(&mut self, index: usize) {
        let expected = self.flows[index].per_s * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            let node = self.random.random_range(0..Self::NODES);
            let (demand, gate) = &mut self.nodes[node];
            let flow = &mut self.flows[index];
            flow.all += 1;
            demand.count(&back_end(), flow.class.clone());
            let withheld =
                gate.withheld(self.now, &back_end(), None, &flow.class, &mut self.random);
            match withheld.is_some() && self.sheds {
                true => flow.withheld += 1,
                false => self.queue.push_back((index, self.now)),
            }
        }
    }

    fn run_requests(&mut self) {
        let now = self.now;
        let flows = &mut self.flows;
        self.running.retain(|(until, flow, arrived)| {
            let ended = *until <= now;
            let in_time = until.saturating_since(*arrived) <= Self::OBJECTIVE;
            flows[*flow].in_time += u32::from(ended && in_time);
            !ended
        });
        self.queue.retain(|(_, arrived)| now.saturating_since(*arrived) < Self::QUEUE_TIME_MAX);
        while self.running.len() < Self::SLOTS {
            let Some((flow, arrived)) = self.queue.pop_front() else { break };
            self.running.push((now + Self::SERVICE, flow, arrived));
        }
    }

    /// One node in turn reports and gets the shares.
    fn report(&mut self) {
        let step = (self.now.as_us() / STEP.as_micros() as u64) as usize;
        let (now, leader) = (self.now, &mut self.leader);
        let reporting = (0..Self::NODES)
            .filter(|node| step % Self::REPORT_STEPS == node * Self::REPORT_STEPS / Self::NODES);
        for node in reporting {
            let (demand, gate) = &mut self.nodes[node];
            leader.add_demand(now, &demand.take());
            gate.replace(now, leader.shares(now));
        }
    }

    fn update(&mut self) {
        let queue = self.queue.len() as f64;
        let slots = Self::SLOTS as f64;
        let rate_per_s = Self::CAPACITY_PER_S;
        let capacity = PooledCapacity { rate_per_s, slots, queue, queue_max: slots };
        self.leader.update_pooled(self.now, &back_end(), capacity);
    }
}

// Guards against urgent requests that wait behind less urgent ones or are refused before them, and
// against less urgent ones that get nothing at all.
#[rstest]
#[case::one_kind_fits(200.0, 300.0)]
#[case::urgent_kind_exceeds_the_capacity(400.0, 200.0)]
fn urgent_requests_are_run_first(#[case] urgent_per_s: f64, #[case] other_per_s: f64) {
    for seed in 0..5 {
        let flows = || vec![Flow::new(1, "a", other_per_s), Flow::new(0, "a", urgent_per_s)];
        let mut site = Site::new(seed, flows());
        let mut first_come = Site { sheds: false, ..Site::new(seed, flows()) };
        for site in [&mut site, &mut first_come] {
            site.simulate_overload();
        }
        let in_time = |site: &Site| site.flows.iter().map(|flow| flow.in_time).sum::<u32>();
        assert!(in_time(&site) > 2 * in_time(&first_come), "seed {seed}: {:?}", site.flows);
        let [other, urgent] = &site.flows[..] else { panic!("two flows") };
        let possible = (0.9 * Site::CAPACITY_PER_S / urgent_per_s).min(0.9);
        assert!(urgent.in_time_share() > possible, "seed {seed}: {urgent:?}");
        let floor_per_s = 0.03 * Site::CAPACITY_PER_S;
        assert!(other.in_time_share() > floor_per_s / other_per_s, "seed {seed}: {other:?}");
    }
}

// Guards against refusals at normal load, and in short bursts that the queues take.
#[rstest]
#[case::normal(0.75, 10_000)]
#[case::short_burst(1.3, 200)]
fn nothing_is_withheld_without_overload(#[case] load: f64, #[case] span_ms: u64) {
    for seed in 0..5 {
        let per_s = load * Site::CAPACITY_PER_S;
        let flows = vec![Flow::new(0, "a", per_s * 0.3), Flow::new(2, "b", per_s * 0.7)];
        let mut site = Site::new(seed, flows);
        site.simulate(Duration::from_millis(span_ms));
        let withheld: u32 = site.flows.iter().map(|flow| flow.withheld).sum();
        assert_eq!(withheld, 0, "seed {seed}");
    }
}

// Guards against a burst of one customer that costs the other customers of its priority requests
// that fit into their even part.
#[test]
fn a_customer_above_its_even_part_loses_first() {
    for seed in 0..5 {
        let flows =
            vec![Flow::new(1, "a", 600.0), Flow::new(1, "b", 60.0), Flow::new(1, "c", 60.0)];
        let mut site = Site::new(seed, flows);
        site.simulate_overload();
        let [hungry, others @ ..] = &site.flows[..] else { panic!("three flows") };
        assert!(hungry.in_time_share() > 0.2, "seed {seed}: {hungry:?}");
        for other in others {
            assert_eq!(other.withheld, 0, "seed {seed}: {other:?}");
            assert!(other.in_time_share() > 0.85, "seed {seed}: {other:?}");
        }
    }
}

// Guards against shares that change from all to few and back while the load stays the same.
#[test]
fn shares_are_steady_under_a_steady_overload() {
    let mut site = Site::new(1, vec![Flow::new(0, "a", 200.0), Flow::new(1, "a", 300.0)]);
    site.simulate(Duration::from_secs(5));
    let mut shares = Vec::new();
    for _ in 0..50 {
        site.simulate(Duration::from_millis(200));
        let lowest = site.leader.lowest_shares();
        let admitted = lowest.get(&(back_end(), Priority::new(1)));
        shares.push(admitted.map_or(PartsPerMillion::ONE, |admitted| *admitted));
    }
    let (min, max) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
    assert!(max.get() - min.get() < 250_000, "{shares:?}");
}

fn site_shares(priority: u8, admitted: u32) -> Vec<AdmittedShares> {
    let mut leader = AdmissionController::default();
    let requests = vec![(class(priority, "a"), 1_000_000)];
    leader.add_demand(START, &[BackEndDemand { back_end: back_end(), requests }]);
    // The demand is averaged over half a second.
    let rate_per_s = 2.0 * f64::from(admitted);
    let capacity = PooledCapacity { rate_per_s, slots: 1.0, queue: 1.0, queue_max: 2.0 };
    leader.update_pooled(START, &back_end(), capacity);
    leader.shares(START)
}

// Guards against nodes that admit more than the share in one second and less in the next. A node
// sees few of the requests.
#[test]
fn many_nodes_admit_the_share_evenly() {
    const NODES: usize = 80;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut gates: Vec<AdmissionGate> = (0..NODES).map(|_| AdmissionGate::default()).collect();
    gates.iter_mut().for_each(|gate| gate.replace(START, site_shares(1, 300_000)));
    for second in 0..20 {
        let mut admitted = 0;
        for request in 0..NODES * 10 {
            let gate = &mut gates[request % NODES];
            let class = class(1, "a");
            let withheld = gate.withheld(START, &back_end(), None, &class, &mut random);
            admitted += usize::from(withheld.is_none());
        }
        // With independent decisions the standard deviation is 13.
        let expected = NODES * 10 * 3 / 10;
        assert!(admitted.abs_diff(expected) <= 12, "second {second}: {admitted} of {expected}");
    }
}

// Guards against a node that refuses requests by the shares of a leader that has been silent for
// too long.
#[test]
fn shares_expire_without_a_reply() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut gate = AdmissionGate::default();
    gate.replace(START, site_shares(1, 0));
    let class = class(1, "a");
    let mut withheld = |now| gate.withheld(now, &back_end(), None, &class, &mut random).is_some();
    assert!(withheld(START + ReportTiming::REPLY_LIFETIME - Duration::from_millis(1)));
    assert!(!withheld(START + ReportTiming::REPLY_LIFETIME));
}

// Guards against requests that are refused by shares that the leader can no longer compute, because
// it cannot read the owners of a back end.
#[test]
fn the_leader_drops_shares_that_are_not_computed_again() {
    let mut leader = AdmissionController::default();
    let limited = RangeShare { range: range(0, 99), admitted: ppm(300_000) };
    leader.update_keyed(START, &back_end(), vec![limited]);
    assert_eq!(leader.shares(START).len(), 1);
    assert!(leader.shares(START + ReportTiming::REPLY_LIFETIME).is_empty());
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(ShardKey::new(first), ShardKey::new(last)).unwrap()
}

fn ppm(share: u32) -> PartsPerMillion {
    PartsPerMillion::new(share)
}

fn keyed_shares(demands: &[(u16, u8, u32)], limited: &[RangeShare]) -> Vec<KeyedShare> {
    let mut leader = AdmissionController::default();
    for (key, priority, requests) in demands {
        let (key, priority) = (ShardKey::new(*key), Priority::new(*priority));
        leader.add_key_demand(START, &back_end(), key, priority, *requests);
    }
    leader.update_keyed(START, &back_end(), limited.to_vec());
    leader.shares(START).into_iter().flat_map(|shares| shares.ranges).collect()
}

// Guards against a changed share of the requests of a range that all have the same priority.
#[test]
fn a_range_with_one_priority_keeps_its_share() {
    let limited = RangeShare { range: range(0, 99), admitted: ppm(333_333) };
    let shares = keyed_shares(&[(5, 2, 90), (200, 0, 40)], std::slice::from_ref(&limited));
    let [share] = &shares[..] else { panic!("one range is limited: {shares:?}") };
    for priority in [0, 2] {
        assert_eq!(share.of(Priority::new(priority)), limited.admitted);
    }
}

// Guards against urgent requests on a hot key that are refused like the others, against others
// that are starved, and against a room that differs from the one that the range has.
#[rstest]
#[case::urgent_fits(20, 80, 300_000)]
#[case::urgent_exceeds_the_room(80, 20, 300_000)]
fn urgent_requests_on_a_hot_key_go_first(
    #[case] urgent: u32,
    #[case] other: u32,
    #[case] admitted: u32,
) {
    let limited = RangeShare { range: range(5, 5), admitted: ppm(admitted) };
    let shares = keyed_shares(&[(5, 1, other), (5, 0, urgent)], &[limited]);
    let share_of = |priority| shares[0].of(Priority::new(priority)).of(1.0);
    let (urgent, other) = (f64::from(urgent), f64::from(other));
    let room = (urgent + other) * f64::from(admitted) / 1e6;
    let sent = share_of(0) * urgent + share_of(1) * other;
    assert!((sent - room).abs() < 0.01 * room, "{sent} of {room}");
    assert!(share_of(0) >= (0.94 * room / urgent).min(1.0), "{shares:?}");
    assert!(share_of(1) * other >= 0.049 * room, "{shares:?}");
}
