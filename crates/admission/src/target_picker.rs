//! Which target of a back end runs a request.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, SortedVec, TargetId, ZoneId};
use wagtailmoor_site::Target;

use crate::{Running, ServiceTime, TargetLoad, TargetWeight};

/// Time by which a target of another zone must be faster to be preferred.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(25);

/// The same for answers of many kilobytes, which are expensive to carry between zones.
const OTHER_ZONE_BULK_PENALTY: Duration = Duration::from_millis(300);

/// Time that a certain failure counts as; a share of failures counts as that share of it.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);

/// Random time added to each estimate, so that nodes with the same view choose different targets.
const JITTER: Duration = Duration::from_millis(15);

/// Targets up to which all are compared: each node sees them often enough to know their load.
const SCANNED_MAX: usize = 16;

/// Targets that are drawn by weight and then compared.
const DRAWN: usize = 3;

/// Weight of a target of another zone, relative to one of the own zone.
const OTHER_ZONE_WEIGHT: f64 = 0.2;

/// The same for answers of many kilobytes.
const OTHER_ZONE_BULK_WEIGHT: f64 = 0.03;

/// Time for which weights are used without newer ones.
const WEIGHTS_LIFETIME: Duration = Duration::from_secs(4);

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Targets that were tried for it already.
    pub tried: &'a [TargetId],
    /// Whether its answer is large.
    pub bulk: bool,
    /// How long requests of its route usually take.
    pub usual: Duration,
}

/// A chosen target.
#[derive(Debug)]
pub struct Picked {
    /// Counts the request at the target until it is dropped.
    pub running: Running,
    /// How long the request is likely to take.
    pub expected: Duration,
}

/// What a node knows about the load of targets, and the choice among them.
#[derive(Debug, Default)]
pub struct TargetPicker {
    loads: SortedVec<TargetId, TargetLoad>,
    weights: SortedVec<TargetId, u32>,
    weights_until: Instant,
}

impl TargetPicker {
    /// Returns what is known of a target.
    pub fn load(&mut self, target: &TargetId) -> &mut TargetLoad {
        self.loads.get_or_insert_with(target.clone(), TargetLoad::default)
    }

    /// Returns and clears how long targets took for requests since the last call, and how many
    /// requests waited at them.
    pub fn take_service(&mut self) -> Vec<ServiceTime> {
        self.loads.iter_mut().filter_map(|(target, load)| load.take_service(target)).collect()
    }

    /// Takes the leader's word on how requests are divided.
    pub fn set_weights(&mut self, now: Instant, weights: Vec<TargetWeight>) {
        let weights = weights.into_iter().map(|weight| (weight.target, weight.requests_per_1000_s));
        self.weights = weights.collect();
        self.weights_until = now + WEIGHTS_LIFETIME;
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &TargetId) {
        self.loads.remove(target);
    }

    /// Chooses the candidate that is likely to answer first. Among many targets, of which a node sees
    /// each too rarely to know its load, a few are drawn by weight before.
    pub fn pick<'t, R: Rng>(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        candidates: impl Iterator<Item = &'t Target>,
        demand: Demand<'_>,
        random: &mut R,
    ) -> Option<(&'t Target, Picked)> {
        let mut free: Vec<&Target> = candidates
            .filter(|target| !demand.tried.contains(&target.target))
            .filter(|target| !self.load(&target.target).is_avoided(now))
            .collect();
        if free.len() > SCANNED_MAX && now < self.weights_until {
            free = self.draw(zone, free, demand.bulk, random);
        }
        let mut best: Option<(&Target, Duration, Duration)> = None;
        for target in free {
            let load = self.load(&target.target);
            let expected = load.expected(now, target.slots.get(), demand.usual);
            let penalty = match (target.zone == *zone, demand.bulk) {
                (true, _) => Duration::ZERO,
                (false, false) => OTHER_ZONE_PENALTY,
                (false, true) => OTHER_ZONE_BULK_PENALTY,
            };
            let failures = FAILURE_PENALTY.mul_f64(load.failure_share(now));
            let jitter = JITTER.mul_f64(random.random::<f64>());
            let cost = expected + penalty + failures + jitter;
            if best.as_ref().is_none_or(|(_, _, lowest)| cost < *lowest) {
                best = Some((target, expected, cost));
            }
        }
        let (target, expected, _) = best?;
        let running = self.load(&target.target).enter();
        Some((target, Picked { running, expected }))
    }

    /// Draws some targets, each with a chance by its weight. One that the leader has not weighed yet
    /// counts as an average one, so that targets that join get requests.
    fn draw<'t, R: Rng>(
        &self,
        zone: &ZoneId,
        targets: Vec<&'t Target>,
        bulk: bool,
        random: &mut R,
    ) -> Vec<&'t Target> {
        let sum: f64 = self.weights.values().map(|weight| f64::from(*weight)).sum();
        let average = (sum / self.weights.len().max(1) as f64).max(1.0);
        let other_zone = if bulk { OTHER_ZONE_BULK_WEIGHT } else { OTHER_ZONE_WEIGHT };
        let ranked = targets.into_iter().map(|target| {
            let weight = self.weights.get(&target.target).map_or(average, |own| f64::from(*own));
            let weight = if target.zone == *zone { weight } else { weight * other_zone };
            // The times of the first arrivals of independent streams with these rates.
            (-(1.0 - random.random::<f64>()).ln() / weight, target)
        });
        let mut ranked: Vec<(f64, &Target)> = ranked.collect();
        ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
        ranked.into_iter().take(DRAWN).map(|(_, target)| target).collect()
    }
}
