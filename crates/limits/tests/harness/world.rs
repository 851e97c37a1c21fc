//! Simulated nodes whose clocks drift, and a network that loses and delays messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Incarnation, Instant, NodeId, ZoneId};
use wagtailmoor_limits::{Issuer, IssuerTerm};

use super::MS;
use super::plan::{Fault, Plan};

/// A point in true time and on the clock of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeTime {
    pub node: usize,
    pub true_us: u64,
    pub local: Instant,
}

/// State machines under test, with their workload and checks.
pub trait Protocol {
    type Holder;
    type Issuer: Issuer;

    fn holder(
        &mut self,
        at: NodeTime,
        id: &NodeId,
        incarnation: Incarnation,
        zone: usize,
    ) -> Self::Holder;
    fn issuer(&mut self, at: NodeTime, term: IssuerTerm, zone: usize) -> Self::Issuer;
    fn tick(&mut self, now: Instant, holder: &mut Self::Holder) -> Requests<Self>;
    fn next_tick(&self, now: Instant, holder: &Self::Holder) -> Instant;
    fn on_reply(
        &mut self,
        at: NodeTime,
        holder: &mut Self::Holder,
        zone: usize,
        reply: Reply<Self>,
    );
    fn release_all(&mut self, at: NodeTime, holder: &mut Self::Holder) -> Requests<Self>;
    /// Runs due work of a node and returns when its next work is due.
    fn run_due_work(
        &mut self,
        at: NodeTime,
        holder: &mut Self::Holder,
        rng: &mut ChaCha8Rng,
    ) -> u64;
    fn on_stop(&mut self, at: NodeTime);
    /// Returns when a node has work to do as a result of a reply.
    fn wake_us(&self, _node: usize) -> Option<u64> {
        None
    }
    /// Returns whether [`Protocol::run_issuer_actions`] has something to do.
    fn has_issuer_actions(&self, _true_us: u64) -> bool {
        false
    }
    /// Acts on the current issuers, for example to change a limit.
    fn run_issuer_actions(&mut self, _true_us: u64, _issuers: &mut [(Instant, &mut Self::Issuer)]) {
    }
}

pub type Request<P> = <<P as Protocol>::Issuer as Issuer>::Request;
pub type Reply<P> = <<P as Protocol>::Issuer as Issuer>::Reply;
/// Functions that return the encoded size of a request and of a reply.
pub type Measure<P> = (fn(&Request<P>) -> u64, fn(&Reply<P>) -> u64);
pub type Requests<P> = Vec<(usize, Request<P>)>;

struct Node<H> {
    id: NodeId,
    zone: usize,
    skew_ppm: i64,
    offset_us: u64,
    /// Changes with each start and stop; events of earlier epochs are ignored.
    epoch: u64,
    holder: Option<H>,
    paused_until_us: u64,
    partitioned_until_us: u64,
}

struct ZoneIssuer<I> {
    node: usize,
    /// Node that holders send their requests to; follows `node` with a delay.
    known_node: usize,
    issuer: Option<I>,
}

enum Event<P: Protocol + ?Sized> {
    Tick { node: usize, epoch: u64 },
    Work { node: usize, epoch: u64 },
    Wake { node: usize, epoch: u64 },
    Request { from: usize, epoch: u64, to: usize, zone: usize, request: Request<P> },
    Reply { from: usize, to: usize, epoch: u64, zone: usize, reply: Reply<P> },
    Fault(Fault),
    StartIssuer { zone: usize, node: usize },
    UpdateKnownNode { zone: usize },
}

/// Messages and bytes sent by holders and issuers to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct World<P: Protocol> {
    pub protocol: P,
    pub plan: Plan,
    pub steps: u64,
    pub traffic: Traffic,
    /// Functions that measure encoded sizes, if bytes are counted.
    pub measure: Option<Measure<P>>,
    rng: ChaCha8Rng,
    now_us: u64,
    nodes: Vec<Node<P::Holder>>,
    zones: Vec<ZoneIssuer<P::Issuer>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event<P>>,
    next_event: u64,
}

pub fn zone_id(zone: usize) -> ZoneId {
    format!("z{zone}").parse().expect("a valid zone id")
}

pub fn zone_index(zone: &ZoneId) -> usize {
    zone.as_str()[1..].parse().expect("an id created by zone_id")
}

