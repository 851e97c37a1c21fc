//! Permit holders and issuers under a random workload, with checks of the concurrency limit.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Incarnation, Instant, NodeId};
use wagtailmoor_limits::{
    IssuerTerm, Permit, PermitHolder, PermitIssuer, PermitLimit, PermitReply, PermitSettings,
    ResourceId, SlowStartSettings, recall_bound,
};

use super::MS;
use super::world::{NodeTime, Protocol, Requests};

pub const REQUEST_MAX_US: u64 = 200 * MS;
pub const SLOW_START: SlowStartSettings =
    SlowStartSettings { concurrency: 1, step: Duration::from_millis(500) };

/// Bug injected into the protocol to prove that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// One of 20 permits is never returned.
    Leak,
    /// Permits of a failed holder are reissued at the end of its lease, while its requests still
    /// run.
    EarlyReissue,
    /// A new issuer does not wait for the permits of the previous issuer to expire.
    NoWait,
    /// Permits stay valid for 2.55 s.
    NoExpiry,
    /// The issuer does not learn that the target is cold.
    ColdUnknown,
}

/// A request that waits for a permit.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrived_us: u64,
    duration_us: u64,
}

#[derive(Debug)]
struct Running {
    node: usize,
    started_us: u64,
    ends_us: u64,
    permit: Option<Permit>,
}

/// One target with its workload.
#[derive(Debug)]
pub struct Target {
    pub resource: ResourceId,
    pub zone: usize,
    pub full: u32,
    /// Arrivals a second at each node.
    pub arrivals_per_s: Vec<f64>,
    /// Times at which the target becomes cold again.
    pub cold_us: Vec<u64>,
    running: Vec<Running>,
    waiting: Vec<VecDeque<Waiting>>,
    next_arrival_us: Vec<u64>,
    cold_applied: usize,
}

impl Target {
    pub fn new(index: usize, zone: usize, full: u32, arrivals_per_s: Vec<f64>) -> Self {
        let nodes = arrivals_per_s.len();
        let id = format!("target-{index}").parse().expect("a valid target id");
        Self {
            resource: ResourceId::slots(id),
            zone,
            full,
            arrivals_per_s,
            cold_us: Vec::new(),
            running: Vec::new(),
            waiting: vec![VecDeque::new(); nodes],
            next_arrival_us: vec![0; nodes],
            cold_applied: 0,
        }
    }

    fn last_cold_us(&self, now_us: u64) -> Option<u64> {
        self.cold_us.iter().copied().filter(|cold| *cold <= now_us).max()
    }

    /// Returns a description of the limit that the running requests exceed, if any.
    fn violation(&self, now_us: u64) -> Option<String> {
        let running = self.running.iter().filter(|running| running.ends_us > now_us);
        let count = running.clone().count();
        if count > self.full as usize {
            return Some(format!("{count} of {} at {} at {now_us} us", self.full, self.resource));
        }
        let recall_us = recall_bound().as_micros() as u64 * 101 / 100;
        let recalled_at_us = self.last_cold_us(now_us)? + recall_us;
        let started = running.filter(|running| running.started_us > recalled_at_us).count();
        // The issuer's clock may run 1% fast.
        let cold_for_us = (now_us - self.last_cold_us(now_us)?) * 102 / 100;
        let limit = SLOW_START.limit(Instant::default(), Instant::from_us(cold_for_us), self.full);
        (started > limit as usize).then(|| {
            format!("{started} started at cold limit {limit} at {} at {now_us} us", self.resource)
        })
    }
}

pub struct Permits {
    pub targets: Vec<Target>,
    pub injected_bug: InjectedBug,
    pub violation: Option<String>,
    pub started: u64,
    pub waits_us: Vec<u64>,
    pub peak_running: usize,
    /// Waits of requests that arrive after this time are recorded.
    pub record_waits_from_us: u64,
    /// Timeout of a waiting request.
    pub wait_max_us: u64,
    pub timed_out: u64,
    pub settings: PermitSettings,
}

