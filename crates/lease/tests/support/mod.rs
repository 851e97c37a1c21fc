//! Deterministic simulation of a region of candidates, with simulated clocks, network and store.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{
    Generation, Incarnation, Instant, NodeId, PartsPerMillion, SortedVec, ZoneId,
};
use wagtailmoor_lease::{
    Answer, Authority, Candidate, ControllerRow, LeaseAction, LeaseSettings, Member, PromiseReply,
    PromiseRequest, RequestId, RequestKind, StoredRow, WriteOutcome, WriteResult, ZoneReply,
    ZoneRequest, ZoneRequestKind,
};

// Two clocks differ by at most (1 + r) / (1 - r) < 1.01.
const RATE_PPM: i64 = 4_900;
const STORE_TIMEOUT_US: u64 = 300_000;

/// A bug injected into the simulation, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// A restarted node does not wait until the promises of its previous incarnation have expired.
    NoRestartWait,
    /// Nodes keep their promises for a tenth of the time that other nodes rely on them.
    ShortPromise,
    /// The store drops the superseded panels, so that a panel is active without releases.
    NoReleases,
    /// Nodes tell a restarted node that they have not released the generation, although they may
    /// have.
    ForgedConfirmation,
    /// Nodes make no allowance for clock drift.
    NoDriftAllowance,
    /// Clocks differ by far more than the bound.
    FastClocks,
    /// The store accepts a write without comparing the version.
    NoCompare,
    /// Other zones consent to the replacement of a panel although their promise is unexpired.
    ForgedConsent,
    /// A node acts on an authority that it checked up to a second ago.
    CachedAuthority,
    /// Releases and promises are reported although the node refused.
    ForgedGrant,
    /// The release of a node is repeated although the node has restarted since.
    ForgedRelease,
    /// Controllers report a longer remaining tenure than they have.
    OverstatedTenure,
}

/// A check that failed.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) seed: u64,
    pub(crate) at_us: u64,
    pub(crate) message: String,
}

pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) zone: usize,
    /// Whether this is a candidate of another zone for the lease of `zone`.
    pub(crate) is_foreign: bool,
    pub(crate) candidate: Option<Candidate>,
    pub(crate) start_count: u64,
    pub(crate) sent: u64,
    started_us: u64,
    rate_ppm: i64,
    base_us: u64,
    pub(crate) paused_until_us: u64,
    pub(crate) restart_at_us: u64,
    cached: (u64, bool),
    granted: Option<(NodeId, RequestId, u64)>,
    released: (u64, Generation),
}

#[derive(Clone, Debug)]
enum Event {
    Request { from: usize, to: usize, request: PromiseRequest },
    Reply { to: usize, from: usize, reply: PromiseReply },
    ZoneRequest { from: usize, to: usize, request: ZoneRequest },
    ZoneReply { to: usize, reply: ZoneReply },
    Store { from: usize, start_count: u64, action: LeaseAction, answered: bool },
    Row { to: usize, start_count: u64, stored: Option<StoredRow> },
    Written { to: usize, start_count: u64, result: WriteResult },
}

pub(crate) struct World {
    pub(crate) seed: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now_us: u64,
    pub(crate) steps: u64,
    pub(crate) step_us: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) zones: Vec<ZoneId>,
    pub(crate) rows: Vec<Option<StoredRow>>,
    /// The last row of the previous generation, by zone.
    previous_rows: Vec<Option<StoredRow>>,
    /// The last release by each node, which [`InjectedBug::ForgedRelease`] repeats.
    releases: Vec<Option<PromiseReply>>,
    pub(crate) settings: LeaseSettings,
    bug: InjectedBug,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    cuts: Vec<(usize, usize, u64)>,
    store_down_until_us: Vec<u64>,
    pub(crate) loss_percent: u32,
    pub(crate) late_percent: u32,
    /// PendingWhether writes take effect but their responses are lost.
    pub(crate) lose_write_responses: bool,
    extended: SortedVec<(ZoneId, ZoneId), u64>,
    pub(crate) violation: Option<Violation>,
    pub(crate) messages: u64,
    pub(crate) reads: u64,
    pub(crate) controllers: Vec<Option<usize>>,
}

