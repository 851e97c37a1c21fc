//! Reads of the row.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// When the store last confirmed the row, and whether a read is in flight.
#[derive(Debug, Default)]
pub(crate) struct RowReads {
    sent: Option<Instant>,
    confirmed_at: Option<Instant>,
}

impl RowReads {
    /// Returns whether the store has confirmed the row since the last write that failed or timed
    /// out.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Records the result of a read.
    pub(crate) fn on_read(&mut self, now: Instant) {
        self.sent = None;
        self.confirmed_at = Some(now);
    }

    /// Records a write that succeeded.
    pub(crate) fn on_written(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    /// Records a write that failed or timed out.
    pub(crate) fn on_write_failed(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns whether a read must be sent now, and records it.
    pub(crate) fn start(&mut self, now: Instant, interval: Duration, timeout: Duration) -> bool {
        let is_fresh = self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + interval);
        let is_waiting = self.sent.is_some_and(|sent| now < sent + timeout);
        let is_due = !is_fresh && !is_waiting;
        if is_due {
            self.sent = Some(now);
        }
        is_due
    }
}
