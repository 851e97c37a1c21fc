//! The load of the keys of a back end.

use std::time::Duration;

use wagtailmoor_core::{Instant, ShardKey, SortedVec};

use crate::range_list::RangeList;
use crate::range_share::divide;
use crate::{KeyLoad, KeyRange, RangeShare, TargetCapacity, TargetProcess};

/// Time constant of the load average that reveals a hot range within a second.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Time constant of the load average that reveals a lasting imbalance despite random variation.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// The request rate per key, averaged over a short time and over a long one.
#[derive(Debug)]
pub(crate) struct LoadAverages {
    fast: KeyLoad,
    slow: KeyLoad,
}

impl LoadAverages {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            fast: KeyLoad::new(now, FAST_TIME_CONSTANT),
            slow: KeyLoad::new(now, SLOW_TIME_CONSTANT),
        }
    }

    /// Adds requests for a key.
    pub(crate) fn add(&mut self, key: ShardKey, requests: u32) {
        self.fast.add(key, requests);
        self.slow.add(key, requests);
    }

    /// Applies the decay since the last call.
    pub(crate) fn decay(&mut self, now: Instant) {
        self.fast.decay(now);
        self.slow.decay(now);
    }

    /// Returns the average that reveals a hot range.
    pub(crate) fn fast(&self) -> &KeyLoad {
        &self.fast
    }

    /// Returns the average that reveals a lasting imbalance.
    pub(crate) fn slow(&self) -> &KeyLoad {
        &self.slow
    }

    /// Returns the admitted shares of the ranges that receive more requests than their owners can
    /// run in time. Owners for which `capacity` returns `None` are not limited.
    pub(crate) fn limited_shares(
        &self,
        now: Instant,
        ranges: &RangeList,
        capacity: impl Fn(&TargetProcess) -> Option<TargetCapacity>,
    ) -> Vec<RangeShare> {
        let rates = self.fast.unbiased_rates(now, ranges.iter().map(|entry| &entry.range));
        let mut demands: SortedVec<&TargetProcess, Vec<(KeyRange, f64)>> = SortedVec::new();
        for (entry, rate) in ranges.iter().zip(rates) {
            if let Some(owner) = entry.owner.as_ref().filter(|_| rate > 0.0) {
                demands.get_or_insert_with(owner, Vec::new).push((entry.range, rate));
            }
        }
        let mut shares: Vec<RangeShare> = demands
            .into_iter()
            .filter_map(|(owner, demands)| Some(divide(capacity(owner)?, demands)))
            .flatten()
            .collect();
        shares.sort_by_key(|share| share.range);
        shares
    }
}
