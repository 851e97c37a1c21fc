//! Clock of the stand-in process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time;
use wagtailmoor_core::{Clock, Instant};

/// A clock based on tokio's time, which tests can pause, with a mapping to Unix time.
#[derive(Clone, Copy, Debug)]
pub struct StandInClock {
    start: time::Instant,
    unix_us_at_start: u64,
}

impl StandInClock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_us_at_start = u64::try_from(unix.as_micros()).unwrap_or_default();
        Self { start: time::Instant::now(), unix_us_at_start }
    }

    /// Returns the time since the Unix epoch in microseconds.
    pub fn unix_us(&self) -> u64 {
        self.unix_us_at_start + self.now().as_us()
    }

    /// Returns the time since the start of the clock.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

impl Clock for StandInClock {
    fn now(&self) -> Instant {
        Instant::default() + self.start.elapsed()
    }
}
