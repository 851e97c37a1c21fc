//! The share of the requests on a range that is admitted.

use wagtailmoor_core::PartsPerMillion;
use wagtailmoor_derive::value;

use crate::KeyRange;

/// Time over which the queue of an owner is brought to its permitted length, in seconds.
const QUEUE_DRAIN_TIME_S: f64 = 1.0;

/// Minimum admitted rate of an owner, as a fraction of the rate it can run, so that a wrong
/// estimate does not starve any key.
const ADMITTED_RATE_RATIO_MIN: f64 = 0.3;

/// The share of the requests on a range that is admitted, because its owner can run no more in
/// time.
#[value]
pub struct RangeShare {
    /// The keys of the range.
    pub range: KeyRange,
    /// Share of the requests that is sent to the owner of the keys.
    pub admitted: PartsPerMillion,
}

/// Capacity of a target for requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetCapacity {
    /// Requests per second that the target runs.
    pub rate_per_s: f64,
    /// Requests that may still be queued if the last one is to end in time; negative if too many
    /// are queued already.
    pub queue_space: f64,
}

impl TargetCapacity {
    /// Returns the rate to admit over the next [`QUEUE_DRAIN_TIME_S`] seconds.
    fn budget_per_s(self) -> f64 {
        let minimum = self.rate_per_s * ADMITTED_RATE_RATIO_MIN;
        (self.rate_per_s + self.queue_space / QUEUE_DRAIN_TIME_S).max(minimum)
    }
}

/// Divides the capacity of an owner among its ranges by max-min fairness: ranges with low demand
/// get all of it, and those with the highest demand share the rest equally. A hot range thus takes
/// no capacity from the others. Returns the ranges that get less than their demand.
pub(crate) fn divide(
    capacity: TargetCapacity,
    mut demands: Vec<(KeyRange, f64)>,
) -> Vec<RangeShare> {
    let budget = capacity.budget_per_s();
    if demands.iter().map(|(_, rate)| rate).sum::<f64>() <= budget {
        return Vec::new();
    }
    demands.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut remaining = budget;
    let mut limited = Vec::new();
    let count = demands.len();
    for (index, (range, rate)) in demands.into_iter().enumerate() {
        let equal_share = remaining / (count - index) as f64;
        let allotted = rate.min(equal_share);
        remaining -= allotted;
        if allotted < rate {
            let admitted = PartsPerMillion::from_share(allotted / rate);
            limited.push(RangeShare { range, admitted });
        }
    }
    limited
}
