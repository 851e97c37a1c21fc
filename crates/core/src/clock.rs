//! Sources of monotonic time.

use std::time;

use crate::Instant;

/// A source of monotonic time.
pub trait Clock {
    /// Returns the present instant.
    fn now(&self) -> Instant;
}

/// The monotonic clock of the operating system, counted from the creation of this value.
#[derive(Clone, Debug)]
pub struct MonotonicClock {
    start: time::Instant,
}

impl MonotonicClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: time::Instant::now() }
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Instant {
        Instant::default() + self.start.elapsed()
    }
}
