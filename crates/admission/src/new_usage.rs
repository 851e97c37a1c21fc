//! The part of a report of usage that was not in earlier ones.

use std::time::Duration;

use wagtailmoor_core::CustomerId;

use crate::CustomerUsage;

/// The part of a report that was not in earlier ones.
#[derive(Debug)]
pub(crate) struct NewUsage {
    /// Time that the report covers and in which the issuer was in contact with the node.
    pub(crate) in_time: Duration,
    /// Other time that the report covers.
    pub(crate) late: Duration,
    /// Usage of each customer, sorted by customer.
    pub(crate) customers: Vec<CustomerUsage>,
}

impl NewUsage {
    /// Returns the number of requests of a customer that were admitted.
    pub(crate) fn admitted(&self, customer: &CustomerId) -> f64 {
        let position = self.customers.binary_search_by(|usage| usage.customer.cmp(customer));
        position.map_or(0.0, |position| f64::from(self.customers[position].admitted))
    }

    /// Returns the refill of an account by the equal share of the node. For time without contact it is
    /// at most what the node admitted then: all nodes could spend the rest at once after a cut, or by
    /// a new issuer that doesn't know what was admitted before.
    pub(crate) fn refill(&self, share_per_s: f64, admitted: f64) -> f64 {
        let late = (share_per_s * self.late.as_secs_f64()).min(admitted);
        share_per_s * self.in_time.as_secs_f64() + late
    }
}

/// Returns the usage of a period without that of an earlier part of it. Both are sorted by customer.
pub(crate) fn increments(
    mut used: Vec<CustomerUsage>,
    counted: &[CustomerUsage],
) -> Vec<CustomerUsage> {
    for usage in &mut used {
        let position = counted.binary_search_by(|entry| entry.customer.cmp(&usage.customer));
        if let Ok(position) = position {
            usage.arrived = usage.arrived.saturating_sub(counted[position].arrived);
            usage.admitted = usage.admitted.saturating_sub(counted[position].admitted);
        }
    }
    used
}
