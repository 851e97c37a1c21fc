//! Computes which share of the requests to overloaded back ends is admitted, on the leader.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, Priority, ShardKey, SortedVec};
use wagtailmoor_ranges::RangeShare;

use crate::keyed_demand::KeyedDemand;
use crate::pooled_overload::PooledOverload;
use crate::{
    AdmittedShares, BackEndDemand, KeyedShare, PooledCapacity, PriorityShare, ReportTiming,
};

/// Interval at which the admitted shares of a back end are computed.
const INTERVAL: Duration = Duration::from_millis(200);

/// Demand on one back end and the shares computed from it.
#[derive(Debug, Default)]
struct BackEnd {
    computed_at: Option<Instant>,
    pooled: PooledOverload,
    keyed: KeyedDemand,
    ranges: Vec<KeyedShare>,
    priorities: Vec<PriorityShare>,
}

/// Computes which share of the requests to overloaded back ends is admitted.
#[derive(Debug, Default)]
pub struct AdmissionController {
    back_ends: SortedVec<BackEndId, BackEnd>,
}

impl AdmissionController {
    /// Adds a node's demand on pooled back ends.
    pub fn add_demand(&mut self, now: Instant, demands: &[BackEndDemand]) {
        for BackEndDemand { back_end, requests } in demands {
            let known = self.back_ends.get_or_insert_with(back_end.clone(), BackEnd::default);
            for (class, requests) in requests {
                known.pooled.add_demand(now, class, *requests);
            }
        }
    }

    /// Adds a node's requests on a key of a keyed back end.
    pub fn add_key_demand(
        &mut self,
        now: Instant,
        back_end: &BackEndId,
        key: ShardKey,
        priority: Priority,
        requests: u32,
    ) {
        let known = self.back_ends.get_or_insert_with(back_end.clone(), BackEnd::default);
        known.keyed.add(now, key, priority, requests);
    }

    /// Returns whether the shares of a back end are to be computed again.
    pub fn is_due(&self, now: Instant, back_end: &BackEndId) -> bool {
        let computed_at = self.back_ends.get(back_end).and_then(|known| known.computed_at);
        computed_at.is_none_or(|computed_at| now >= computed_at + INTERVAL)
    }

    /// Computes the shares of a pooled back end.
    pub fn update_pooled(&mut self, now: Instant, back_end: &BackEndId, capacity: PooledCapacity) {
        let known = self.back_ends.get_or_insert_with(back_end.clone(), BackEnd::default);
        known.computed_at = Some(now);
        known.ranges.clear();
        known.priorities = known.pooled.update(now, capacity);
    }

    /// Returns whether a pooled back end is overloaded.
    pub fn is_overloaded(&self, back_end: &BackEndId) -> bool {
        self.back_ends.get(back_end).is_some_and(|known| known.pooled.is_overloaded())
    }

    /// Computes the shares of a keyed back end, of whose requests on a range only a part fits.
    pub fn update_keyed(&mut self, now: Instant, back_end: &BackEndId, limited: Vec<RangeShare>) {
        let known = self.back_ends.get_or_insert_with(back_end.clone(), BackEnd::default);
        known.computed_at = Some(now);
        known.priorities.clear();
        known.ranges = known.keyed.divide(now, limited);
    }

    /// Drops the back ends that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&BackEndId) -> bool) {
        self.back_ends.retain(|back_end, _| exists(back_end));
    }

    /// Drops all demand and shares, when this process no longer leads.
    pub fn clear(&mut self) {
        self.back_ends.clear();
    }

    /// Returns the shares of all overloaded back ends. Shares that were not computed again for a
    /// while, because the owners of a back end are not known at present, no longer apply.
    pub fn shares(&self, now: Instant) -> Vec<AdmittedShares> {
        let is_recent = |computed_at: Instant| now < computed_at + ReportTiming::REPLY_LIFETIME;
        self.back_ends
            .iter()
            .filter(|(_, known)| known.computed_at.is_some_and(is_recent))
            .filter(|(_, known)| !known.ranges.is_empty() || !known.priorities.is_empty())
            .map(|(back_end, known)| AdmittedShares {
                back_end: back_end.clone(),
                ranges: known.ranges.clone(),
                priorities: known.priorities.clone(),
            })
            .collect()
    }

    /// Returns the lowest admitted share of each back end and priority of which requests are
    /// withheld.
    pub fn lowest_shares(&self) -> SortedVec<(BackEndId, Priority), PartsPerMillion> {
        let mut lowest = SortedVec::new();
        for (back_end, known) in self.back_ends.iter() {
            let pooled = known.priorities.iter().map(|share| (share.priority, share.admitted));
            let keyed = known.ranges.iter().flat_map(|share| share.by_priority.iter().copied());
            for (priority, admitted) in pooled.chain(keyed) {
                let known = lowest
                    .get_or_insert_with((back_end.clone(), priority), || PartsPerMillion::ONE);
                *known = admitted.min(*known);
            }
        }
        lowest
    }
}
