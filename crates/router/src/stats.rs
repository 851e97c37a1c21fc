//! Request counters and latency histograms of a node.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, CustomerId, Outcome, Priority, Reason, SortedVec, millis};

/// Upper bounds of the latency buckets, in milliseconds.
pub(crate) const LATENCY_BOUNDS_MS: [u64; 10] =
    [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/// The labels of one request counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestLabels {
    pub(crate) back_end: Option<BackEndId>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
}

/// Number and latency of the requests with the same labels.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) requests: u64,
    /// Requests by latency bucket; the last one has no upper bound.
    pub(crate) buckets: [u64; LATENCY_BOUNDS_MS.len() + 1],
    pub(crate) total: Duration,
}

/// Requests of a customer by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CustomerCounts {
    pub(crate) answered: u64,
    pub(crate) refused_by_limit: u64,
    pub(crate) not_answered: u64,
}

/// Request counters and latency histograms of a node.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    requests: SortedVec<RequestLabels, RequestCounts>,
    counters: SortedVec<&'static str, u64>,
    withheld: SortedVec<(BackEndId, Priority), u64>,
}

impl Stats {
    /// Counts a finished request.
    pub(crate) fn request(&mut self, labels: RequestLabels, latency: Duration) {
        let counts = self.requests.get_or_insert_with(labels, RequestCounts::default);
        counts.requests += 1;
        counts.total += latency;
        let latency_ms = millis(latency);
        let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < latency_ms);
        counts.buckets[bucket] += 1;
    }

    /// Increments a counter.
    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counters.get_or_insert_with(name, || 0) += 1;
    }

    /// Iterates over the request counters.
    pub(crate) fn requests(&self) -> impl Iterator<Item = (&RequestLabels, &RequestCounts)> {
        self.requests.iter()
    }

    /// Returns the requests of a customer by outcome.
    pub(crate) fn customer(&self, customer: &CustomerId) -> CustomerCounts {
        let mut sum = CustomerCounts::default();
        let own = |labels: &RequestLabels| labels.customer.as_ref() == Some(customer);
        for (labels, counts) in self.requests.iter().filter(|(labels, _)| own(labels)) {
            match (&labels.outcome, labels.reason) {
                (Outcome::Answered, _) => sum.answered += counts.requests,
                (_, Some(Reason::RateExceeded)) => sum.refused_by_limit += counts.requests,
                _ => sum.not_answered += counts.requests,
            }
        }
        sum
    }

    /// Counts a request that was withheld from its overloaded back end.
    pub(crate) fn count_withheld(&mut self, back_end: &BackEndId, priority: Priority) {
        *self.withheld.get_or_insert_with((back_end.clone(), priority), || 0) += 1;
    }

    /// Iterates over the counters of withheld requests.
    pub(crate) fn withheld(&self) -> impl Iterator<Item = (&(BackEndId, Priority), &u64)> {
        self.withheld.iter()
    }

    /// Iterates over the event counters.
    pub(crate) fn counters(&self) -> impl Iterator<Item = (&&'static str, &u64)> {
        self.counters.iter()
    }
}
