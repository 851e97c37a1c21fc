//! Targets of one back end and load balancing among them.

use std::time::Duration;

use rand::Rng;
use wagtailmoor_core::{Instant, Requests, TargetId, ZoneId};

use crate::slow_start::ColdCause;
use crate::target::Target;
use crate::{
    BalancingPolicy, Candidate, InFlight, LoadReport, Member, Observation, Permits, TargetSettings,
};

/// Number of probe intervals after which a non-idempotent request may probe a straggler. Idempotent
/// requests are preferred as probes, because they can be hedged.
const NON_IDEMPOTENT_PROBE_INTERVALS: u32 = 5;

/// A busy target that sends no response for this many times the straggler latency is treated as a
/// straggler. A lower factor also affects targets that run a single long request.
const SILENCE_FACTOR: u64 = 2;

/// Maximum age of the cached median latency.
const MEDIAN_AGE_MAX: Duration = Duration::from_millis(20);

/// Properties of a request that affect the choice of a target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Whether the request can be hedged, which makes it suitable for probing a straggler.
    pub idempotent: bool,
    /// Targets already tried for this request.
    pub avoid: &'a [TargetId],
}

/// A chosen target and the guard for one request to it.
#[derive(Debug)]
pub struct ChosenTarget<P> {
    /// Id of the target.
    pub target: TargetId,
    /// Counts the request at the target until it is dropped.
    pub in_flight: InFlight<P>,
}

/// Priority group of targets, in the order in which the groups are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Probe,
    SameZone,
    OtherZone,
    Full,
    Straggler,
}

const TIERS: [Tier; 5] =
    [Tier::Probe, Tier::SameZone, Tier::OtherZone, Tier::Full, Tier::Straggler];

/// The targets of one back end as this node knows them.
#[derive(Debug)]
pub struct TargetTable {
    settings: TargetSettings,
    zone: ZoneId,
    targets: Vec<Target>,
    initialized: bool,
    median_us: Option<u64>,
    median_at: Instant,
    tiers: Vec<Option<Tier>>,
    candidates: Vec<Candidate>,
}