impl World {
    pub(crate) fn new(
        seed: u64,
        sizes: &[usize],
        settings: LeaseSettings,
        bug: InjectedBug,
    ) -> Self {
        let zones: Vec<ZoneId> = (0..sizes.len()).map(|zone| id(&format!("z{zone}"))).collect();
        let zone_of = sizes.iter().enumerate().flat_map(|(zone, &size)| vec![zone; size]);
        let mut world = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 10_000_000,
            steps: 0,
            step_us: 10_000,
            nodes: Vec::new(),
            rows: vec![None; sizes.len()],
            previous_rows: vec![None; sizes.len()],
            releases: vec![None; sizes.iter().sum()],
            settings,
            bug,
            events: BTreeMap::new(),
            sequence: 0,
            cuts: Vec::new(),
            store_down_until_us: Vec::new(),
            loss_percent: 0,
            late_percent: 0,
            lose_write_responses: false,
            extended: SortedVec::new(),
            violation: None,
            messages: 0,
            reads: 0,
            controllers: vec![None; sizes.len()],
            zones,
        };
        for (index, zone) in zone_of.enumerate() {
            world.nodes.push(Node {
                id: id(&format!("n{index}")),
                zone,
                is_foreign: false,
                candidate: None,
                start_count: 0,
                sent: 0,
                started_us: 0,
                rate_ppm: 0,
                base_us: 0,
                paused_until_us: 0,
                restart_at_us: u64::MAX,
                cached: (0, false),
                granted: None,
                released: (0, Generation::default()),
            });
            world.store_down_until_us.push(0);
            world.start(index);
        }
        world
    }

    /// Turns the last nodes of a zone into candidates of another zone for the lease of this zone.
    pub(crate) fn make_foreign(&mut self, zone: usize, count: usize) {
        let in_zone = (0..self.nodes.len()).rev().filter(|index| self.nodes[*index].zone == zone);
        for index in in_zone.take(count).collect::<Vec<_>>() {
            self.nodes[index].is_foreign = true;
            self.start(index);
        }
    }

    /// Starts a process with empty memory and a new clock.
    pub(crate) fn start(&mut self, index: usize) {
        let rate_ppm = match self.bug {
            InjectedBug::FastClocks => self.rng.random_range(-300_000..=300_000),
            _ => self.rng.random_range(-RATE_PPM..=RATE_PPM),
        };
        let base_us: u64 = self.rng.random_range(1_000_000..2_000_000);
        let other_zones = self
            .zones
            .iter()
            .enumerate()
            .filter(|(zone, _)| *zone != self.nodes[index].zone)
            .map(|(_, id)| id.clone());
        let mut settings =
            LeaseSettings { other_zones: other_zones.collect(), ..self.settings.clone() };
        let mut start = base_us;
        match self.bug {
            InjectedBug::NoRestartWait => start = base_us - 600_000,
            InjectedBug::ShortPromise if index.is_multiple_of(2) => settings.promise_ms /= 10,
            InjectedBug::NoDriftAllowance => settings.drift_ppm = PartsPerMillion::new(0),
            _ => {}
        }
        let now_us = self.now_us;
        let node = &mut self.nodes[index];
        node.start_count += 1;
        (node.started_us, node.rate_ppm, node.base_us) = (now_us, rate_ppm, base_us);
        (node.paused_until_us, node.restart_at_us) = (0, u64::MAX);
        node.cached = (0, false);
        let zone = self.zones[node.zone].clone();
        // Incarnations come from the wall clock, which may go back between two starts.
        let incarnation = Incarnation::new(self.rng.random_range(0..1 << 40));
        let start = Instant::from_us(start);
        let create = if node.is_foreign { Candidate::for_other_zone } else { Candidate::new };
        node.candidate = Some(create(node.id.clone(), zone, incarnation, settings, start));
        self.update_members(index);
    }

    pub(crate) fn crash(&mut self, index: usize, for_us: u64) {
        self.nodes[index].candidate = None;
        self.nodes[index].restart_at_us = self.now_us.saturating_add(for_us);
    }

    pub(crate) fn pause(&mut self, index: usize, for_us: u64) {
        self.nodes[index].paused_until_us = self.now_us + for_us;
    }

    /// Drops messages from one node to another.
    pub(crate) fn cut(&mut self, from: usize, to: usize, for_us: u64) {
        self.cuts.push((from, to, self.now_us + for_us));
    }

    /// Drops messages between two nodes in both directions.
    fn partition(&mut self, left: usize, right: usize, for_us: u64) {
        self.cut(left, right, for_us);
        self.cut(right, left, for_us);
    }

    pub(crate) fn store_down(&mut self, index: usize, for_us: u64) {
        self.store_down_until_us[index] = self.now_us.saturating_add(for_us);
    }

    pub(crate) fn resign(&mut self, index: usize) {
        let now = self.clock(index);
        if let Some(candidate) = self.nodes[index].candidate.as_mut() {
            candidate.resign(now);
        }
    }

    /// Ends all faults and starts every process that is down.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        (self.loss_percent, self.late_percent) = (0, 0);
        for index in 0..self.nodes.len() {
            self.store_down_until_us[index] = 0;
            self.nodes[index].paused_until_us = 0;
            if self.nodes[index].candidate.is_none() {
                self.start(index);
            }
        }
    }

    pub(crate) fn clock(&self, index: usize) -> Instant {
        let node = &self.nodes[index];
        let passed = i64::try_from(self.now_us - node.started_us).expect("short run");
        let passed = passed + passed * node.rate_ppm / 1_000_000;
        Instant::from_us(node.base_us)
            + Duration::from_micros(u64::try_from(passed).expect("forward"))
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].candidate.is_some() && self.now_us >= self.nodes[index].paused_until_us
    }

    pub(crate) fn run_until(&mut self, at_us: u64, mut done: impl FnMut(&Self) -> bool) -> bool {
        while self.now_us < at_us && self.violation.is_none() {
            self.step();
            if done(self) {
                return true;
            }
        }
        false
    }

    pub(crate) fn run_for(&mut self, us: u64) {
        self.run_until(self.now_us + us, |_| false);
    }

    pub(crate) fn step(&mut self) {
        self.now_us += self.step_us;
        self.steps += 1;
        let now_us = self.now_us;
        self.cuts.retain(|(_, _, until_us)| *until_us > now_us);
        for index in 0..self.nodes.len() {
            if self.nodes[index].candidate.is_none()
                && self.nodes[index].restart_at_us <= self.now_us
            {
                self.start(index);
            }
        }
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= now_us) {
            let event = entry.remove();
            let (Event::Request { to, .. }
            | Event::Reply { to, .. }
            | Event::ZoneRequest { to, .. }
            | Event::ZoneReply { to, .. }
            | Event::Row { to, .. }
            | Event::Written { to, .. }
            | Event::Store { from: to, .. }) = event;
            self.deliver(to, event);
            self.check(self.nodes[to].zone);
        }
        // Varies the order of ticks, which decides races between nodes.
        let first = self.rng.random_range(0..self.nodes.len());
        for offset in 0..self.nodes.len() {
            let index = (first + offset) % self.nodes.len();
            if self.is_running(index) {
                if self.rng.random_range(0..50) == 0 {
                    self.update_members(index);
                }
                let now = self.clock(index);
                let actions =
                    self.nodes[index].candidate.as_mut().map(|candidate| candidate.tick(now));
                actions
                    .unwrap_or_default()
                    .into_iter()
                    .for_each(|action| self.execute(index, action));
            }
        }
        (0..self.zones.len()).for_each(|zone| self.check(zone));
    }

    fn update_members(&mut self, index: usize) {
        let now = self.clock(index);
        let Node { zone, is_foreign, .. } = self.nodes[index];
        let live = |is_foreign: bool| {
            let nodes = self.nodes.iter().enumerate().filter(move |(other, node)| {
                let is_up = node.candidate.is_some() || *other == index;
                is_up && node.zone == zone && node.is_foreign == is_foreign
            });
            let rack = |node: &Node| id(&format!("r{}", node.start_count % 3));
            nodes.map(|(_, node)| Member { node: node.id.clone(), rack: rack(node) }).collect()
        };
        let (members, home) = (live(is_foreign), live(false));
        if let Some(candidate) = self.nodes[index].candidate.as_mut() {
            candidate.on_members(now, members);
            if is_foreign {
                candidate.on_home_members(now, home);
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_us + delay_us, self.sequence), event);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        self.nodes[from].sent += 1;
        let is_cut = self.cuts.iter().any(|cut| (cut.0, cut.1) == (from, to));
        if let (true, Event::Request { request, .. }) = (is_cut, &event) {
            self.forge_release(from, to, request);
        }
        if is_cut || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let is_late = self.rng.random_range(0..100) < self.late_percent;
        if is_late {
            // A late message may be a duplicate.
            let delay_us = self.rng.random_range(500..3_000_000);
            self.schedule(delay_us, event.clone());
        }
        let delay_us = match is_late {
            true => self.rng.random_range(50_000..3_000_000),
            false => self.rng.random_range(500..4_000),
        };
        self.schedule(delay_us, event);
    }

    fn execute(&mut self, from: usize, action: LeaseAction) {
        match action {
            LeaseAction::SendNodeRequest { node, request } => {
                let to = self.nodes.iter().position(|other| other.id == node).expect("known node");
                self.send(
                    from,
                    to,
                    Event::Request { from, to, request: self.tamper_request(request) },
                );
            }
            LeaseAction::SendZoneRequest { zone, request } => {
                let in_zone = |index: &usize| {
                    !self.nodes[*index].is_foreign && self.zones[self.nodes[*index].zone] == zone
                };
                let candidates: Vec<usize> = (0..self.nodes.len()).filter(in_zone).collect();
                let controller = candidates.iter().find(|index| self.is_controller(**index));
                let random_node = candidates[self.rng.random_range(0..candidates.len())];
                let to = controller.copied().unwrap_or(random_node);
                self.send(from, to, Event::ZoneRequest { from, to, request });
            }
            action => {
                self.reads += u64::from(action == LeaseAction::ReadRow);
                let start_count = self.nodes[from].start_count;
                let is_down = self.now_us < self.store_down_until_us[from];
                // While messages are lost, one response of the store in ten is lost too: the
                // operation takes effect and its caller does not know.
                let answered =
                    !is_down && (self.loss_percent == 0 || self.rng.random_range(0..10) > 0);
                let is_late = self.rng.random_range(0..100) < self.late_percent;
                let delay_us = if is_late {
                    self.rng.random_range(0..2_000_000)
                } else {
                    self.rng.random_range(1_000..9_000)
                };
                let is_lost =
                    self.lose_write_responses && matches!(action, LeaseAction::WriteRow { .. });
                let in_time = answered && !is_lost && delay_us < STORE_TIMEOUT_US;
                if let (false, LeaseAction::WriteRow { write, .. }) = (in_time, &action) {
                    let result = WriteResult { write: *write, outcome: WriteOutcome::Unknown };
                    self.schedule(
                        STORE_TIMEOUT_US,
                        Event::Written { to: from, start_count, result },
                    );
                }
                if !is_down || is_late {
                    self.schedule(
                        delay_us,
                        Event::Store { from, start_count, action, answered: in_time },
                    );
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, event: Event) {
        if let Event::Store { from, start_count, action, answered } = event {
            return self.store(from, start_count, action, answered);
        }
        if self.nodes[to].candidate.is_some() && self.now_us < self.nodes[to].paused_until_us {
            // A paused process receives its messages when it resumes.
            let delay_us = self.nodes[to].paused_until_us - self.now_us;
            return self.schedule(delay_us, event);
        }
        let now = self.clock(to);
        let current = self.nodes[to].start_count;
        let Some(candidate) = self.nodes[to].candidate.as_mut() else { return };
        match event {
            Event::Request { from, request, .. } => {
                let reply = candidate.on_promise_request(now, &request);
                let reply = self.tamper_reply(to, reply, &request);
                if matches!(reply.answer, Answer::Released { .. }) {
                    self.releases[to] = Some(reply.clone());
                }
                self.check_reply(to, &request, &reply);
                self.send(to, from, Event::Reply { to: from, from: to, reply });
            }
            Event::Reply { from, reply, .. } => {
                let from = self.nodes[from].id.clone();
                self.nodes[to]
                    .candidate
                    .as_mut()
                    .expect("runs")
                    .on_promise_reply(now, &from, reply);
            }
            Event::ZoneRequest { from, request, .. } => {
                let mut reply = candidate.on_zone_request(now, &request);
                if self.bug == InjectedBug::ForgedConsent && reply.kind == ZoneRequestKind::Consent
                {
                    reply.granted = true;
                }
                self.check_zone_reply(&request, &reply);
                self.send(to, from, Event::ZoneReply { to: from, reply });
            }
            Event::ZoneReply { reply, .. } => candidate.on_zone_reply(now, reply),
            Event::Row { start_count, stored, .. } if start_count == current => {
                candidate.on_row(now, stored)
            }
            Event::Written { start_count, result, .. } if start_count == current => {
                candidate.on_write(now, result)
            }
            _ => {}
        }
    }

    fn store(&mut self, from: usize, start_count: u64, action: LeaseAction, answered: bool) {
        let zone = self.nodes[from].zone;
        let delay_us = self.rng.random_range(1_000..9_000);
        match action {
            LeaseAction::WriteRow { row, expected, write } => {
                let present = self.rows[zone].as_ref().map(|stored| stored.version);
                let outcome = match present == expected || self.bug == InjectedBug::NoCompare {
                    true => {
                        let version = present.unwrap_or_default().next();
                        let row = self.tamper_row(row);
                        let previous = self.rows[zone].take();
                        if let Some(previous) =
                            previous.filter(|previous| previous.row.panel != row.panel)
                        {
                            self.previous_rows[zone] = Some(previous);
                        }
                        self.rows[zone] = Some(StoredRow { row, version, write });
                        WriteOutcome::Done(version)
                    }
                    false => WriteOutcome::Conflict,
                };
                if answered {
                    let result = WriteResult { write, outcome };
                    self.schedule(delay_us, Event::Written { to: from, start_count, result });
                }
            }
            _ if answered => {
                let stored = self.rows[zone].clone();
                self.schedule(delay_us, Event::Row { to: from, start_count, stored });
            }
            _ => {}
        }
    }

    fn tamper_row(&self, row: ControllerRow) -> ControllerRow {
        match self.bug {
            InjectedBug::NoReleases => ControllerRow { superseded: Vec::new(), ..row },
            _ => row,
        }
    }

    fn tamper_request(&self, mut request: PromiseRequest) -> PromiseRequest {
        if let (
            InjectedBug::OverstatedTenure,
            RequestKind::Promise { tenure: Some(remaining), .. },
        ) = (self.bug, &mut request.kind)
        {
            remaining.remaining_ms += 5_000;
        }
        request
    }

    fn tamper_reply(
        &self,
        from: usize,
        mut reply: PromiseReply,
        request: &PromiseRequest,
    ) -> PromiseReply {
        match (self.bug, &request.kind, &mut reply.answer) {
            (InjectedBug::ForgedConfirmation, RequestKind::State, answer) => {
                let row = self.previous_rows[self.nodes[from].zone].clone();
                *answer = Answer::State {
                    row,
                    active: Generation::default(),
                    released: Generation::default(),
                };
            }
            (InjectedBug::ForgedGrant, RequestKind::Promise { generation, .. }, answer) => {
                *answer = Answer::Granted { generation: *generation };
            }
            _ => {}
        }
        reply
    }

    fn forge_release(&mut self, from: usize, to: usize, request: &PromiseRequest) {
        let is_release = matches!(request.kind, RequestKind::Release { .. });
        let forged = self.releases[to]
            .clone()
            .filter(|_| is_release && self.bug == InjectedBug::ForgedRelease);
        if let Some(earlier) = forged {
            let reply = PromiseReply { id: request.id, ..earlier };
            self.schedule(1_000, Event::Reply { to: from, from: to, reply });
        }
    }

    fn fail(&mut self, message: String) {
        let violation = Violation { seed: self.seed, at_us: self.now_us, message };
        self.violation.get_or_insert(violation);
    }

    /// Checks that a reply does not break an earlier promise or release of the node.
    fn check_reply(&mut self, member: usize, request: &PromiseRequest, reply: &PromiseReply) {
        let node = &mut self.nodes[member];
        let now_us = self.now_us;
        let kept_us = on_slowest_clock_us(self.settings.promise_ms);
        let earlier = node.granted.clone();
        let broken = match (&reply.answer, earlier) {
            (Answer::Granted { .. }, Some((promised_to, _, at_us)))
                if promised_to != request.from && now_us - at_us < kept_us =>
            {
                Some(format!(
                    "{} promised to {promised_to} and {} within {} us",
                    node.id,
                    request.from,
                    now_us - at_us
                ))
            }
            (Answer::Granted { generation }, _)
                if node.released.0 == node.start_count && *generation <= node.released.1 =>
            {
                Some(format!("{} promised at released generation {generation}", node.id))
            }
            _ => None,
        };
        match (&reply.answer, &request.kind) {
            (Answer::Granted { .. }, _) => {
                node.granted = Some((request.from.clone(), request.id, now_us))
            }
            (Answer::Released { generation }, _) => node.released = (node.start_count, *generation),
            (Answer::Withdrawn, _) => {
                if let Some((promised_to, id, _)) = &node.granted {
                    let is_void = *promised_to == request.from
                        && id.incarnation == request.id.incarnation
                        && id.number < request.id.number;
                    node.granted = node.granted.clone().filter(|_| !is_void);
                }
            }
            _ => {}
        }
        broken.into_iter().for_each(|message| self.fail(message));
    }

    /// Checks that a reply does not break an earlier promise to another zone.
    fn check_zone_reply(&mut self, request: &ZoneRequest, reply: &ZoneReply) {
        let key = (reply.by.clone(), request.zone.clone());
        let kept_us = on_slowest_clock_us(self.settings.zone_promise_ms);
        match (request.kind, reply.granted, self.extended.get(&key)) {
            (ZoneRequestKind::Extend, true, _) => {
                self.extended.insert(key, self.now_us);
            }
            (ZoneRequestKind::Consent, true, Some(at_us)) if self.now_us - at_us < kept_us => {
                self.fail(format!(
                    "{} consented to the replacement of {} within its promise",
                    key.0, key.1
                ));
            }
            _ => {}
        }
    }

    pub(crate) fn authority(&self, index: usize) -> Authority {
        let now = self.clock(index);
        match &self.nodes[index].candidate {
            Some(candidate) if self.is_running(index) => candidate.authority(now),
            _ => Authority::NonMember,
        }
    }

    pub(crate) fn is_controller(&self, index: usize) -> bool {
        self.authority(index).is_controller()
    }

    /// Checks that a zone has at most one controller.
    fn check(&mut self, zone: usize) {
        let mut controllers = Vec::new();
        for index in 0..self.nodes.len() {
            let is_controller = match self.bug {
                _ if self.nodes[index].zone != zone => false,
                InjectedBug::CachedAuthority if self.is_running(index) => {
                    self.cached_authority(index)
                }
                _ => self.is_controller(index),
            };
            if is_controller {
                controllers.push(index);
            }
        }
        self.controllers[zone] = controllers.first().copied();
        if controllers.len() > 1 {
            let describe =
                |index: &usize| format!("{} {:?}", self.nodes[*index].id, self.authority(*index));
            let names: Vec<String> = controllers.iter().map(describe).collect();
            self.fail(format!(
                "{} controllers in {}: {names:?}",
                controllers.len(),
                self.zones[zone]
            ));
        }
    }

    fn cached_authority(&mut self, index: usize) -> bool {
        let is_controller = self.is_controller(index);
        let (at_us, cached) = &mut self.nodes[index].cached;
        if self.now_us - *at_us > 1_000_000 || is_controller {
            (*at_us, *cached) = (self.now_us, is_controller);
        }
        *cached
    }

    /// Starts a random fault that ends by itself.
    pub(crate) fn random_fault(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let other = self.rng.random_range(0..self.nodes.len());
        let long_us = self.rng.random_range(50_000..3_000_000);
        match self.rng.random_range(0..16) {
            0 | 1 => self.crash(index, long_us),
            // Restarts before the promises of the node have expired.
            2 => self.crash(index, self.settings.promise_ms * 100),
            3 | 4 => self.pause(index, long_us),
            5 => self.cut(index, other, long_us),
            6 => (0..self.nodes.len()).for_each(|to| self.cut(index, to, long_us)),
            7 => (0..self.nodes.len()).for_each(|from| self.cut(from, index, long_us)),
            8 => (0..self.nodes.len()).for_each(|to| self.partition(index, to, long_us)),
            9 => self.cut_zones(long_us),
            13 | 14 => self.split(long_us),
            10 => self.store_down(index, long_us),
            11 => (0..self.nodes.len()).for_each(|index| self.store_down(index, long_us)),
            12 => {
                self.loss_percent = [0, 0, 10, 40][self.rng.random_range(0..4)];
                self.late_percent = [0, 0, 10, 30][self.rng.random_range(0..4)];
            }
            _ => {
                self.resign(index);
                self.run_for(50_000);
                self.crash(index, long_us);
            }
        }
    }

    /// Partitions the nodes into two sides, of which only one reaches the store.
    fn split(&mut self, for_us: u64) {
        let sides: Vec<bool> =
            self.nodes.iter().map(|_| self.rng.random_range(0..2) == 0).collect();
        for (from, &side) in sides.iter().enumerate() {
            if side {
                self.store_down(from, for_us);
            }
            for (to, _) in sides.iter().enumerate().filter(|(_, other)| **other != side) {
                self.cut(from, to, for_us);
            }
        }
    }

    /// Partitions the first zone from the others. A foreign candidate for its lease is in another
    /// zone.
    pub(crate) fn cut_zones(&mut self, for_us: u64) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                let location =
                    |index: usize| (self.nodes[index].zone, self.nodes[index].is_foreign);
                let is_in_first_zone = |(zone, is_foreign)| (zone == 0) != is_foreign;
                if is_in_first_zone(location(from)) != is_in_first_zone(location(to)) {
                    self.cut(from, to, for_us);
                }
            }
        }
    }
}

