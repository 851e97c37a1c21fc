//! A model of a site: nodes, leaders that change, messages, and customers that send requests.

mod node;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_admission::{LimitIssuer, LimitSettings, ReportTiming, UsageReport};
use wagtailmoor_core::{Instant, Requests, RequestsPerSecond};
use wagtailmoor_site::CustomerRule;

pub(crate) use node::Mode;
use node::{Node, Reply, Report};

const STEP: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(30);
/// Time at the start with little demand and without disturbance.
pub(crate) const START_SPAN: Duration = Duration::from_secs(5);

/// Time between two renewals of the leader's row, which states the number of nodes.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// A leader that did not renew its row for this long no longer leads.
const LEASE: Duration = Duration::from_secs(4);

/// Lower bound of the random factor of the report interval.
const INTERVAL_JITTER_MIN: f64 = 0.8;

/// A kind of disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The leader ends its term, and after a while another node leads.
    LeaderChange,
    /// The leader stands still, continues, and handles the queued reports at once.
    LeaderPause,
    /// Reports and replies are lost or late.
    Messages,
    /// Nodes restart and lose their usage.
    Restart,
    /// Nodes do not reach the leader.
    Cut,
}

pub(crate) struct Customer {
    demand_per_s: f64,
    due: f64,
    /// Weights of the nodes. Without weights, requests reach the nodes in turn.
    weights: Vec<u32>,
    turn: usize,
    pub(crate) admitted: Vec<(Instant, usize, Mode)>,
    pub(crate) refused: Vec<Instant>,
}

pub(crate) struct World {
    now: Instant,
    pub(crate) started: Instant,
    random: ChaCha8Rng,
    kinds: &'static [Kind],
    changes_demand: bool,
    pub(crate) rules: Vec<CustomerRule>,
    pub(crate) customers: Vec<Customer>,
    nodes: Vec<Node>,
    leader: Option<usize>,
    term: u32,
    issuer: LimitIssuer,
    elect_at: Instant,
    stored_nodes: u32,
    renew_at: Instant,
    messages_fail_until: Instant,
    reports: Vec<Report>,
    replies: Vec<Reply>,
    pub(crate) events: Vec<(Instant, String)>,
}

impl World {
    pub(crate) fn new(seed: u64, kinds: &'static [Kind]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::from_us(100_000_000);
        let count = random.random_range(2..=40);
        let rules: Vec<_> = ["hotel", "airline"].map(|name| rule(name, count, &mut random)).into();
        let customers = rules.iter().map(|rule| Customer {
            demand_per_s: f64::from(rule.rate.get()) * 0.5,
            due: 0.0,
            weights: Vec::new(),
            turn: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
        });
        let mut world = Self {
            now,
            started: now,
            customers: customers.collect(),
            rules,
            nodes: (0..count).map(|number| Node::new(number, now)).collect(),
            random,
            kinds,
            changes_demand: true,
            leader: None,
            term: 0,
            issuer: LimitIssuer::new(LimitSettings::default()),
            elect_at: now,
            stored_nodes: 0,
            renew_at: now,
            messages_fail_until: now,
            reports: Vec::new(),
            replies: Vec::new(),
            events: Vec::new(),
        };
        world.elect();
        world
    }

