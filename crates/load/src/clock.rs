//! Clock of a run.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Maps tokio's monotonic time to Unix time, so that adjustments of the system clock during a run
/// have no effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    start: Instant,
    unix_us_at_start: u64,
}

impl RunClock {
    pub(crate) fn start() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_us_at_start: now.as_micros() as u64 }
    }

    /// Returns the start of the clock in microseconds since the Unix epoch.
    pub(crate) fn started_us(&self) -> u64 {
        self.unix_us_at_start
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub(crate) fn unix_us(&self) -> u64 {
        self.unix_us_at_start + self.start.elapsed().as_micros() as u64
    }

    /// Returns the instant at an offset from the start.
    pub(crate) fn instant_at(&self, from_start_us: u64) -> Instant {
        self.start + std::time::Duration::from_micros(from_start_us)
    }
}
