//! A node that reports its usage of the customers' limits, as the limit issuer knows it.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec};

use crate::new_usage::{NewUsage, increments};
use crate::{CustomerUsage, ReportTiming, UsageReport};

/// A node without a report for this long no longer counts as a node of the site and is not listed
/// to the other nodes.
pub(crate) const LIVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The state of a node is dropped after this long without a report.
const REPORTER_RETENTION: Duration = Duration::from_secs(20);

/// Time constant of the average demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// What the issuer knows of a node that reports its usage.
#[derive(Debug)]
pub(crate) struct Reporter {
    last_report: Instant,
    /// Whether the report was found to be overdue. The accounts were charged then for requests that
    /// the node may have admitted since its last report, and its demand was taken off the total.
    pub(crate) overdue: bool,
    /// Average requests per second by customer.
    pub(crate) demand: SortedVec<CustomerId, f64>,
    /// The last report that was counted, whether or not its reply arrived.
    counted: Option<UsageReport>,
    /// What the accounts were charged when the report became overdue.
    pub(crate) charged: SortedVec<CustomerId, f64>,
}

impl Reporter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last_report: now,
            overdue: false,
            demand: SortedVec::new(),
            counted: None,
            charged: SortedVec::new(),
        }
    }

    /// Returns whether a report arrives after a later one that contains it.
    pub(crate) fn is_outdated(&self, usage: &UsageReport) -> bool {
        let counted = self.counted.as_ref();
        counted.is_some_and(|counted| usage.period.is_outdated_by(counted.period))
    }

    /// Returns the part of a report that was not in earlier ones.
    pub(crate) fn take_new_usage(&mut self, now: Instant, usage: UsageReport) -> NewUsage {
        let period = usage.period;
        let counted = self.counted.replace(usage.clone());
        let is_first = counted.is_none();
        let (covered, customers) = match counted {
            Some(counted) if period.continues(counted.period) => {
                let elapsed = now.saturating_since(self.last_report) + ReportTiming::REPLY_LIFETIME;
                let covered = period.duration_after(counted.period).min(elapsed);
                match period.contains(counted.period) {
                    true => (covered, increments(usage.customers, &counted.customers)),
                    false => (covered, usage.customers),
                }
            }
            _ => {
                // The node has restarted or dropped usage. What it admitted before is unknown, so
                // the charge stays.
                self.charged.clear();
                (period.duration(), usage.customers)
            }
        };
        let covered = covered.min(ReportTiming::USAGE_PERIOD_MAX);
        let in_time = match is_first {
            true => Duration::ZERO,
            false => covered.min(ReportTiming::REPLY_LIFETIME),
        };
        NewUsage { in_time, late: covered.saturating_sub(in_time), customers }
    }

    /// Updates the average demand.
    pub(crate) fn update_demand(&mut self, now: Instant, used: &[CustomerUsage]) {
        let elapsed_s = now.saturating_since(self.last_report).as_secs_f64();
        let time_constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let factor = (-elapsed_s / time_constant_s).exp();
        self.last_report = now;
        self.overdue = false;
        self.demand.retain(|_, rate| {
            *rate *= factor;
            *rate > 0.01
        });
        for CustomerUsage { customer, arrived, .. } in used {
            let rate = self.demand.get_or_insert_with(customer.clone(), || 0.0);
            *rate += f64::from(*arrived) / time_constant_s;
        }
    }

    /// Adds the demand to the total. The total is kept up to date with each report, since a sum
    /// over all nodes for each of them takes time that grows with the square of their number.
    pub(crate) fn add_demand(&self, total_demand: &mut SortedVec<CustomerId, f64>) {
        for (customer, rate) in self.demand.iter() {
            *total_demand.get_or_insert_with(customer.clone(), || 0.0) += rate;
        }
    }

    /// Takes the demand off the total.
    pub(crate) fn subtract_demand(&self, total_demand: &mut SortedVec<CustomerId, f64>) {
        for (customer, rate) in self.demand.iter() {
            if let Some(total) = total_demand.get_mut(customer) {
                *total = (*total - rate).max(0.0);
            }
        }
    }

    /// Returns whether the node has reported recently enough to count as a node of the site.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.last_report) < LIVE_TIMEOUT
    }

    /// Returns whether the issuer relies on the last report.
    pub(crate) fn is_reporting(&self, now: Instant) -> bool {
        now.saturating_since(self.last_report) < ReportTiming::REPORT_LIFETIME
    }

    /// Returns whether the state of the node is still needed.
    pub(crate) fn is_retained(&self, now: Instant) -> bool {
        now.saturating_since(self.last_report) < REPORTER_RETENTION
    }
}
