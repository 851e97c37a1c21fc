//! A moving average of events per second.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// A moving average of events per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventRate {
    recent: f64,
    updated: Instant,
}

impl EventRate {
    pub(crate) fn add(&mut self, now: Instant, events: u32) {
        self.recent = self.recent(now) + f64::from(events);
        self.updated = now;
    }

    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        self.recent(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn recent(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.updated).as_secs_f64();
        self.recent * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
