//! Freshness of the configuration.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// The latest instant at which this node's configuration was known to be the newest in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
}

impl Freshness {
    /// Records that a read of the store sent at `sent_at` returned no newer version.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Merges the age that a peer reported in reply to a message sent at `sent_at`.
    pub fn merge(&mut self, sent_at: Instant, age: Duration) {
        self.confirm(sent_at - age);
    }

    /// Returns the time since the last confirmation, or `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_since(at))
    }
}
