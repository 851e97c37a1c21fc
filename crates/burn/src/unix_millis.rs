//! Points in time on the wall clock.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use wagtailmoor_core::millis;
use wagtailmoor_derive::scalar;

/// Milliseconds since the start of 1970, UTC.
///
/// Recordings are read on other machines and after restarts, so they need the wall clock.
#[scalar]
#[derive(Default)]
#[serde(transparent)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time that lies before this one by a span, at the earliest 1970.
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
