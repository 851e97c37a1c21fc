//! Counts events within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::Instant;

/// Events within this time are counted together, and leave the window together with the last one.
const SLOT: Duration = Duration::from_millis(50);

/// Counts events within a sliding window. An event may count for up to 50 ms longer, never for
/// less time.
#[derive(Clone, Debug, Default)]
pub(crate) struct WindowCount {
    /// End and number of events of each slot.
    slots: VecDeque<(Instant, u32)>,
    total: u32,
}

impl WindowCount {
    /// Counts an event.
    pub(crate) fn add(&mut self, now: Instant) {
        match self.slots.back_mut() {
            Some((end, count)) if now < *end => *count += 1,
            _ => self.slots.push_back((now + SLOT, 1)),
        }
        self.total += 1;
    }

    /// Drops the events that have left the window, and returns their number.
    pub(crate) fn expire(&mut self, now: Instant, window: Duration) -> u32 {
        let mut expired = 0;
        while let Some((_, count)) = self.slots.pop_front_if(|(end, _)| *end + window <= now) {
            expired += count;
        }
        self.total -= expired;
        expired
    }

    /// Returns the number of events in the window.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }
}
