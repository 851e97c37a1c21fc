//! Durations that other processes report.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;
use std::time::Duration;

use wagtailmoor_derive::scalar;

use crate::ParseError;

/// A duration that a client, a target or another outside process reported, such as a timeout or a
/// delay.
///
/// It never exceeds [`MAX`](Self::MAX), so that code behind the decoders can add and multiply it
/// without a check: arithmetic on [`Duration`] panics on overflow. A longer one is shortened.
#[scalar]
#[derive(Default)]
#[serde(from = "Duration", into = "Duration")]
pub struct ReportedDuration(Duration);

impl ReportedDuration {
    /// Longest duration, a day. Timeouts and delays on the request path are seconds.
    pub const MAX: Self = Self(Duration::from_secs(24 * 60 * 60));

    /// Creates a duration, shortened to [`MAX`](Self::MAX).
    pub fn new(duration: Duration) -> Self {
        Self(duration.min(Self::MAX.0))
    }

    /// Creates a duration from milliseconds, shortened to [`MAX`](Self::MAX).
    pub fn from_millis(millis: u64) -> Self {
        Self::new(Duration::from_millis(millis))
    }

    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl From<Duration> for ReportedDuration {
    fn from(duration: Duration) -> Self {
        Self::new(duration)
    }
}

impl From<ReportedDuration> for Duration {
    fn from(duration: ReportedDuration) -> Self {
        duration.get()
    }
}

impl Display for ReportedDuration {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}", self.0.as_secs_f64())
    }
}

impl FromStr for ReportedDuration {
    type Err = ParseError;

    /// Parses a number of seconds, with or without a fraction.
    ///
    /// # Errors
    ///
    /// The text is no number, or the number is negative or infinite.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                Ok(Duration::try_from_secs_f64(seconds).map_or(Self::MAX, Self::new))
            }
            _ => Err(ParseError::new("duration", text, "seconds from 0 on")),
        }
    }
}