    pub(crate) fn run(&mut self) {
        let end = self.started + SPAN;
        while self.now < end {
            self.now = self.now + STEP;
            if self.now >= self.started + START_SPAN {
                self.change_demand();
                self.disturb();
            }
            self.lead();
            self.arrive();
            self.handle_reports();
            self.apply_replies();
            self.report();
        }
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Sends requests at a constant part of the customers' rates, to the nodes in turn.
    pub(crate) fn set_constant_demand(&mut self, factor: f64) {
        self.changes_demand = false;
        for (customer, rule) in self.customers.iter_mut().zip(&self.rules) {
            customer.demand_per_s = f64::from(rule.rate.get()) * factor;
        }
    }

    fn span_ms(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..=max))
    }

    fn is_running(&self, node: usize) -> bool {
        self.now >= self.nodes[node].idle_until
    }

    fn change_demand(&mut self) {
        if !self.changes_demand || !self.random.random_bool(0.006) {
            return;
        }
        let index = self.random.random_range(0..self.customers.len());
        let factor = [0.1, 0.5, 0.9, 1.2, 2.0, 5.0, 10.0][self.random.random_range(0..7)];
        let weights_max = [1, 4, 30][self.random.random_range(0..3)];
        let random = &mut self.random;
        let weights: Vec<u32> =
            self.nodes.iter().map(|_| random.random_range(1..=weights_max)).collect();
        self.events.push((self.now, format!("customer {index} sends {factor} of its rate")));
        let customer = &mut self.customers[index];
        customer.demand_per_s = f64::from(self.rules[index].rate.get()) * factor;
        customer.weights = weights;
    }

    fn disturb(&mut self) {
        if self.kinds.is_empty() || !self.random.random_bool(0.003) {
            return;
        }
        let kind = self.kinds[self.random.random_range(0..self.kinds.len())];
        let now = self.now;
        match (kind, self.leader) {
            (Kind::LeaderChange, Some(_)) => {
                self.leader = None;
                self.elect_at = now + self.span_ms(300, 5_000);
            }
            (Kind::LeaderPause, Some(leader)) if self.is_running(leader) => {
                self.nodes[leader].idle_until = now + self.span_ms(300, 4_000);
            }
            (Kind::Messages, _) => self.messages_fail_until = now + self.span_ms(300, 6_000),
            (Kind::Restart, _) => self.pick_nodes().into_iter().for_each(|node| self.restart(node)),
            (Kind::Cut, _) => {
                let until = now + self.span_ms(500, 8_000);
                self.pick_nodes().into_iter().for_each(|node| self.nodes[node].cut_until = until);
            }
            _ => return,
        }
        self.events.push((now, format!("{kind:?}")));
    }

    /// Returns up to a third of the nodes, without the leader.
    fn pick_nodes(&mut self) -> Vec<usize> {
        let count = self.random.random_range(0..=self.nodes.len() / 3) + 1;
        let picked: Vec<_> =
            (0..count).map(|_| self.random.random_range(0..self.nodes.len())).collect();
        picked.into_iter().filter(|node| Some(*node) != self.leader).collect()
    }

    fn restart(&mut self, node: usize) {
        let up_at = self.now + self.span_ms(100, 1_500);
        let mut restarted = Node::new(node, up_at);
        restarted.limits.assume_nodes(up_at, self.stored_nodes);
        restarted.cut_until = self.nodes[node].cut_until;
        self.nodes[node] = restarted;
    }

    /// Stores the number of nodes, or makes another node the leader.
    fn lead(&mut self) {
        match self.leader {
            None if self.now >= self.elect_at => self.elect(),
            Some(leader) if self.is_running(leader) && self.now >= self.renew_at => {
                match self.now < self.renew_at + (LEASE - RENEW_INTERVAL) {
                    true => self.renew(),
                    false => self.leader = None,
                }
            }
            _ => {}
        }
    }

    fn renew(&mut self) {
        self.renew_at = self.now + RENEW_INTERVAL;
        let nodes = self.issuer.nodes(self.now);
        if nodes != self.stored_nodes {
            self.stored_nodes = nodes;
            self.events.push((self.now, format!("the leader stores {nodes} nodes")));
        }
    }

    fn elect(&mut self) {
        let now = self.now;
        let node = self.random.random_range(0..self.nodes.len());
        if !self.is_running(node) || now < self.nodes[node].cut_until {
            return;
        }
        self.leader = Some(node);
        self.term += 1;
        self.issuer = LimitIssuer::new(LimitSettings::default());
        self.issuer.start_term(now, self.stored_nodes);
        self.renew_at = now + RENEW_INTERVAL;
        for index in 0..self.nodes.len() {
            self.nodes[index].learns_at = now + self.span_ms(0, 400);
        }
        self.nodes[node].learns_at = now;
        self.events.push((now, format!("node {node} leads")));
    }

    fn arrive(&mut self) {
        for index in 0..self.customers.len() {
            self.customers[index].due += self.customers[index].demand_per_s * STEP.as_secs_f64();
            while self.customers[index].due >= 1.0 {
                self.customers[index].due -= 1.0;
                let node = self.pick_target(index);
                if self.is_running(node) {
                    self.request(index, node);
                }
            }
        }
    }

    fn pick_target(&mut self, customer: usize) -> usize {
        let customer = &mut self.customers[customer];
        if customer.weights.is_empty() {
            customer.turn += 1;
            return customer.turn % self.nodes.len();
        }
        let mut left = self.random.random_range(0..customer.weights.iter().sum());
        let chosen = customer.weights.iter().position(|weight| match left.checked_sub(*weight) {
            Some(rest) => {
                left = rest;
                false
            }
            None => true,
        });
        chosen.unwrap()
    }

    fn request(&mut self, index: usize, number: usize) {
        let (now, rule) = (self.now, &self.rules[index]);
        let node = &mut self.nodes[number];
        let mode = node.mode(now, rule);
        let customer = &mut self.customers[index];
        match node.limits.admit(now, rule) {
            Ok(()) => customer.admitted.push((now, number, mode)),
            Err(_) => customer.refused.push(now),
        }
    }

    /// Returns when a message arrives, unless it is lost.
    fn transfer(&mut self) -> Option<Instant> {
        let fails = self.now < self.messages_fail_until;
        let delay = match self.random.random_range(0..10) {
            0 if fails => return None,
            1..5 if fails => self.span_ms(0, 300),
            _ => self.span_ms(0, 10),
        };
        Some(self.now + delay)
    }

    /// Sends the reports that are due. The leader handles its own at once.
    fn report(&mut self) {
        let now = self.now;
        for index in 0..self.nodes.len() {
            self.expire_call(index);
            let node = &mut self.nodes[index];
            if now < node.idle_until || now < node.report_at || node.pending.is_some() {
                continue;
            }
            let used = node.limits.take_usage(now);
            node.pending = Some((now, used.clone()));
            let (knows_leader, cut) = (now >= node.learns_at, now < node.cut_until);
            if self.leader == Some(index) {
                let reply = self.answer(index, now, used);
                self.apply(reply);
            } else if knows_leader && !cut {
                let arrives = self.transfer();
                let term = self.term;
                let report = |arrives| Report { node: index, term, sent: now, arrives, used };
                self.reports.extend(arrives.map(report));
            }
        }
    }

    /// Returns the usage of a report without a reply to the node.
    fn expire_call(&mut self, index: usize) {
        let (now, stored_nodes) = (self.now, self.stored_nodes);
        let node = &mut self.nodes[index];
        let expired = |(sent, _): &mut (Instant, _)| now > *sent + ReportTiming::CALL_TIMEOUT;
        if now < node.idle_until {
            return;
        }
        if let Some((_, used)) = node.pending.take_if(expired) {
            node.limits.restore_usage(used);
            // A node that is cut off does not reach the store.
            if now >= node.cut_until {
                node.limits.assume_nodes(now, stored_nodes);
            }
            self.schedule_report(index);
        }
    }

    fn schedule_report(&mut self, index: usize) {
        let jitter = self.random.random_range(INTERVAL_JITTER_MIN..1.0);
        let interval = ReportTiming::interval(self.nodes.len()).mul_f64(jitter);
        self.nodes[index].report_at = self.now + interval;
    }

    /// Handles the reports that have arrived, in order, unless the leader stands still.
    fn handle_reports(&mut self) {
        let now = self.now;
        let term = self.leader.map(|_| self.term);
        self.reports.retain(|report| Some(report.term) == term);
        if self.leader.is_none_or(|leader| !self.is_running(leader)) {
            return;
        }
        let arrived = self.reports.extract_if(.., |report| report.arrives <= now);
        let mut arrived: Vec<_> = arrived.collect();
        arrived.sort_by_key(|report| report.arrives);
        for Report { node, sent, used, .. } in arrived {
            let reply = self.answer(node, sent, used);
            if let Some(arrives) = self.transfer() {
                self.replies.push(Reply { arrives, ..reply });
            }
        }
    }

    /// Answers a report in the order of `answer_report` of the router.
    fn answer(&mut self, node: usize, sent: Instant, used: UsageReport) -> Reply {
        let (now, name, rules) = (self.now, &self.nodes[node].name, &self.rules);
        self.issuer.record_usage(now, name, used, || rules.iter());
        let allowances = self.issuer.allowances(now, name, rules.iter());
        Reply { node, sent, arrives: now, allowances, nodes: self.issuer.nodes(now) }
    }

    fn apply_replies(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self.replies.extract_if(.., |reply| reply.arrives <= now).collect();
        for reply in arrived {
            let node = &self.nodes[reply.node];
            if now >= node.cut_until && now >= node.idle_until {
                self.apply(reply);
            }
        }
    }

    /// Applies a reply, unless its node has given up the call or has restarted.
    fn apply(&mut self, reply: Reply) {
        let node = &mut self.nodes[reply.node];
        let is_pending = node.pending.as_ref().is_some_and(|(sent, _)| *sent == reply.sent);
        if !is_pending || !ReportTiming::is_in_time(reply.sent, self.now) {
            return;
        }
        node.pending = None;
        node.limits.apply_reply(reply.sent, reply.allowances.clone(), reply.nodes);
        node.applied = Some((reply.sent, reply.allowances));
        self.schedule_report(reply.node);
    }
}

fn rule(name: &str, nodes: usize, random: &mut ChaCha8Rng) -> CustomerRule {
    let rate = nodes as f64 * random.random_range(4.0..12.0);
    let burst = rate * random.random_range(0.7..1.5);
    CustomerRule {
        customer: name.parse().unwrap(),
        priority: None,
        rate: RequestsPerSecond::new(rate as u32),
        burst: Requests::new(burst as u32),
    }
}