/// Runs random faults and ends them. Returns the world, and the time from the end of the faults
/// until all zones had a controller, or `None` if that exceeds the bound.
pub(crate) fn run_schedule(
    seed: u64,
    bug: InjectedBug,
    faults_us: u64,
    bound_us: u64,
) -> (World, Option<u64>) {
    let mut choice = ChaCha8Rng::seed_from_u64(!seed);
    let tenure_ms = [1_200, 2_000, 60_000][choice.random_range(0..3)];
    let settings = LeaseSettings { tenure_ms, zone_promise_ms: 1_000, ..LeaseSettings::default() };
    let shapes: [(&[usize], usize); 5] =
        [(&[4, 2], 0), (&[3, 3], 0), (&[5, 1], 0), (&[4, 3], 2), (&[3, 2, 1], 0)];
    let (sizes, foreign) = shapes[choice.random_range(0..shapes.len())];
    let mut world = World::new(seed, sizes, settings, bug);
    world.make_foreign(0, foreign);
    // Most schedules take steps of 10 ms, some of 1 ms for a finer order of messages and ticks.
    world.step_us = if seed.is_multiple_of(32) { 1_000 } else { 10_000 };
    // Half of the schedules start from an established controller.
    if choice.random_range(0..2) == 0 {
        world.run_for(1_500_000);
    }
    let end_us = world.now_us + faults_us;
    while world.now_us < end_us && world.violation.is_none() {
        world.random_fault();
        let pause_us = choice.random_range(10_000..500_000);
        world.run_for(pause_us);
    }
    world.heal();
    let healed_us = world.now_us;
    let all_have_controllers = |world: &World| world.controllers.iter().all(Option::is_some);
    let recovered = world.run_until(healed_us + bound_us, all_have_controllers);
    let recovery_us = recovered.then_some(world.now_us - healed_us);
    (world, recovery_us)
}