impl<P: Protocol> World<P> {
    pub fn new(seed: u64, plan: Plan, protocol: P) -> Self {
        let mut world = Self {
            protocol,
            steps: 0,
            traffic: Traffic::default(),
            measure: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x11_317),
            now_us: 0,
            nodes: Vec::new(),
            zones: Vec::new(),
            queue: BinaryHeap::new(),
            events: Default::default(),
            next_event: 0,
            plan,
        };
        (0..world.plan.nodes).for_each(|node| world.add_node(node));
        (0..world.plan.zones).for_each(|zone| world.add_zone(zone));
        (0..world.plan.nodes).for_each(|node| world.start_node(node));
        for (at, fault) in world.plan.faults.clone() {
            world.schedule(at, Event::Fault(fault));
        }
        world
    }

    /// Runs to the end of the plan.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.plan.end_us {
                break;
            }
            self.now_us = self.now_us.max(at);
            self.steps += 1;
            let event = self.events.remove(&number).expect("a queued event is stored");
            self.handle(event);
            self.run_due_issuer_actions();
        }
    }

    fn add_node(&mut self, node: usize) {
        let skew_ppm = if self.plan.drift { self.rng.random_range(-10_000..=10_000) } else { 0 };
        let state = Node {
            id: format!("node-{node}").parse().expect("a valid node id"),
            zone: node % self.plan.zones,
            skew_ppm,
            offset_us: self.rng.random_range(0..1_000_000_000),
            epoch: 0,
            holder: None,
            paused_until_us: 0,
            partitioned_until_us: 0,
        };
        self.nodes.push(state);
    }

    fn add_zone(&mut self, zone: usize) {
        self.zones.push(ZoneIssuer { node: zone, known_node: zone, issuer: None });
        self.start_issuer(zone, zone);
    }

    fn node_time(&self, node: usize) -> NodeTime {
        let state = &self.nodes[node];
        let skew = self.now_us as i64 * state.skew_ppm / 1_000_000;
        let local = Instant::from_us((state.offset_us + self.now_us).wrapping_add_signed(skew));
        NodeTime { node, true_us: self.now_us, local }
    }

    fn schedule(&mut self, at: u64, event: Event<P>) {
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn handle(&mut self, event: Event<P>) {
        match event {
            Event::Tick { node, epoch } => self.on_node_event(node, epoch, event),
            Event::Work { node, epoch } => self.on_node_event(node, epoch, event),
            Event::Wake { node, epoch } => self.on_node_event(node, epoch, event),
            Event::Request { from, epoch, to, zone, request } => {
                match self.nodes[to].paused_until_us {
                    until if until > self.now_us => {
                        self.schedule(until, Event::Request { from, epoch, to, zone, request })
                    }
                    _ => self.on_request(from, epoch, to, zone, &request),
                }
            }
            Event::Reply { from, to, epoch, zone, reply } => match self.nodes[to].paused_until_us {
                until if until > self.now_us => {
                    self.schedule(until, Event::Reply { from, to, epoch, zone, reply });
                }
                _ => self.on_reply(from, to, epoch, zone, reply),
            },
            Event::Fault(fault) => self.on_fault(fault),
            Event::StartIssuer { zone, node } => self.start_issuer(zone, node),
            Event::UpdateKnownNode { zone } => self.zones[zone].known_node = self.zones[zone].node,
        }
    }

    fn on_node_event(&mut self, node: usize, epoch: u64, event: Event<P>) {
        let at = self.node_time(node);
        let state = &mut self.nodes[node];
        let paused_until_us = state.paused_until_us;
        let Some(holder) = state.holder.as_mut().filter(|_| state.epoch == epoch) else { return };
        if paused_until_us > self.now_us {
            return self.schedule(paused_until_us, event);
        }
        match event {
            Event::Work { .. } | Event::Wake { .. } => {
                let next = self.protocol.run_due_work(at, holder, &mut self.rng);
                if matches!(event, Event::Work { .. }) {
                    self.schedule(next.max(self.now_us + 1), event);
                }
                self.tick(node);
            }
            _ => {
                self.tick(node);
                let holder = self.nodes[node].holder.as_ref().expect("the node is running");
                let due = self.protocol.next_tick(at.local, holder);
                let after = due.saturating_since(at.local).as_micros() as u64;
                self.schedule(self.now_us + after.max(MS), event);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        let at = self.node_time(node);
        let Some(holder) = self.nodes[node].holder.as_mut() else { return };
        let requests = self.protocol.tick(at.local, holder);
        self.send(node, requests);
    }

    fn send(&mut self, from: usize, requests: Requests<P>) {
        let epoch = self.nodes[from].epoch;
        for (zone, request) in requests {
            let to = self.zones[zone].known_node;
            let size = self.measure.map_or(0, |(request_size, _)| request_size(&request));
            self.transmit(from, to, size, Event::Request { from, epoch, to, zone, request });
        }
    }

    fn transmit(&mut self, from: usize, to: usize, size: u64, event: Event<P>) {
        self.traffic.messages += u64::from(from != to);
        self.traffic.bytes += if from == to { 0 } else { size };
        let faulty = self.now_us < self.plan.faults_end_us && from != to;
        if self.is_partitioned(from, to) || faulty && self.rng.random_bool(self.plan.loss_rate) {
            return;
        }
        let delayed = faulty && self.rng.random_bool(self.plan.delay_rate);
        let extra = if delayed { self.rng.random_range(0..600 * MS) } else { 0 };
        let latency = self.plan.latency_us;
        let at = self.now_us + self.rng.random_range(latency / 2..=latency * 2) + extra;
        self.schedule(at, event);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let partitioned = |node: usize| self.nodes[node].partitioned_until_us > self.now_us;
        from != to && (partitioned(from) || partitioned(to))
    }

    fn on_request(
        &mut self,
        from: usize,
        epoch: u64,
        to: usize,
        zone: usize,
        request: &Request<P>,
    ) {
        let at = self.node_time(to);
        let partitioned = self.is_partitioned(from, to);
        let zone_issuer = &mut self.zones[zone];
        let issuer = zone_issuer.issuer.as_mut().filter(|_| zone_issuer.node == to && !partitioned);
        let Some(issuer) = issuer else { return };
        let reply = issuer.on_request(at.local, request);
        let size = self.measure.map_or(0, |(_, reply_size)| reply_size(&reply));
        self.transmit(to, from, size, Event::Reply { from: to, to: from, epoch, zone, reply });
    }

    fn on_reply(&mut self, from: usize, to: usize, epoch: u64, zone: usize, reply: Reply<P>) {
        let at = self.node_time(to);
        let partitioned = self.is_partitioned(from, to);
        let state = &mut self.nodes[to];
        let Some(holder) = state.holder.as_mut().filter(|_| state.epoch == epoch && !partitioned)
        else {
            return;
        };
        self.protocol.on_reply(at, holder, zone, reply);
        if let Some(wake_us) = self.protocol.wake_us(to) {
            self.schedule(wake_us.max(self.now_us + 1), Event::Wake { node: to, epoch });
        }
        self.tick(to);
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause { node, for_us } => {
                self.nodes[node].paused_until_us = self.now_us + for_us;
            }
            Fault::Partition { node, for_us } => {
                self.nodes[node].partitioned_until_us = self.now_us + for_us
            }
            Fault::Restart { node } => {
                self.stop_node(node, 500 * MS);
                self.start_node(node);
            }
            Fault::Leave { node, graceful } => {
                if graceful {
                    self.release(node);
                }
                // A controller that resigns is replaced at once, a failed one when its lease
                // expires.
                self.stop_node(node, if graceful { 20 * MS } else { 500 * MS });
            }
            Fault::Join { node } if self.nodes[node].holder.is_none() => self.start_node(node),
            Fault::Join { .. } => {}
            Fault::MoveIssuer { zone, to, gap_us } => self.stop_issuer(zone, to, gap_us),
        }
    }

    fn release(&mut self, node: usize) {
        let at = self.node_time(node);
        if let Some(holder) = self.nodes[node].holder.as_mut() {
            let requests = self.protocol.release_all(at, holder);
            self.send(node, requests);
        }
    }

    fn stop_node(&mut self, node: usize, gap_us: u64) {
        if self.nodes[node].holder.take().is_some() {
            self.protocol.on_stop(self.node_time(node));
        }
        self.nodes[node].epoch += 1;
        for zone in 0..self.zones.len() {
            if self.zones[zone].node == node && self.zones[zone].issuer.is_some() {
                let to = (node + 1) % self.nodes.len();
                self.stop_issuer(zone, to, gap_us);
            }
        }
    }

    fn start_node(&mut self, node: usize) {
        let at = self.node_time(node);
        let state = &mut self.nodes[node];
        state.epoch += 1;
        let (epoch, incarnation) = (state.epoch, Incarnation::new(state.epoch));
        state.holder = Some(self.protocol.holder(at, &state.id, incarnation, state.zone));
        let start_delay_us = self.rng.random_range(0..20 * MS);
        self.schedule(self.now_us + start_delay_us, Event::Tick { node, epoch });
        self.schedule(self.now_us + start_delay_us, Event::Work { node, epoch });
    }

    /// Ends the authority of an issuer; its successor starts after `gap_us`.
    fn stop_issuer(&mut self, zone: usize, to: usize, gap_us: u64) {
        self.zones[zone].issuer = None;
        self.schedule(self.now_us + gap_us, Event::StartIssuer { zone, node: to });
    }

    fn start_issuer(&mut self, zone: usize, node: usize) {
        if self.zones[zone].issuer.is_some() {
            return; // Two moves overlapped and the other one started its issuer first.
        }
        let at = self.node_time(node);
        let term = IssuerTerm::new(self.rng.random_range(1..u32::MAX));
        let issuer = self.protocol.issuer(at, term, zone);
        self.zones[zone].node = node;
        self.zones[zone].issuer = Some(issuer);
        let update_delay_us = self.rng.random_range(0..50 * MS);
        self.schedule(self.now_us + update_delay_us, Event::UpdateKnownNode { zone });
    }

    fn run_due_issuer_actions(&mut self) {
        if !self.protocol.has_issuer_actions(self.now_us) {
            return;
        }
        let locals: Vec<Instant> =
            self.zones.iter().map(|zone_issuer| self.node_time(zone_issuer.node).local).collect();
        let zones = self.zones.iter_mut().zip(locals);
        let mut issuers: Vec<_> = zones
            .filter_map(|(zone_issuer, local)| {
                zone_issuer.issuer.as_mut().map(|issuer| (local, issuer))
            })
            .collect();
        self.protocol.run_issuer_actions(self.now_us, &mut issuers);
    }
}
