//! Points in time on the monotonic clock of one process.

use std::ops::{Add, Sub};
use std::time::Duration;

use wagtailmoor_derive::scalar;

/// Microseconds on the monotonic clock of one process.
///
/// Instants of different processes cannot be compared and are never sent.
#[scalar]
#[derive(Default)]
pub struct Instant {
    since_start_us: u64,
}

impl Instant {
    /// Creates an instant from microseconds since the start of the clock.
    pub const fn from_us(since_start_us: u64) -> Self {
        Self { since_start_us }
    }

    /// Returns microseconds since the start of the clock.
    pub const fn as_us(self) -> u64 {
        self.since_start_us
    }

    /// Returns the time since an earlier instant, or zero if it is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.since_start_us.saturating_sub(earlier.since_start_us))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self::from_us(self.since_start_us.saturating_add(duration_us))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self::from_us(self.since_start_us.saturating_sub(duration_us))
    }
}
