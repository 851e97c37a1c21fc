//! Conversion of durations to milliseconds.

use std::time::Duration;

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    // Only durations of millions of years exceed a u64.
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
