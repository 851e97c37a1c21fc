//! Requests that wait for a target, and the permits of assigned requests.

use std::rc::Rc;

use tokio::sync::{Notify, oneshot};
use wagtailmoor_core::{Reason, TargetId};
use wagtailmoor_dispatch::InFlight;
use wagtailmoor_front::AssignedTarget;
use wagtailmoor_limits::Permit;

/// Permit for one slot of a target. Dropping it wakes the task that serves waiting requests.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    permit: Option<Permit>,
    capacity: Rc<Notify>,
}

impl SlotPermit {
    pub(crate) fn new(permit: Permit, capacity: &Rc<Notify>) -> Self {
        Self { permit: Some(permit), capacity: Rc::clone(capacity) }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.capacity.notify_one();
    }
}

/// Counts an attempt as in flight at its target until dropped.
pub(crate) type AttemptGuard = InFlight<SlotPermit>;

/// How a wait for a target ended.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    Assigned(Box<AssignedTarget<AttemptGuard>>),
    /// The owner may have a free slot or may have changed, so the request looks it up again.
    RetryLookup,
    Refused(Reason),
}

/// A request that waits for a target.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) tried: Vec<TargetId>,
    pub(crate) sender: oneshot::Sender<WaitOutcome>,
}

impl Waiter {
    /// Ends the wait. If the request is gone, the outcome is dropped and its permit becomes free.
    pub(crate) fn wake(self, outcome: WaitOutcome) {
        drop(self.sender.send(outcome));
    }
}
