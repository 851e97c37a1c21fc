//! Division of capacity among priorities and customers.

/// Share of the capacity that each lower priority gets in any case, so that it is not starved.
const FLOOR_SHARE: f64 = 0.05;

/// Upper bound of all these shares together.
const FLOORS_SHARE_MAX: f64 = 0.5;

/// Divides a capacity among priorities, whose demands are sorted with the most urgent one first.
/// Each gets what the more urgent ones leave, and at least [`FLOOR_SHARE`] of the capacity if its
/// demand is not less.
pub(crate) fn divide_by_priority(capacity: f64, demands: &[f64]) -> Vec<f64> {
    let lower = demands.len().saturating_sub(1).max(1) as f64;
    let floor_max = capacity * FLOOR_SHARE.min(FLOORS_SHARE_MAX / lower);
    let floor = |demand: f64| demand.min(floor_max);
    let mut reserved: f64 = demands.iter().skip(1).copied().map(floor).sum();
    let mut remaining = capacity;
    let mut allotments = Vec::with_capacity(demands.len());
    for (index, demand) in demands.iter().enumerate() {
        if index > 0 {
            reserved -= floor(*demand);
        }
        let allotted = demand.min((remaining - reserved).max(0.0));
        remaining -= allotted;
        allotments.push(allotted);
    }
    allotments
}

/// Returns the rate up to which each demand is met if `capacity` is divided by max-min fairness;
/// infinite if it suffices for all.
pub(crate) fn fair_level(capacity: f64, demands: impl Iterator<Item = f64>) -> f64 {
    let mut demands: Vec<f64> = demands.collect();
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    let count = demands.len();
    for (index, demand) in demands.into_iter().enumerate() {
        let equal_part = remaining / (count - index) as f64;
        if demand > equal_part {
            return equal_part;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
