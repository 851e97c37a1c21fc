//! Simulated zones with controllers, targets and a table on a simulated clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{BackEndId, Generation, Instant, Weight, ZoneId};
use wagtailmoor_ownership::{
    Authority, BackEndSettings, Fencing, Grant, Input, OwnershipSettings, QueryHeld, Revoke,
    RouteUpdate, RowSource, Target, TargetState, WriteRows, ZoneState,
};

use crate::fake_table::FakeTable;
use crate::fake_target::{DriftingClock, FakeTarget, TargetFaults};
use crate::node::Node;
use crate::occupancy::Occupancies;

pub(crate) const MS: u64 = 1_000;

/// Size of a simulated system and the faults injected into it.
#[derive(Clone, Debug)]
pub(crate) struct SimConfig {
    pub(crate) zones: usize,
    pub(crate) nodes: usize,
    pub(crate) targets: usize,
    pub(crate) segments: u32,
    pub(crate) slots_per_segment: u32,
    pub(crate) unchecked: bool,
    pub(crate) random_faults: bool,
    pub(crate) target_faults: TargetFaults,
    /// Interval between ticks of a controller, ms.
    pub(crate) tick_ms: u64,
    /// Bound on the rate error of every clock, ppm.
    pub(crate) drift_ppm: i64,
    /// Longest request according to the settings of the controllers, ms; requests take up to 500
    /// ms.
    pub(crate) request_max_ms: u64,
    pub(crate) table_ignores_versions: bool,
    /// Acknowledges a revocation before the target has received it.
    pub(crate) acknowledges_early: bool,
    /// Starts the authority of a new controller in the past, as if the controller had queried all
    /// targets and waited until earlier leases had ended.
    pub(crate) skips_query: bool,
}

impl Default for SimConfig {
    fn default() -> Self {
        Self {
            zones: 2,
            nodes: 2,
            targets: 3,
            segments: 4,
            slots_per_segment: 4,
            unchecked: true,
            random_faults: true,
            target_faults: TargetFaults::default(),
            tick_ms: 50,
            drift_ppm: 4_900,
            request_max_ms: 500,
            table_ignores_versions: false,
            acknowledges_early: false,
            skips_query: false,
        }
    }
}

pub(crate) enum Event {
    Tick(usize),
    Pull(usize),
    RenewLease(usize),
    Announce(usize),
    ToNode(usize, Input),
    Routes(usize, Instant, RouteUpdate),
    Send(usize, TargetCall, Instant),
    ToTarget(usize, TargetCall),
    Revoked(usize, Revoke),
    ToTable(usize, TableCall),
}

#[derive(Clone)]
pub(crate) enum TargetCall {
    Grant(Grant),
    Revoke(Revoke),
    Query(QueryHeld),
}

pub(crate) enum TableCall {
    Read(BackEndId, Instant),
    Write(WriteRows),
}

pub(crate) struct ZoneLease {
    pub(crate) controller: usize,
    pub(crate) until_us: u64,
    pub(crate) generation: u64,
}

pub(crate) struct World {
    pub(crate) now_us: u64,
    pub(crate) random: ChaCha8Rng,
    pub(crate) config: SimConfig,
    pub(crate) settings: OwnershipSettings,
    pub(crate) nodes: Vec<Node>,
    pub(crate) targets: Vec<FakeTarget>,
    pub(crate) table: FakeTable,
    pub(crate) zones: Vec<ZoneState>,
    pub(crate) steps: u64,
    pub(crate) grants: u64,
    pub(crate) random_faults: bool,
    pub(crate) leases: Vec<ZoneLease>,
    back_ends: Vec<BackEndSettings>,
    pub(crate) blocked: BTreeMap<(usize, usize, bool), u64>,
    pub(crate) occupancies: Occupancies,
    queue: BinaryHeap<(Reverse<(u64, u64)>, usize)>,
    events: Vec<Option<Event>>,
    sequence: u64,
}

pub(crate) fn back_end(name: &str) -> BackEndId {
    name.parse().expect("a valid id")
}

