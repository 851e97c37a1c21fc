//! Availability of the table.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Number of consecutive failed calls after which the table is considered down. After a single
/// failure the affected row is read while other calls continue.
const FAILURES_TO_BE_DOWN: u32 = 2;

/// Tracks whether the table responds, and when to probe it next if it does not.
#[derive(Debug)]
pub(crate) struct TableHealth {
    probe_interval: Duration,
    failures: u32,
    probe_at: Instant,
}

impl TableHealth {
    pub(crate) fn new(probe_interval: Duration) -> Self {
        Self { probe_interval, failures: 0, probe_at: Instant::default() }
    }

    pub(crate) fn is_down(&self) -> bool {
        self.failures >= FAILURES_TO_BE_DOWN
    }

    pub(crate) fn on_answer(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.probe_at = now + self.probe_interval;
    }

    /// Returns whether a call may be sent: always while the table is up, else once per probe
    /// interval.
    pub(crate) fn may_call(&self, now: Instant) -> bool {
        !self.is_down() || now >= self.probe_at
    }

    /// Records that a call was sent, which postpones the next probe if the table is down.
    pub(crate) fn on_call(&mut self, now: Instant) {
        if self.is_down() {
            self.probe_at = now + self.probe_interval;
        }
    }

    /// Returns when a call that is due at `at` may be sent.
    pub(crate) fn next_call(&self, at: Instant) -> Instant {
        match self.is_down() {
            true => at.max(self.probe_at),
            false => at,
        }
    }
}
