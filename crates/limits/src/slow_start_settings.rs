//! Concurrency limit during slow start.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_derive::value;

/// Slow start of a cold target: its limit doubles with every step until it reaches the full limit.
#[value]
pub struct SlowStartSettings {
    /// Limit during the first step.
    pub concurrency: u32,
    /// Duration of a step.
    pub step: Duration,
}

impl SlowStartSettings {
    /// Returns the limit at `now` of a target that became cold at `since`, where `full` is the
    /// limit of the warm target.
    pub fn limit(&self, since: Instant, now: Instant, full: u32) -> u32 {
        let steps = now.saturating_since(since).as_micros() / self.step.as_micros().max(1);
        let doublings = u32::try_from(steps).unwrap_or(u32::MAX).min(u32::BITS - 1);
        let limit = u64::from(self.concurrency) << doublings;
        u32::try_from(limit).unwrap_or(u32::MAX).min(full)
    }
}
