//! Cap on the number of operations per second.

use wagtailmoor_core::{Instant, RequestsPerSecond};

/// Counts operations in windows of one second.
#[derive(Default)]
pub(crate) struct RateCap {
    window: u64,
    used: u32,
}

impl RateCap {
    /// Counts one more operation and returns whether it is within the cap; zero means no cap.
    pub(crate) fn admit(&mut self, now: Instant, cap: RequestsPerSecond) -> bool {
        let window = now.as_us() / 1_000_000;
        if window != self.window {
            *self = Self { window, used: 0 };
        }
        self.used += 1;
        cap.get() == 0 || self.used <= cap.get()
    }
}
