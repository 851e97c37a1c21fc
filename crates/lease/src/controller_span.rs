//! The uninterrupted time for which a node has been controller.

use wagtailmoor_core::Instant;

use crate::Authority;

/// The uninterrupted time for which this node has been controller.
#[derive(Debug)]
pub(crate) struct ControllerSpan {
    since: Option<Instant>,
    until: Instant,
}

impl ControllerSpan {
    pub(crate) fn new(now: Instant) -> Self {
        Self { since: None, until: now }
    }

    /// Returns the start, or `None` if this node is not controller.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Records the authority at present.
    pub(crate) fn update(&mut self, now: Instant, authority: Authority) {
        if now >= self.until {
            self.since = None;
        }
        match authority {
            Authority::Controller { until, .. } => {
                self.since.get_or_insert(now);
                self.until = until;
            }
            _ => self.since = None,
        }
    }
}
