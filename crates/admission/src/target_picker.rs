//! Chooses the target of a back end for a request.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, SortedVec, TargetId, ZoneId};
use wagtailmoor_site::Target;

use crate::{RunningGuard, TargetLoad, TargetObservations};

/// Time by which the response of a target in another zone must be faster for it to be preferred.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(25);

/// The same for large responses, which are expensive to transfer between zones.
const OTHER_ZONE_BULK_PENALTY: Duration = Duration::from_millis(300);

/// Penalty of a target whose requests all fail; scaled by the failure ratio of the target.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);

/// Maximum random time added to each estimate, so that nodes with the same data choose different
/// targets.
const JITTER: Duration = Duration::from_millis(15);

/// Properties of a request that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// Targets that were already tried for this request.
    pub tried: &'a [TargetId],
    /// Whether a response of many kilobytes is expected.
    pub bulk: bool,
    /// Service time assumed for a target without responses.
    pub default_service_time: Duration,
}

/// A chosen target.
#[derive(Debug)]
pub struct Picked {
    /// Counts the request as running at the target until it is dropped.
    pub running: RunningGuard,
    /// Estimated response time.
    pub expected: Duration,
}

/// A node's estimates of the load of targets, by which it chooses among them.
#[derive(Debug, Default)]
pub struct TargetPicker {
    loads: SortedVec<TargetId, TargetLoad>,
}

impl TargetPicker {
    /// Returns the load estimate of a target, which is created if it does not exist.
    pub fn load(&mut self, target: &TargetId) -> &mut TargetLoad {
        self.loads.get_or_insert_with(target.clone(), TargetLoad::default)
    }

    /// Returns and resets the observations of all targets since the last call.
    pub fn take_observations(&mut self) -> Vec<TargetObservations> {
        self.loads.iter_mut().filter_map(|(target, load)| load.take_observations(target)).collect()
    }

    /// Drops the estimate of a target that no longer exists.
    pub fn remove(&mut self, target: &TargetId) {
        self.loads.remove(target);
    }

    /// Chooses the candidate with the lowest estimated response time, penalties included. Returns
    /// `None` if all candidates were tried already or are excluded.
    pub fn pick<'t, R: Rng>(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        candidates: impl Iterator<Item = &'t Target>,
        criteria: PickCriteria<'_>,
        random: &mut R,
    ) -> Option<(&'t Target, Picked)> {
        let mut best: Option<(&Target, Duration, Duration)> = None;
        for target in candidates.filter(|target| !criteria.tried.contains(&target.target)) {
            let load = self.load(&target.target);
            if load.is_excluded(now) {
                continue;
            }
            let expected =
                load.expected_response_time(now, target.slots.get(), criteria.default_service_time);
            let penalty = match (target.zone == *zone, criteria.bulk) {
                (true, _) => Duration::ZERO,
                (false, false) => OTHER_ZONE_PENALTY,
                (false, true) => OTHER_ZONE_BULK_PENALTY,
            };
            let failures = FAILURE_PENALTY.mul_f64(load.failure_ratio(now));
            let jitter = JITTER.mul_f64(random.random::<f64>());
            let cost = expected + penalty + failures + jitter;
            if best.as_ref().is_none_or(|(_, _, lowest)| cost < *lowest) {
                best = Some((target, expected, cost));
            }
        }
        let (target, expected, _) = best?;
        let running = self.load(&target.target).start_request();
        Some((target, Picked { running, expected }))
    }
}
