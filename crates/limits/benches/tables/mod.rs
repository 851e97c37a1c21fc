//! Benchmark tables, one module each.

pub(crate) mod admission;
pub(crate) mod cost;
pub(crate) mod fairness;
pub(crate) mod traffic;

use crate::harness::credits::Workload;

/// Rates of eight customers at a site with 12 hosts; a few are large.
pub(crate) const RATES: [u32; 8] = [1_600, 800, 400, 200, 100, 50, 20, 10];

/// Returns workloads that demand `factor` times the rate, with a burst of one second.
pub(crate) fn workloads(nodes: usize, factor: f64, skewed: bool) -> Vec<Workload> {
    let scale = if nodes > 12 { 2 } else { 1 };
    let hot = (nodes / 10).max(1);
    let share = |node: usize| match skewed {
        true if node < hot => 0.8 / hot as f64,
        true => 0.2 / (nodes - hot) as f64,
        false => 1.0 / nodes as f64,
    };
    let workload = |rate: u32| Workload {
        rate: rate * scale,
        burst: rate * scale,
        shares: (0..nodes).map(share).collect(),
        phases: vec![factor],
        phase_us: 1_000_000,
        batch: 0.0,
        batch_size: 1,
        abandoned: 0.0,
    };
    RATES.into_iter().map(workload).collect()
}
