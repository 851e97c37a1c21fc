//! Wall-clock times.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use wagtailmoor_core::millis;
use wagtailmoor_derive::scalar;

/// Unix time in milliseconds since the start of 1970, UTC.
///
/// Recordings are read on other hosts and after restarts, so a monotonic clock cannot be used.
#[scalar]
#[derive(Default)]
#[serde(transparent)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time that is `span` earlier, but not before the Unix epoch.
    pub fn before(self, span: Duration) -> Self {
        let span_ms = millis(span);
        Self(self.0.saturating_sub(span_ms))
    }
}

impl Display for UnixMillis {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for UnixMillis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
