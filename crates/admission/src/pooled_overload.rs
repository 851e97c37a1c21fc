//! Admission to one pooled back end, on the leader.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, PartsPerMillion, Priority, SortedVec};

use crate::PriorityShare;
use crate::RequestClass;
use crate::division::{divide_by_priority, fair_level};

/// Time constant of the demand, which shows a burst within a second.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Demand of a class below this rate, in requests per second, is dropped.
const DEMAND_MIN_PER_S: f64 = 0.02;

/// Requests are withheld only once this many requests wait at the targets for each of their slots.
/// The capacity is an estimate, so without a queue it is no reason to refuse anything.
const QUEUE_PER_SLOT_MIN: f64 = 0.4;

/// The overload has ended when the demand was below this share of the capacity for
/// [`RELIEF_TIME`].
const RELIEF_SHARE: f64 = 0.9;

/// See [`RELIEF_SHARE`]. Longer than the interval of clients that return after a refusal, whose
/// demand would otherwise end and start the overload again and again.
const RELIEF_TIME: Duration = Duration::from_secs(1);

/// Customers whose admitted shares are named for each priority, so that the reply to a report is
/// bounded.
const CUSTOMERS_MAX: usize = 32;

/// Time over which the queue is brought to its intended length, in seconds. The queue is known
/// with a delay of about a second, and a shorter time makes the admitted shares oscillate.
const QUEUE_DRAIN_TIME_S: f64 = 2.0;

/// Intended length of the queue, as a share of the longest one with which requests end in time.
const QUEUE_SHARE: f64 = 0.5;

/// Minimum admitted rate, as a share of the rate that the targets run, so that a wrong estimate of
/// the queue does not stop all requests.
const ADMITTED_RATE_RATIO_MIN: f64 = 0.3;

/// Capacity of the targets of a pooled back end that are in service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PooledCapacity {
    /// Requests per second that they run.
    pub rate_per_s: f64,
    /// Number of requests that they run at the same time.
    pub slots: f64,
    /// Requests that wait at them.
    pub queue: f64,
    /// Requests that may wait at them if all are to end in time.
    pub queue_max: f64,
}

impl PooledCapacity {
    /// Returns the rate to admit.
    fn budget_per_s(self) -> f64 {
        let missing = QUEUE_SHARE * self.queue_max - self.queue;
        let minimum = self.rate_per_s * ADMITTED_RATE_RATIO_MIN;
        (self.rate_per_s + missing / QUEUE_DRAIN_TIME_S).max(minimum)
    }

    fn queue_per_slot(self) -> f64 {
        self.queue / self.slots.max(1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    updated_at: Instant,
}

impl Demand {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_since(self.updated_at).as_secs_f64();
        self.per_s * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Admission to one pooled back end.
#[derive(Debug, Default)]
pub(crate) struct PooledOverload {
    demands: SortedVec<RequestClass, Demand>,
    /// Whether requests are withheld when the demand exceeds the capacity.
    overloaded: bool,
    /// Since when the demand has been below [`RELIEF_SHARE`].
    relieved_since: Option<Instant>,
}

impl PooledOverload {
    /// Adds requests that arrived at a node.
    pub(crate) fn add_demand(&mut self, now: Instant, class: &RequestClass, requests: u32) {
        let demand = self.demands.get_or_insert_with(class.clone(), Demand::default);
        let added = f64::from(requests) / DEMAND_TIME_CONSTANT.as_secs_f64();
        *demand = Demand { per_s: demand.at(now) + added, updated_at: now };
    }

    /// Returns the admitted shares of the priorities whose requests are not all admitted.
    pub(crate) fn update(&mut self, now: Instant, capacity: PooledCapacity) -> Vec<PriorityShare> {
        self.demands.retain(|_, demand| demand.at(now) >= DEMAND_MIN_PER_S);
        let capacity_per_s = capacity.budget_per_s();
        let demand_per_s: f64 = self.demands.values().map(|demand| demand.at(now)).sum();
        self.update_overload(now, demand_per_s, capacity_per_s, capacity.queue_per_slot());
        match self.overloaded && demand_per_s > capacity_per_s {
            true => self.shares(now, capacity_per_s),
            false => Vec::new(),
        }
    }

    /// Returns whether requests are withheld when the demand exceeds the capacity.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    fn update_overload(
        &mut self,
        now: Instant,
        demand_per_s: f64,
        capacity_per_s: f64,
        queue_per_slot: f64,
    ) {
        if !self.overloaded {
            self.overloaded = demand_per_s > capacity_per_s && queue_per_slot >= QUEUE_PER_SLOT_MIN;
            self.relieved_since = None;
        } else if demand_per_s >= RELIEF_SHARE * capacity_per_s {
            self.relieved_since = None;
        } else {
            let since = *self.relieved_since.get_or_insert(now);
            self.overloaded = now < since + RELIEF_TIME;
        }
    }

    fn shares(&self, now: Instant, capacity_per_s: f64) -> Vec<PriorityShare> {
        let mut demands: SortedVec<Priority, f64> = SortedVec::new();
        for (class, demand) in self.demands.iter() {
            *demands.get_or_insert_with(class.priority, || 0.0) += demand.at(now);
        }
        let rates: Vec<f64> = demands.values().copied().collect();
        let allotments = divide_by_priority(capacity_per_s, &rates);
        let divided = demands.into_iter().zip(allotments);
        divided
            .filter(|((_, demand_per_s), allotted_per_s)| allotted_per_s < demand_per_s)
            .map(|((priority, demand_per_s), allotted_per_s)| PriorityShare {
                priority,
                admitted: PartsPerMillion::from_share(allotted_per_s / demand_per_s),
                customers: self.customers(now, priority, allotted_per_s),
            })
            .collect()
    }

    /// Divides what a priority gets among its customers by max-min fairness.
    fn customers(
        &self,
        now: Instant,
        priority: Priority,
        allotted_per_s: f64,
    ) -> Option<SortedVec<Option<CustomerId>, PartsPerMillion>> {
        let of_priority = || {
            let demands = self.demands.iter().filter(|(class, _)| class.priority == priority);
            demands.map(|(class, demand)| (&class.customer, demand.at(now)))
        };
        let level = fair_level(allotted_per_s, of_priority().map(|(_, demand_per_s)| demand_per_s));
        let limited: SortedVec<_, _> = of_priority()
            .filter(|(_, demand_per_s)| *demand_per_s > level)
            .map(|(customer, demand_per_s)| {
                (customer.clone(), PartsPerMillion::from_share(level / demand_per_s))
            })
            .collect();
        (limited.len() <= CUSTOMERS_MAX).then_some(limited)
    }
}
