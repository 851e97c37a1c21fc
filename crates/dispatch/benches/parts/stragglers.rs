//! Tail latency with one slow target.

use std::time::Duration;

use wagtailmoor_dispatch::{
    BalancingPolicy, LeastConnections, PowerOfTwo, Random, RoundRobin, TargetSettings,
};

use super::queueing::{Scenario, run};

/// Prints latencies by policy, number of nodes and load, with one of five targets slow.
pub(crate) fn print() {
    println!("Latency with 1 of 5 targets 10 times slower (service time exponential, mean 10 ms,");
    println!("4 slots a target, network 1 ms a round trip, no permits), simulated time");
    println!("nodes  load  policy                 p50 ms   p99 ms  p999 ms  added  unserved");
    for nodes in [1, 12] {
        for load in [0.1, 0.5] {
            let base = scenario(nodes, load, 1.0);
            row(&base, "all targets equal", &PowerOfTwo);
            let slow = scenario(nodes, load, 10.0);
            let hedged = Scenario { hedges: true, ..slow.clone() };
            row(&hedged, "product", &PowerOfTwo);
            row(&slow, "product, no hedging", &PowerOfTwo);
            let baseline =
                Scenario { settings: without_straggler_detection(), slots_known: false, ..slow };
            row(&baseline, "random", &Random);
            row(&baseline, "round robin", &RoundRobin::default());
            row(&baseline, "least connections", &LeastConnections);
        }
    }
    println!();
}

fn scenario(nodes: usize, load: f64, slow_factor: f64) -> Scenario {
    Scenario {
        nodes,
        // The four normal targets together serve 1600 requests per second.
        rate_per_s: load * 1600.0,
        seconds: 60,
        slots: 4,
        slots_known: true,
        service_ms: 10.0,
        slow_factor,
        cold: None,
        hedges: false,
        shared_permits: false,
        settings: TargetSettings::default(),
    }
}

/// Returns settings that disable straggler detection, for the baselines.
fn without_straggler_detection() -> TargetSettings {
    TargetSettings {
        straggler_factor: u32::MAX,
        straggler_margin: Duration::from_secs(3600),
        ..TargetSettings::default()
    }
}

fn row<C: BalancingPolicy + Clone>(scenario: &Scenario, name: &str, policy: &C) {
    let results = run(scenario, policy, 1);
    println!(
        "{:5}  {:3.0}%  {:20} {:8.1} {:8.1} {:8.1}  {:4.1}%  {:8}",
        scenario.nodes,
        scenario.rate_per_s / 16.0,
        name,
        results.quantile_ms(0.5),
        results.quantile_ms(0.99),
        results.quantile_ms(0.999),
        100.0 * f64::from(results.added) / f64::from(results.first),
        results.unserved,
    );
}
