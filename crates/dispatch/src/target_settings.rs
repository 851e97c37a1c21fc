//! Settings of load balancing.

use std::time::Duration;

use wagtailmoor_core::Requests;

/// Settings of load balancing for one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Initial limit of requests in flight at a cold target.
    pub cold_concurrency: Requests,
    /// Duration of one slow-start step. The limit of a cold target is doubled after each successful
    /// step.
    pub cold_step: Duration,
    /// Ratio of a target's latency to the median of all warm targets from which it is a straggler.
    pub straggler_factor: u32,
    /// Minimum difference between a straggler's latency and the median.
    pub straggler_margin: Duration,
    /// Interval between probes of a straggler.
    pub probe_interval: Duration,
    /// Time constant of the exponential decay of a latency peak.
    pub peak_decay: Duration,
    /// Age from which a load report is ignored.
    pub report_age_max: Duration,
    /// Back-off after the first connection failure of a target, doubled with each further one until
    /// the target answers.
    pub loss_backoff: Duration,
    /// Maximum back-off, also for the delay that a target requests.
    pub backoff_max: Duration,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            cold_concurrency: Requests::new(1),
            cold_step: Duration::from_millis(500),
            straggler_factor: 3,
            straggler_margin: Duration::from_millis(1),
            probe_interval: Duration::from_secs(1),
            peak_decay: Duration::from_secs(1),
            report_age_max: Duration::from_secs(10),
            loss_backoff: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
        }
    }
}