/// Runs until each zone has a controller and as many panel members as it can have.
pub(crate) fn established(
    seed: u64,
    sizes: &[usize],
    settings: LeaseSettings,
    bug: InjectedBug,
) -> World {
    let mut world = World::new(seed, sizes, settings, bug);
    let sizes = sizes.to_vec();
    let is_full = |(stored, size): (&Option<StoredRow>, &usize)| {
        let row = stored.as_ref().map(|stored| &stored.row);
        row.is_some_and(|row| row.panel.members.len() == 3.min(*size) && row.superseded.is_empty())
    };
    let is_established = world.run_until(30_000_000, |world| {
        world.controllers.iter().all(Option::is_some) && world.rows.iter().zip(&sizes).all(is_full)
    });
    assert!(is_established, "seed {seed}: {:?}", world.rows);
    world.run_for(1_500_000);
    world
}

/// Makes the store unreachable for the panel in a zone of five. Returns the controller, the other
/// panel members and the nodes outside the panel.
fn panel_without_store(world: &mut World) -> (usize, Vec<usize>, Vec<usize>) {
    let row = world.rows[0].clone().expect("row");
    let is_member = |index: &usize| row.row.panel.contains(&world.nodes[*index].id);
    let (mut panel, outside): (Vec<usize>, Vec<usize>) = (0..5).partition(is_member);
    panel.iter().for_each(|&index| world.store_down(index, u64::MAX));
    let controller = world.controllers[0].expect("controller");
    panel.retain(|index| *index != controller);
    (controller, panel, outside)
}

