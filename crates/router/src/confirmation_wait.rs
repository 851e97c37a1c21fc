//! Waits until the data of this node are confirmed.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_core::Instant;
use wagtailmoor_telemetry::Event;

use crate::decision_gate::Confirmation;
use crate::state::Shared;

/// Longest time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The deadline of a request passed while its node's data were not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotConfirmed;

/// Waits until the data of this node are confirmed, or no source of them can be reached. Returns which
/// of both lets a request be decided; never [`Confirmation::Pending`].
///
/// # Errors
///
/// `deadline` has passed before.
pub(crate) async fn wait(shared: &Shared, deadline: Instant) -> Result<Confirmation, NotConfirmed> {
    loop {
        let confirmed = shared.data_confirmed.notified();
        let now = shared.now();
        let confirmation = shared.write().confirmation(now);
        if confirmation != Confirmation::Pending {
            return Ok(confirmation);
        }
        if now >= deadline {
            return Err(NotConfirmed);
        }
        match Checker::claim(shared) {
            Some(checker) => checker.run(deadline).await,
            // Whether the data were confirmed or not, the next turn decides.
            None => drop(timeout(deadline.saturating_since(now), confirmed).await),
        }
    }
}

/// The one request of this node that checks the data while others wait too. With a timer for each of
/// thousands of requests, the event loop would have no time for the confirmation.
struct Checker {
    shared: Shared,
}

impl Checker {
    fn claim(shared: &Shared) -> Option<Self> {
        let claimed = std::mem::replace(&mut shared.write().data_checked, true);
        (!claimed).then(|| Self { shared: Rc::clone(shared) })
    }

    /// Checks the data until they are confirmed, no source of them can be reached, or `deadline` has
    /// passed.
    async fn run(self, deadline: Instant) {
        loop {
            let confirmed = self.shared.data_confirmed.notified();
            let now = self.shared.now();
            let pending = self.shared.write().confirmation(now) == Confirmation::Pending;
            if !pending || now >= deadline || self.record_check(now) {
                return;
            }
            drop(timeout(CHECK_INTERVAL, confirmed).await);
        }
    }

    /// Records a check. Returns whether the requests of this node are decided by old data from now on.
    fn record_check(&self, now: Instant) -> bool {
        let mut state = self.shared.write();
        let in_vain = state.replica.record_check(now);
        if in_vain {
            state.stats.count("data-unconfirmed");
            Event::new("data-unconfirmed")
                .field("store_age_ms", state.replica.age(now).as_millis())
                .field("peer_failures", state.replica.source().peer_failures())
                .warn();
        }
        in_vain
    }
}

impl Drop for Checker {
    /// Wakes the other requests. One of them goes on with the checks if the data are still pending.
    fn drop(&mut self) {
        self.shared.write().data_checked = false;
        self.shared.data_confirmed.notify_waiters();
    }
}