impl World {
    pub(crate) fn new(seed: u64, config: SimConfig, settings: OwnershipSettings) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut back_ends = vec![BackEndSettings::new(back_end("feed"), Fencing::Grants)];
        if config.unchecked {
            back_ends.push(BackEndSettings::new(back_end("pump"), Fencing::Unchecked));
        }
        for each in &mut back_ends {
            each.segments = config.segments;
            each.request_max_ms = config.request_max_ms;
            each.target_capacity = Some(wagtailmoor_core::RequestsPerSecond::new(100));
        }
        let zone = |index: usize| -> ZoneId { format!("z{index}").parse().expect("a valid id") };
        let zones: Vec<ZoneState> = (0..config.zones)
            .map(|index| ZoneState { zone: zone(index), in_service: true, weight: Weight::new(1) })
            .collect();
        let mut clock = || DriftingClock {
            offset_us: random.random_range(0..3_600_000_000),
            rate_ppm: random.random_range(-config.drift_ppm..=config.drift_ppm),
        };
        let nodes = (0..config.zones * config.nodes)
            .map(|index| {
                Node::new(zone(index / config.nodes), clock(), &settings, seed ^ index as u64)
            })
            .collect();
        let target = |index: usize| Target {
            target: format!("s{index}").parse().expect("a valid id"),
            zone: zone(index / config.targets),
            capacity: Weight::new(1),
            state: TargetState::Live,
        };
        let targets = (0..config.zones * config.targets)
            .map(|index| FakeTarget::new(target(index), clock(), config.target_faults))
            .collect();
        let leases = (0..config.zones)
            .map(|zone| ZoneLease { controller: zone * config.nodes, until_us: 0, generation: 1 })
            .collect();
        let slots = config.segments * config.slots_per_segment;
        let settings =
            OwnershipSettings { slots_per_segment: config.slots_per_segment, ..settings };
        let mut this = Self {
            now_us: MS,
            random,
            settings,
            nodes,
            targets,
            table: FakeTable::new(config.table_ignores_versions),
            zones,
            steps: 0,
            grants: 0,
            random_faults: config.random_faults,
            leases,
            back_ends,
            blocked: BTreeMap::new(),
            occupancies: Occupancies::new(slots),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            sequence: 0,
            config,
        };
        this.start();
        this
    }

    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_node(node);
            let offset = self.random.random_range(0..50 * MS);
            self.schedule(offset, Event::Tick(node));
            self.schedule(offset * 5, Event::Pull(node));
        }
        for zone in 0..self.zones.len() {
            self.schedule(0, Event::RenewLease(zone));
        }
    }

    /// Restarts a node and passes the current settings and configuration to its controller.
    pub(crate) fn start_node(&mut self, node: usize) {
        let settings = self.settings.clone();
        self.nodes[node].restart(&settings);
        let mut inputs =
            vec![Input::BackEnds(self.back_ends.clone()), Input::Zones(self.zones.clone())];
        inputs.extend(self.target_inputs());
        for input in inputs {
            self.handle(node, input).expect("a node without authority does nothing");
        }
    }

    fn target_inputs(&self) -> Vec<Input> {
        let targets: Vec<Target> = self.targets.iter().map(|it| it.target.clone()).collect();
        let input = |each: &BackEndSettings| Input::Targets {
            back_end: each.back_end.clone(),
            targets: targets.clone(),
        };
        self.back_ends.iter().map(input).collect()
    }

    /// Announces targets and zones to every node, each after a random delay.
    pub(crate) fn announce(&mut self) {
        for node in 0..self.nodes.len() {
            let delay = self.random.random_range(0..200 * MS);
            self.schedule(delay, Event::Announce(node));
        }
    }

    // The configuration never reverts, so a delayed announcement contains the current state.
    fn announce_to(&mut self, node: usize) -> Result<(), String> {
        let paused_until = self.nodes[node].paused_until_us;
        if paused_until > self.now_us {
            self.schedule(paused_until - self.now_us, Event::Announce(node));
            return Ok(());
        }
        let mut inputs = self.target_inputs();
        inputs.push(Input::Zones(self.zones.clone()));
        inputs.into_iter().try_for_each(|input| self.deliver_to_node(node, input))
    }

    pub(crate) fn set_target(&mut self, target: usize, state: TargetState) {
        self.targets[target].target.state = state;
        self.announce();
    }

    pub(crate) fn set_zone(&mut self, zone: usize, in_service: bool) {
        self.zones[zone].in_service = in_service;
        self.announce();
    }

    pub(crate) fn crash_target(&mut self, target: usize) {
        self.targets[target].crash();
        let id = self.targets[target].target.target.clone();
        self.occupancies.crash(&id);
    }

    /// Blocks messages between a node and a target. `directions` contains `true` for messages to
    /// the target and `false` for replies.
    pub(crate) fn block(&mut self, node: usize, target: usize, directions: &[bool], for_us: u64) {
        for to_target in directions {
            self.blocked.insert((node, target, *to_target), self.now_us + for_us);
        }
    }

    pub(crate) fn clear_faults(&mut self) {
        self.random_faults = false;
        self.blocked.clear();
        self.table.down_until_us = 0;
        for target in &mut self.targets {
            target.up = true;
            target.frozen_until_us = 0;
            target.target.state = TargetState::Live;
        }
        for zone in &mut self.zones {
            zone.in_service = true;
        }
        for node in 0..self.nodes.len() {
            self.nodes[node].paused_until_us = 0;
            if !self.nodes[node].up {
                self.start_node(node);
            }
        }
        self.announce();
    }

    pub(crate) fn run(&mut self, until_us: u64) -> Result<(), String> {
        while let Some((Reverse((at_us, _)), index)) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            self.steps += 1;
            let event = self.events[index].take().expect("an event runs once");
            self.step(event).map_err(|error| format!("at {at_us} us: {error}"))?;
        }
        self.now_us = until_us;
        Ok(())
    }

    pub(crate) fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push((Reverse((self.now_us + delay_us, self.sequence)), self.events.len()));
        self.events.push(Some(event));
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Pull(node) => {
                self.pull(node);
                Ok(())
            }
            Event::RenewLease(zone) => self.renew_lease(zone),
            Event::Announce(node) => self.announce_to(node),
            Event::ToNode(node, input) => self.deliver_to_node(node, input),
            Event::Routes(node, requested_at, update) => {
                if self.nodes[node].up {
                    self.nodes[node].routes.merge(requested_at, &update);
                }
                Ok(())
            }
            Event::Send(node, message, drop_after) => {
                if self.nodes[node].now(self.now_us) < drop_after {
                    self.send(node, message);
                }
                Ok(())
            }
            Event::ToTarget(node, message) => self.deliver_to_target(node, message),
            Event::Revoked(node, revoke) => {
                self.revoked(node, &revoke);
                Ok(())
            }
            Event::ToTable(node, call) => self.deliver_to_table(node, call),
        }
    }

    fn tick(&mut self, node: usize) -> Result<(), String> {
        self.schedule(self.config.tick_ms * MS, Event::Tick(node));
        if !self.is_running(node) {
            return Ok(());
        }
        if !self.nodes[node].controller.is_active(self.nodes[node].now(self.now_us)) {
            self.copy_rows(node)?;
        }
        self.handle(node, Input::Tick)?;
        self.check_leased_routes(node)
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].up && self.nodes[node].paused_until_us <= self.now_us
    }

    // A standby keeps a copy of the rows of the controller.
    fn copy_rows(&mut self, node: usize) -> Result<(), String> {
        if self.random.random_range(0..500 * MS) > self.config.tick_ms * MS {
            return Ok(());
        }
        let controller = self.leases[node / self.config.nodes].controller;
        if !self.is_running(controller) {
            return Ok(());
        }
        for each in self.back_ends.clone() {
            let rows = self.nodes[controller].controller.rows(&each.back_end);
            let requested_at = self.nodes[node].now(self.now_us);
            let source = RowSource::Copy;
            let input = Input::Rows {
                back_end: each.back_end,
                source,
                requested_at,
                complete: false,
                rows,
            };
            self.handle(node, input)?;
        }
        Ok(())
    }

    fn renew_lease(&mut self, zone: usize) -> Result<(), String> {
        // The controller renews its lease every 150 ms. While the controller is not running, the
        // other nodes check every 10 ms whether the lease has ended.
        let held = self.is_running(self.leases[zone].controller);
        self.schedule(if held { 150 * MS } else { 10 * MS }, Event::RenewLease(zone));
        let lease = &self.leases[zone];
        let (controller, until_us) = (lease.controller, lease.until_us);
        let lost = self.random_faults && self.random.random_range(0..50) == 0;
        if self.is_running(controller) && !lost {
            if self.random_faults && self.random.random_range(0..100) == 0 {
                self.handle(controller, Input::Authority(None))?;
                self.leases[zone].until_us = self.now_us;
                return self.elect(zone);
            }
            return self.renew_authority(zone);
        }
        if self.now_us >= until_us && !self.is_running(controller) {
            return self.elect(zone);
        }
        Ok(())
    }

    fn elect(&mut self, zone: usize) -> Result<(), String> {
        let first = zone * self.config.nodes;
        let others = (first..first + self.config.nodes).filter(|node| self.is_running(*node));
        let others: Vec<usize> =
            others.filter(|node| *node != self.leases[zone].controller).collect();
        let Some(controller) = others.first().copied() else { return Ok(()) };
        self.leases[zone].controller = controller;
        self.leases[zone].generation += u64::from(self.random.random_range(0..4) == 0);
        if self.config.skips_query {
            let early = self.now_us.saturating_sub(3_000 * MS);
            let authority = self.authority(zone);
            let at = self.nodes[controller].now(early);
            self.nodes[controller].controller.handle(at, Input::Authority(Some(authority)));
        }
        self.renew_authority(zone)
    }

    fn authority(&mut self, zone: usize) -> Authority {
        let lease = &mut self.leases[zone];
        lease.until_us = self.now_us + 500 * MS;
        let until =
            self.nodes[lease.controller].authority_end(self.now_us, Duration::from_millis(500));
        Authority { generation: Generation::new(lease.generation), until }
    }

    fn renew_authority(&mut self, zone: usize) -> Result<(), String> {
        let authority = self.authority(zone);
        let delay = self.delay();
        let input = Input::Authority(Some(authority));
        self.schedule(delay, Event::ToNode(self.leases[zone].controller, input));
        Ok(())
    }
}
