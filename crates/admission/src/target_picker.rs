//! Which target of a back end runs a request.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, SortedVec, TargetId, ZoneId};
use wagtailmoor_site::Target;

use crate::{Running, ServiceTime, TargetLoad};

/// Time by which a target of another zone must be faster to be preferred.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(25);

/// The same for answers of many kilobytes, which are expensive to carry between zones.
const OTHER_ZONE_BULK_PENALTY: Duration = Duration::from_millis(300);

/// Time that a certain failure counts as; a share of failures counts as that share of it.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);

/// Random time added to each estimate, so that nodes with the same view choose different targets.
const JITTER: Duration = Duration::from_millis(15);

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

    /// Forgets a target.
    pub fn forget(&mut self, target: &TargetId) {
        self.loads.remove(target);
    }

    /// Chooses the candidate that is likely to answer first.
    pub fn pick<'t, R: Rng>(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        candidates: impl Iterator<Item = &'t Target>,
        demand: Demand<'_>,
        random: &mut R,
    ) -> Option<(&'t Target, Picked)> {
        let mut best: Option<(&Target, Duration, Duration)> = None;
        for target in candidates.filter(|target| !demand.tried.contains(&target.target)) {
            let load = self.load(&target.target);
            if load.is_avoided(now) {
                continue;
            }
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
}
