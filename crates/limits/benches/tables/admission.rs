//! Wrongful refusals and excess over the rate: credits compared with an even static split.

use wagtailmoor_core::Instant;
use wagtailmoor_limits::TokenBucket;

use super::workloads;
use crate::harness::MS;
use crate::harness::credits::{Credits, CustomerStats};
use crate::harness::plan::Plan;
use crate::harness::world::World;

/// Start of the measurement, after new issuers have waited for the credits of previous ones to
/// expire and have filled their accounts.
const COUNT_FROM_US: u64 = 3_000 * MS;
const END_US: u64 = 18_000 * MS;
/// Interval at which one node leaves, alternately gracefully and abruptly; it rejoins after 500 ms.
const CHURN_US: u64 = 3_000 * MS;
const ZONES: usize = 3;

pub(crate) fn print() {
    println!("Admission, 8 customers, 15 s, per million requests within the rate");
    println!("(split: each host has 1/n of rate and burst; same arrivals in the same run)");
    println!(
        "{:>5} {:>6} {:>7} {:>6} | {:>10} {:>10} | {:>8} {:>8} | {:>7} {:>8}",
        "hosts",
        "demand",
        "spread",
        "churn",
        "refused",
        "split",
        "excess",
        "split",
        "waited",
        "wait"
    );
    for (nodes, factors) in [(12, [0.5, 0.8, 0.95, 2.0].as_slice()), (100, &[0.8, 0.95])] {
        for factor in factors.iter().copied() {
            for (skewed, churn) in [(false, false), (true, false), (false, true), (true, true)] {
                print_row(nodes, factor, skewed, churn);
            }
        }
    }
    println!();
}

fn print_row(nodes: usize, factor: f64, skewed: bool, churn: bool) {
    let mut credits = Credits::new(nodes, ZONES, workloads(nodes, factor, skewed));
    credits.refuse_every = 0;
    credits.count_from_us = COUNT_FROM_US;
    let bucket = |rate: u32| {
        let part = f64::from(rate) / nodes as f64;
        TokenBucket::full(Instant::default(), part, part.max(1.0))
    };
    let static_split = credits.workloads.iter().map(|workload| bucket(workload.rate)).collect();
    credits.static_split = vec![static_split; nodes];
    let mut plan = Plan::without_faults(nodes, ZONES, END_US);
    plan.drift = true;
    if churn {
        plan = plan.with_churn(CHURN_US);
    }
    let mut world = World::new(1, plan, credits);
    world.run();
    let stats = &world.protocol.stats;
    let sum = |count: fn(&CustomerStats) -> u64| stats.iter().map(count).sum::<u64>();
    let within_rate = sum(|stats| stats.within_rate);
    let waited = sum(|stats| stats.waited);
    println!(
        "{nodes:>5} {factor:>6} {:>7} {:>6} | {:>10.0} {:>10.0} | {:>8} {:>8} | {:>6.2}% {:>5.1} ms",
        if skewed { "skewed" } else { "even" },
        if churn { "1/3s" } else { "none" },
        per_million(sum(|stats| stats.refused_within_rate), within_rate),
        per_million(sum(|stats| stats.split_refused_within_rate), within_rate),
        sum(|stats| stats.rate_check.excess),
        sum(|stats| stats.split_check.excess),
        per_million(waited, sum(|stats| stats.admitted)) / 1e4,
        sum(|stats| stats.waited_us) as f64 / waited.max(1) as f64 / 1e3,
    );
}

fn per_million(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64 * 1e6
}
