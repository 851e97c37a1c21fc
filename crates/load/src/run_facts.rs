//! Facts of a run that are not part of its history.

use wagtailmoor_derive::value;

use crate::StepResult;

/// Settings and counters of a run that are not part of its history.
#[value]
pub struct RunFacts {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrivals, customers and keys.
    pub seed: u64,
    /// Start of the run in microseconds since the Unix epoch.
    pub started_us: u64,
    /// Period in which requests were planned.
    pub duration_ms: u64,
    /// Number of planned requests.
    pub planned: u64,
    /// Planned requests that were not sent because `max_in_progress` was reached.
    pub overflow: u64,
    /// Connections opened to all entry processes.
    pub connections_opened: u64,
    /// Results of the timeline steps, in the order of execution.
    pub steps: Vec<StepResult>,
}
