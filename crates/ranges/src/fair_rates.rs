//! How a load is divided among targets of different capacity.

/// Least part of the load in proportion to its capacity that is fair for a slow target.
const FAIR_SHARE_MIN: f64 = 0.2;

/// Divides a load so that requests take the least time on the whole: what targets have free is
/// divided by the square roots of their capacities, so that slow ones are less busy than fast ones.
/// Without free capacity the load is divided in proportion, and without load so are the rates.
pub fn fair_rates(total_per_s: f64, capacities_per_s: &[f64]) -> Vec<f64> {
    let capacity: f64 = capacities_per_s.iter().sum();
    let roots: f64 = capacities_per_s.iter().map(|own| own.sqrt()).sum();
    let free = (capacity - total_per_s).max(0.0);
    if total_per_s <= 0.0 {
        return capacities_per_s.to_vec();
    }
    let wanted = capacities_per_s.iter().map(|own| {
        let proportional = own * total_per_s / capacity;
        let fair = own - free * own.sqrt() / roots;
        fair.clamp(FAIR_SHARE_MIN * proportional, own.max(proportional))
    });
    let wanted: Vec<f64> = wanted.collect();
    let given: f64 = wanted.iter().sum();
    wanted.into_iter().map(|rate| rate * total_per_s / given).collect()
}
