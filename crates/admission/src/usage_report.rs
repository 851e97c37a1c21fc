//! Usage of the customers' limits that nodes report to the limit issuer.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_derive::value;

use crate::{CustomerUsage, ReportTiming};

/// Usage of the customers' limits at one node since its last report that was answered. A report
/// without an answer is contained in the next one.
#[value]
pub struct UsageReport {
    /// Time in which the requests arrived.
    pub period: UsagePeriod,
    /// Usage of each customer with requests.
    pub customers: Vec<CustomerUsage>,
}

/// Period of a report, in microseconds on the clock of the reporting node. It is only compared with
/// other periods of the same node.
#[value]
#[derive(Copy)]
pub struct UsagePeriod {
    start_us: u64,
    end_us: u64,
}

impl UsagePeriod {
    /// Creates the period between two instants of the reporting node.
    pub fn new(start: Instant, end: Instant) -> Self {
        Self { start_us: start.as_us(), end_us: end.as_us() }
    }

    /// Returns the end of the period, on the clock of the reporting node.
    pub fn end(self) -> Instant {
        Instant::from_us(self.end_us)
    }

    /// Returns the length of the period.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.end_us.saturating_sub(self.start_us))
    }

    /// Returns the part of the period that is not in the period of an earlier report.
    pub(crate) fn duration_after(self, earlier: Self) -> Duration {
        let start_us = self.start_us.max(earlier.end_us);
        Duration::from_micros(self.end_us.saturating_sub(start_us))
    }

    /// Returns whether this period contains an earlier one: the report of that one was not answered.
    pub(crate) fn contains(self, earlier: Self) -> bool {
        self.start_us == earlier.start_us && self.end_us >= earlier.end_us
    }

    /// Returns whether this period ended before that of a report that was counted already, which then
    /// contains it. If it ended long before, the clock of the node has started again.
    pub(crate) fn is_outdated_by(self, counted: Self) -> bool {
        let before_us = counted.end_us.saturating_sub(self.end_us);
        before_us > 0 && Duration::from_micros(before_us) <= ReportTiming::USAGE_PERIOD_MAX
    }

    /// Returns whether this period contains an earlier one or begins where that one ends. Otherwise
    /// the node has restarted, or has dropped what it could not report.
    pub(crate) fn continues(self, earlier: Self) -> bool {
        self.contains(earlier) || self.start_us == earlier.end_us
    }
}
