//! Spans as numbers.

use std::time::Duration;

/// Returns the whole milliseconds of a span.
pub fn millis(span: Duration) -> u64 {
    // Only spans of millions of years exceed the type.
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
