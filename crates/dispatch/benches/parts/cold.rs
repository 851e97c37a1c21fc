//! Load on a target that is cold after a restart.

use std::time::Duration;

use wagtailmoor_core::Requests;
use wagtailmoor_dispatch::{PowerOfTwo, Random, TargetSettings};

use super::queueing::{Scenario, run};

const LIMIT: u32 = 1;

/// Prints the maximum number of concurrent requests at a cold target.
pub(crate) fn print() {
    println!(
        "Target 0 restarts cold after 5 s (10 times slower for its first 15 requests), load 50%"
    );
    println!("nodes  policy                        limit  peak  p99 ms  unserved");
    for nodes in [1, 12] {
        let default_policy = scenario(nodes, LIMIT);
        let shared = Scenario { shared_permits: true, ..default_policy.clone() };
        row("product, permits", &shared, run(&shared, &PowerOfTwo, 1));
        row("product, own evidence only", &default_policy, run(&default_policy, &PowerOfTwo, 1));
        let unlimited = Scenario { slots_known: false, ..scenario(nodes, u32::MAX) };
        row("random, no cold limit", &unlimited, run(&unlimited, &Random, 1));
    }
    println!();
}

fn scenario(nodes: usize, limit: u32) -> Scenario {
    Scenario {
        nodes,
        rate_per_s: 800.0,
        seconds: 20,
        slots: 4,
        slots_known: true,
        service_ms: 10.0,
        slow_factor: 10.0,
        cold: Some((Duration::from_secs(5), 15)),
        hedges: false,
        shared_permits: false,
        settings: TargetSettings {
            cold_concurrency: Requests::new(limit),
            cold_step: Duration::from_millis(2000),
            ..TargetSettings::default()
        },
    }
}

fn row(name: &str, scenario: &Scenario, results: super::queueing::Results) {
    let limit = match scenario.settings.cold_concurrency.get() {
        u32::MAX => "none".to_owned(),
        limit => limit.to_string(),
    };
    println!(
        "{:5}  {name:28} {limit:>6} {:5} {:7.1} {:9}",
        scenario.nodes,
        results.cold_peak,
        results.quantile_ms(0.99),
        results.unserved,
    );
}