impl TargetTable {
    /// Creates an empty table for a node in `zone`.
    pub fn new(zone: ZoneId, settings: TargetSettings) -> Self {
        Self {
            settings,
            zone,
            targets: Vec::new(),
            initialized: false,
            median_us: None,
            median_at: Instant::default(),
            tiers: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Replaces the members. A target that is not in the table yet is treated as cold.
    ///
    /// In the first call all targets are treated as warm until a report or a response says
    /// otherwise, because it is this node that has just started. Permits still limit the load that
    /// all nodes together put on them.
    pub fn set_members(&mut self, now: Instant, mut members: Vec<Member>) {
        members.sort_by(|left, right| left.target.cmp(&right.target));
        members.dedup_by(|left, right| left.target == right.target);
        let mut known = std::mem::take(&mut self.targets);
        for member in members {
            match known.iter().position(|target| target.member.target == member.target) {
                Some(position) => {
                    let mut target = known.swap_remove(position);
                    target.member = member;
                    self.targets.push(target);
                }
                None => self.add(now, member),
            }
        }
        self.initialized = true;
        self.median_at = Instant::default();
    }

    /// Handles a load report. It is ignored if the target is not a member.
    pub fn on_load_report(&mut self, now: Instant, target: &TargetId, report: LoadReport) {
        if let Some(position) = self.position(target) {
            self.targets[position].on_report(now, report, &self.settings);
        }
    }

    /// Handles an observation of a target. It is ignored if the target is not a member.
    pub fn observe(&mut self, now: Instant, target: &TargetId, observation: &Observation) {
        if let Some(position) = self.position(target) {
            self.targets[position].observe(now, observation, &self.settings);
        }
    }

    /// Chooses a target and acquires a permit for it. Returns `None` if no target is available.
    pub fn choose<C: BalancingPolicy, P: Permits, R: Rng>(
        &mut self,
        now: Instant,
        request: ChoiceRequest<'_>,
        policy: &mut C,
        permits: &mut P,
        random: &mut R,
    ) -> Option<ChosenTarget<P::Permit>> {
        self.refresh_median(now);
        self.sort_into_tiers(now, request);
        for tier in TIERS {
            self.collect_candidates(now, tier);
            while !self.candidates.is_empty() {
                let position = policy.choose(&self.candidates, random);
                let index = self.candidates.swap_remove(position).index;
                match permits.acquire(now, &self.targets[index].member.target) {
                    Some(permit) => return Some(self.assign(now, index, tier, permit)),
                    None => self.candidates.sort_unstable_by_key(|candidate| candidate.index),
                }
            }
        }
        None
    }

    /// Acquires a permit for the target that owns the key of a request.
    ///
    /// Returns `None` if the target is not a member, may not receive new requests, or has no permit
    /// available.
    pub fn choose_owner<P: Permits>(
        &mut self,
        now: Instant,
        owner: &TargetId,
        permits: &mut P,
    ) -> Option<ChosenTarget<P::Permit>> {
        let index = self.position(owner)?;
        match self.targets[index].is_open(now, &self.settings) {
            true => {
                let permit = permits.acquire(now, owner)?;
                Some(self.assign(now, index, Tier::SameZone, permit))
            }
            false => None,
        }
    }

    /// Returns the concurrency limit of a cold target, or `None` if the target is not cold.
    pub fn cold_limit(&self, target: &TargetId) -> Option<Requests> {
        let target = &self.targets[self.position(target)?];
        target.cold_cause().map(|_| Requests::new(target.limit()))
    }

    /// Returns why a target is treated as cold, or `None` if it is not cold.
    pub fn cold_cause(&self, target: &TargetId) -> Option<ColdCause> {
        self.targets[self.position(target)?].cold_cause()
    }

    /// Returns the number of requests that this node has in flight at a target.
    pub fn in_flight(&self, target: &TargetId) -> Requests {
        let position = self.position(target);
        Requests::new(position.map_or(0, |index| self.targets[index].in_flight.get()))
    }

    /// Returns whether a target is a straggler: much slower than the median, or silent while busy.
    pub fn is_straggler(&mut self, now: Instant, target: &TargetId) -> bool {
        self.refresh_median(now);
        self.position(target).is_some_and(|index| self.is_slow(now, &self.targets[index]))
    }

    /// Iterates over the members in id order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.targets.iter().map(|target| &target.member)
    }

    fn add(&mut self, now: Instant, member: Member) {
        let mut target = Target::new(member);
        if self.initialized {
            target.mark_cold(now, ColdCause::New, self.settings.cold_concurrency);
        }
        self.targets.push(target);
    }

    fn assign<P>(&mut self, now: Instant, index: usize, tier: Tier, permit: P) -> ChosenTarget<P> {
        let target = &mut self.targets[index];
        if target.in_flight.get() == 0 {
            target.latency.reset_silence(now);
        }
        if tier == Tier::Probe {
            target.last_probe = now;
        }
        ChosenTarget {
            target: target.member.target.clone(),
            in_flight: InFlight::start(&target.in_flight, permit),
        }
    }

    fn position(&self, target: &TargetId) -> Option<usize> {
        self.targets.binary_search_by(|known| known.member.target.cmp(target)).ok()
    }

    fn refresh_median(&mut self, now: Instant) {
        let fresh = now.saturating_since(self.median_at) < MEDIAN_AGE_MAX;
        if fresh && self.median_at != Instant::default() {
            return;
        }
        self.median_at = now;
        let warm = self.targets.iter().filter(|target| target.cold_cause().is_none());
        let mut means: Vec<u64> = warm.filter_map(|target| target.latency.mean_us()).collect();
        means.sort_unstable();
        self.median_us = match means.len() {
            0..3 => None,
            len => Some(means[(len - 1) / 2]),
        };
    }

    fn sort_into_tiers(&mut self, now: Instant, request: ChoiceRequest<'_>) {
        let mut tiers = std::mem::take(&mut self.tiers);
        tiers.clear();
        tiers.extend(self.targets.iter().map(|target| self.tier(now, target, request)));
        self.tiers = tiers;
    }

    fn tier(&self, now: Instant, target: &Target, request: ChoiceRequest<'_>) -> Option<Tier> {
        match target {
            _ if !target.is_open(now, &self.settings) => None,
            _ if request.avoid.contains(&target.member.target) => None,
            _ if self.is_slow(now, target) => Some(self.straggler_tier(now, target, request)),
            _ if !target.has_room() => Some(Tier::Full),
            _ if target.member.zone == self.zone => Some(Tier::SameZone),
            _ => Some(Tier::OtherZone),
        }
    }

    fn straggler_tier(&self, now: Instant, target: &Target, request: ChoiceRequest<'_>) -> Tier {
        let interval = match request.idempotent {
            true => self.settings.probe_interval,
            false => self.settings.probe_interval * NON_IDEMPOTENT_PROBE_INTERVALS,
        };
        let due = now.saturating_since(target.last_probe) >= interval;
        match due && target.in_flight.get() == 0 && request.avoid.is_empty() {
            true => Tier::Probe,
            false => Tier::Straggler,
        }
    }

    fn is_slow(&self, now: Instant, target: &Target) -> bool {
        let Some(median_us) = self.median_us else { return false };
        let margin_us = self.settings.straggler_margin.as_micros() as u64;
        let straggler_us = median_us
            .saturating_mul(u64::from(self.settings.straggler_factor))
            .max(median_us.saturating_add(margin_us));
        let silent = target.in_flight.get() > 0
            && target.latency.silence_us(now) >= straggler_us.saturating_mul(SILENCE_FACTOR);
        silent || target.latency.mean_us().is_some_and(|mean_us| mean_us >= straggler_us)
    }

    fn collect_candidates(&mut self, now: Instant, tier: Tier) {
        let settings = &self.settings;
        let default_us = self.median_us.unwrap_or(1);
        let targets = self.targets.iter().enumerate().zip(&self.tiers);
        let in_tier = targets.filter(|(_, assigned)| **assigned == Some(tier));
        self.candidates.clear();
        self.candidates.extend(in_tier.map(|((index, target), _)| Candidate {
            index,
            in_flight: target.in_flight.get(),
            latency_us: target.latency.peak_us().unwrap_or(default_us),
            reported_load: target.reported_load(now, settings),
        }));
    }
}