impl Permits {
    pub fn new(targets: Vec<Target>) -> Self {
        Self {
            targets,
            injected_bug: InjectedBug::None,
            violation: None,
            started: 0,
            waits_us: Vec::new(),
            peak_running: 0,
            record_waits_from_us: u64::MAX,
            wait_max_us: 1_000 * MS,
            timed_out: 0,
            settings: PermitSettings::default(),
        }
    }

    fn start_waiting(&mut self, at: NodeTime, holder: &mut [PermitHolder]) {
        for target in &mut self.targets {
            let holder = &mut holder[target.zone];
            while let Some(waiting) = target.waiting[at.node].front().copied() {
                let recorded = waiting.arrived_us > self.record_waits_from_us;
                if at.true_us > waiting.arrived_us + self.wait_max_us {
                    target.waiting[at.node].pop_front();
                    self.timed_out += u64::from(recorded);
                    continue;
                }
                let Some(permit) = holder.acquire(at.local, &target.resource).granted() else {
                    break;
                };
                target.waiting[at.node].pop_front();
                target.running.push(Running {
                    node: at.node,
                    started_us: at.true_us,
                    ends_us: at.true_us + waiting.duration_us,
                    permit: Some(permit),
                });
                self.started += 1;
                self.peak_running = self.peak_running.max(target.running.len());
                if recorded {
                    self.waits_us.push(at.true_us - waiting.arrived_us);
                }
                let violation = target.violation(at.true_us);
                self.violation = self.violation.take().or(violation);
            }
        }
    }

    fn finish_due_requests(&mut self, at: NodeTime) {
        let leak = self.injected_bug == InjectedBug::Leak && self.started % 20 == 19;
        for target in &mut self.targets {
            for running in target.running.iter_mut().filter(|running| running.node == at.node) {
                if running.ends_us <= at.true_us {
                    match running.permit.take() {
                        Some(permit) if leak => std::mem::forget(permit),
                        permit => drop(permit),
                    }
                }
            }
            target.running.retain(|running| running.ends_us > at.true_us);
        }
    }

    fn due_arrivals(&mut self, at: NodeTime, rng: &mut ChaCha8Rng) -> u64 {
        let mut next_us = u64::MAX;
        for target in &mut self.targets {
            let rate = target.arrivals_per_s[at.node].max(1e-6) / 1e6;
            while target.next_arrival_us[at.node] <= at.true_us {
                let due = target.next_arrival_us[at.node];
                let gap = (-(1.0 - rng.random::<f64>()).ln() / rate).min(1e12) as u64;
                target.next_arrival_us[at.node] = due.max(at.true_us.saturating_sub(MS)) + gap + 1;
                if due > 0 {
                    let duration_us = rng.random_range(1..=REQUEST_MAX_US);
                    let waiting = Waiting { arrived_us: at.true_us, duration_us };
                    target.waiting[at.node].push_back(waiting);
                }
            }
            next_us = next_us.min(target.next_arrival_us[at.node]);
        }
        next_us
    }
}

impl Protocol for Permits {
    type Holder = Vec<PermitHolder>;
    type Issuer = PermitIssuer;

    fn holder(
        &mut self,
        at: NodeTime,
        id: &NodeId,
        incarnation: Incarnation,
        _zone: usize,
    ) -> Self::Holder {
        let zones = self.targets.iter().map(|target| target.zone).max().map_or(0, |zone| zone + 1);
        let make = |zone| {
            let settings = self.settings.clone();
            let mut holder = PermitHolder::new(at.local, id.clone(), incarnation, settings);
            let own = self.targets.iter().filter(|target| target.zone == zone);
            own.for_each(|target| holder.add_resource(&target.resource));
            holder
        };
        (0..zones).map(make).collect()
    }

