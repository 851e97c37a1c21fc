//! One attempt to run a request at a target.

use std::time::Duration;

use wagtailmoor_core::{Instant, TargetId};
use wagtailmoor_derive::scalar;

use crate::AttemptId;

/// Progress of an attempt.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// No target has been chosen yet.
    Queued,
    /// A target has been chosen, but no bytes have been sent to it.
    Assigned,
    /// Bytes have been sent, so the target may run the request.
    BytesSent,
    /// The response head arrived.
    HeadReceived,
    /// The attempt is over.
    Done,
}

/// One attempt to run a request at a target.
#[derive(Debug)]
pub(crate) struct Attempt<G> {
    pub(crate) id: AttemptId,
    pub(crate) state: AttemptState,
    pub(crate) target: Option<TargetId>,
    pub(crate) assigned_at: Instant,
    pub(crate) send_before: Option<Instant>,
    guard: Option<G>,
}

impl<G> Attempt<G> {
    pub(crate) fn queued(id: AttemptId) -> Self {
        Self {
            id,
            state: AttemptState::Queued,
            target: None,
            assigned_at: Instant::default(),
            send_before: None,
            guard: None,
        }
    }

    pub(crate) fn assign(
        &mut self,
        now: Instant,
        target: TargetId,
        guard: G,
        send_before: Option<Instant>,
    ) {
        self.state = AttemptState::Assigned;
        self.target = Some(target);
        self.guard = Some(guard);
        self.assigned_at = now;
        self.send_before = send_before;
    }

    pub(crate) fn is_live(&self) -> bool {
        self.state != AttemptState::Done
    }

    /// Returns whether the target may have run at least a part of the request.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::BytesSent | AttemptState::HeadReceived)
    }

    pub(crate) fn may_send(&self, now: Instant) -> bool {
        self.send_before.is_none_or(|end| now < end)
    }

    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_since(self.assigned_at)
    }

    /// Ends the attempt and releases its guard.
    pub(crate) fn end(&mut self) {
        self.state = AttemptState::Done;
        self.guard = None;
    }
}