/// Makes the members of the first panel release it to a node outside the panel. Then restarts one
/// of them so that it reaches only the previous controller, which does not know of the new
/// generation.
pub(crate) fn released_then_restarted(seed: u64, bug: InjectedBug) -> World {
    let long_us = 60_000_000;
    let mut world = established(seed, &[5], LeaseSettings::default(), bug);
    let (controller, others, outside) = panel_without_store(&mut world);
    (0..5)
        .filter(|index| *index != controller)
        .for_each(|index| world.partition(controller, index, 8_000_000));
    world.run_for(8_000_000);
    for &outside in &outside {
        others
            .iter()
            .chain([&controller])
            .for_each(|&inside| world.partition(inside, outside, long_us));
    }
    // Otherwise the other releasing member would inform the previous controller of the new
    // generation.
    world.cut(others[1], controller, long_us);
    world.crash(others[0], 50_000);
    world.run_for(4_000_000);
    world
}

/// Makes one member release the panel to a node outside the panel and restarts it so that it
/// reaches only the controller. The member loses its release by that. Then makes the third member
/// release.
pub(crate) fn releases_at_different_times(seed: u64, bug: InjectedBug) -> World {
    let long_us = 60_000_000;
    let mut world = established(seed, &[5], LeaseSettings::default(), bug);
    let (controller, others, outside) = panel_without_store(&mut world);
    let (first, second) = (others[0], others[1]);
    world.partition(controller, first, 5_500_000);
    for &outside in &outside {
        world.partition(outside, controller, long_us);
        world.partition(outside, second, 7_000_000);
    }
    world.run_for(5_000_000);
    outside.iter().for_each(|&outside| world.partition(outside, first, long_us));
    world.crash(first, 50_000);
    world.run_for(2_000_000);
    world.partition(controller, second, long_us);
    world.run_for(4_000_000);
    world
}

/// Crashes the controller while the panel reaches neither the store nor the nodes outside it.
pub(crate) fn takeover_near_the_end_of_tenure(seed: u64, bug: InjectedBug) -> World {
    let settings = LeaseSettings { tenure_ms: 2_000, ..LeaseSettings::default() };
    let mut world = established(seed, &[5], settings, bug);
    let (controller, others, outside) = panel_without_store(&mut world);
    for &outside in &outside {
        others
            .iter()
            .chain([&controller])
            .for_each(|&inside| world.partition(inside, outside, 60_000_000));
    }
    world.run_for(500_000);
    world.crash(controller, u64::MAX);
    world.run_for(5_000_000);
    world
}

/// Returns the real time during which a span passes on the slowest clock of a node.
fn on_slowest_clock_us(span_ms: u64) -> u64 {
    span_ms * 1_000 * 1_000_000 / (1_000_000 - RATE_PPM.unsigned_abs())
}

/// Returns the number of seeds to run: `WAGTAILMOOR_SEEDS`, or the default.
pub(crate) fn seeds(default: u64) -> u64 {
    std::env::var("WAGTAILMOOR_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid id")
}
