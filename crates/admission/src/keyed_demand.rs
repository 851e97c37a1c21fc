//! Demand by key and priority on one keyed back end, on the leader.

use std::time::Duration;

use wagtailmoor_core::{Instant, PartsPerMillion, Priority, ShardKey, SortedVec};
use wagtailmoor_ranges::{KeyLoad, RangeShare};

use crate::KeyedShare;
use crate::division::divide_by_priority;

/// Time constant of the demand by priority. Only the ratio of the priorities of a range matters,
/// which changes more slowly than the demand.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Demand by key and priority on one keyed back end.
#[derive(Debug, Default)]
pub(crate) struct KeyedDemand {
    loads: SortedVec<Priority, KeyLoad>,
}

impl KeyedDemand {
    /// Adds requests that arrived at a node.
    pub(crate) fn add(&mut self, now: Instant, key: ShardKey, priority: Priority, requests: u32) {
        let load = self.loads.get_or_insert_with(priority, || KeyLoad::new(now, TIME_CONSTANT));
        load.add(key, requests);
    }

    /// Divides the admitted share of each range among its priorities.
    pub(crate) fn divide(&mut self, now: Instant, limited: Vec<RangeShare>) -> Vec<KeyedShare> {
        self.loads.values_mut().for_each(|load| load.decay(now));
        limited.into_iter().map(|share| self.divide_range(share)).collect()
    }

    fn divide_range(&self, RangeShare { range, admitted }: RangeShare) -> KeyedShare {
        let rates = self.loads.iter().map(|(priority, load)| (*priority, load.rate_per_s(range)));
        let rates: Vec<(Priority, f64)> = rates.filter(|(_, per_s)| *per_s > 0.0).collect();
        let demands: Vec<f64> = rates.iter().map(|(_, per_s)| *per_s).collect();
        let capacity_per_s = admitted.of(demands.iter().sum());
        let allotments = divide_by_priority(capacity_per_s, &demands);
        let by_priority = match rates.len() {
            // Exactly the share of the range, without a rounding error.
            1 => rates.into_iter().map(|(priority, _)| (priority, admitted)).collect(),
            _ => rates
                .into_iter()
                .zip(allotments)
                .map(|((priority, per_s), allotted_per_s)| {
                    (priority, PartsPerMillion::from_share(allotted_per_s / per_s))
                })
                .collect(),
        };
        KeyedShare { range, admitted, by_priority }
    }
}