    fn issuer(&mut self, at: NodeTime, term: IssuerTerm, zone: usize) -> PermitIssuer {
        let created = match self.injected_bug {
            InjectedBug::NoWait => at.local - Duration::from_secs(10),
            _ => at.local,
        };
        let request_max = match self.injected_bug {
            InjectedBug::EarlyReissue => Duration::ZERO,
            _ => Duration::from_micros(REQUEST_MAX_US),
        };
        let mut issuer = PermitIssuer::new(created, term);
        for target in self.targets.iter().filter(|target| target.zone == zone) {
            let limit =
                PermitLimit { full: target.full, slow_start: Some(SLOW_START), request_max };
            issuer.set_limit(&target.resource, limit);
            let cold = target.last_cold_us(at.true_us).is_some();
            if cold && self.injected_bug != InjectedBug::ColdUnknown {
                issuer.set_cold(at.local, &target.resource);
            }
        }
        issuer
    }

    fn tick(&mut self, now: Instant, holder: &mut Self::Holder) -> Requests<Self> {
        let zones = holder.iter_mut().enumerate();
        zones.filter_map(|(zone, holder)| holder.tick(now).map(|request| (zone, request))).collect()
    }

    fn next_tick(&self, now: Instant, holder: &Self::Holder) -> Instant {
        holder.iter().map(|holder| holder.next_tick(now)).min().unwrap_or(now)
    }

    fn on_reply(
        &mut self,
        at: NodeTime,
        holder: &mut Self::Holder,
        zone: usize,
        reply: PermitReply,
    ) {
        let mut reply = reply;
        if self.injected_bug == InjectedBug::NoExpiry {
            reply.lease_10ms = u8::MAX;
        }
        holder[zone].on_reply(at.local, &reply);
        self.start_waiting(at, holder);
    }

    fn release_all(&mut self, at: NodeTime, holder: &mut Self::Holder) -> Requests<Self> {
        let zones = holder.iter_mut().enumerate();
        let release = |(zone, holder): (usize, &mut PermitHolder)| {
            holder.release_all(at.local).map(|request| (zone, request))
        };
        zones.filter_map(release).collect()
    }

    fn run_due_work(
        &mut self,
        at: NodeTime,
        holder: &mut Self::Holder,
        rng: &mut ChaCha8Rng,
    ) -> u64 {
        self.finish_due_requests(at);
        let next_us = self.due_arrivals(at, rng);
        self.start_waiting(at, holder);
        next_us.min(self.wake_us(at.node).unwrap_or(u64::MAX))
    }

    fn on_stop(&mut self, at: NodeTime) {
        for target in &mut self.targets {
            target.waiting[at.node].clear();
            // The target continues to run the requests of the stopped process.
            let own = target.running.iter_mut().filter(|running| running.node == at.node);
            own.for_each(|running| running.permit = None);
        }
    }

    /// Returns when the first running request of a node ends.
    fn wake_us(&self, node: usize) -> Option<u64> {
        let running = self.targets.iter().flat_map(|target| &target.running);
        running.filter(|running| running.node == node).map(|running| running.ends_us).min()
    }

    fn has_issuer_actions(&self, true_us: u64) -> bool {
        let due = |target: &Target| {
            target.cold_us.get(target.cold_applied).is_some_and(|cold| *cold <= true_us)
        };
        self.targets.iter().any(due)
    }

    fn run_issuer_actions(&mut self, true_us: u64, issuers: &mut [(Instant, &mut PermitIssuer)]) {
        for target in &mut self.targets {
            while target.cold_us.get(target.cold_applied).is_some_and(|cold| *cold <= true_us) {
                target.cold_applied += 1;
                if self.injected_bug != InjectedBug::ColdUnknown {
                    let resource = &target.resource;
                    issuers.iter_mut().for_each(|(now, issuer)| issuer.set_cold(*now, resource));
                }
            }
        }
    }
}
