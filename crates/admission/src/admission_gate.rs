//! Applies the admitted shares of overloaded back ends, on every node.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, ShardKey, SortedVec};

use crate::{AdmittedShares, KeyedShare, ReportTiming, RequestClass};

/// The count of a flow is kept for this long after its last request.
const FLOW_LIFETIME: Duration = Duration::from_secs(10);

/// Requests with the same admitted share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Flow {
    back_end: BackEndId,
    /// First key of an overloaded range; `None` for a pooled back end.
    first_key: Option<ShardKey>,
    class: RequestClass,
}

/// Which requests of a flow are admitted. A node sees a small part of the requests, so independent
/// random decisions would admit too many in one second and too few in the next.
#[derive(Clone, Copy, Debug)]
struct Thinning {
    /// Sum of the shares of the requests so far, less the admitted requests.
    admissible: f64,
    used_at: Instant,
}

/// Applies the admitted shares that the leader sent. Requests above them are refused at once: in
/// the queues of the targets they would be late, and delay all requests behind them.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    shares: SortedVec<BackEndId, AdmittedShares>,
    valid_until: Instant,
    flows: SortedVec<Flow, Thinning>,
}

impl AdmissionGate {
    /// Replaces the shares by those that the leader sent.
    pub fn replace(&mut self, now: Instant, shares: Vec<AdmittedShares>) {
        let shares = shares.into_iter().map(|shares| (shares.back_end.clone(), shares));
        self.shares = shares.collect();
        self.valid_until = now + ReportTiming::REPLY_LIFETIME;
        self.flows.retain(|_, thinning| now < thinning.used_at + FLOW_LIFETIME);
    }

    /// Decides whether a request is withheld from its back end, and returns the admitted share if
    /// it is.
    pub fn withheld<R: Rng>(
        &mut self,
        now: Instant,
        back_end: &BackEndId,
        key: Option<ShardKey>,
        class: &RequestClass,
        random: &mut R,
    ) -> Option<PartsPerMillion> {
        let (flow, share) = self.limited_flow(now, back_end, key, class)?;
        // A random start, so that the nodes together admit the share also of their first requests.
        let thinning = self.flows.get_or_insert_with(flow, || Thinning {
            admissible: random.random_range(0.0..1.0),
            used_at: now,
        });
        thinning.used_at = now;
        thinning.admissible += share.of(1.0);
        match thinning.admissible >= 1.0 {
            true => {
                thinning.admissible -= 1.0;
                None
            }
            false => Some(share),
        }
    }

    /// Returns the admitted share of the requests that are treated like this one.
    pub fn admitted(
        &self,
        now: Instant,
        back_end: &BackEndId,
        key: Option<ShardKey>,
        class: &RequestClass,
    ) -> PartsPerMillion {
        let limited = self.limited_flow(now, back_end, key, class);
        limited.map_or(PartsPerMillion::ONE, |(_, share)| share)
    }

    /// Returns the flow of a request and its admitted share, or `None` if all of it is admitted.
    fn limited_flow(
        &self,
        now: Instant,
        back_end: &BackEndId,
        key: Option<ShardKey>,
        class: &RequestClass,
    ) -> Option<(Flow, PartsPerMillion)> {
        let shares = self.shares.get(back_end).filter(|_| now < self.valid_until)?;
        let (first_key, class, share) = match key {
            Some(key) => {
                let range = range_of(&shares.ranges, key)?;
                let class = RequestClass { priority: class.priority, customer: None };
                let share = range.of(class.priority);
                (Some(range.range.first()), class, share)
            }
            None => {
                let priority =
                    shares.priorities.iter().find(|share| share.priority == class.priority)?;
                (None, class.clone(), priority.of(&class.customer))
            }
        };
        let flow = Flow { back_end: back_end.clone(), first_key, class };
        (share < PartsPerMillion::ONE).then_some((flow, share))
    }
}

/// Looks up the range of a key; the ranges are sorted.
fn range_of(ranges: &[KeyedShare], key: ShardKey) -> Option<&KeyedShare> {
    let index = ranges.partition_point(|share| share.range.last() < key);
    ranges.get(index).filter(|share| share.range.contains(key))
}
