//! Waits until the data of this node are confirmed.

use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_core::Instant;
use wagtailmoor_telemetry::Event;

use crate::decision_gate::Confirmation;
use crate::state::Shared;

/// Longest time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A source that can be reached confirms the data within this time: a node starts to call the store
/// within 100 ms, repeats a failed call at once, and the store answers within milliseconds.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// Checks before the data count as unconfirmed. Each takes a turn of the event loop at least, so a
/// process that was busy or stood still handles its answers in between.
const CHECKS_MIN: u32 = 15;

/// The deadline of a request passed while its node's data were not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotConfirmed;

/// Waits until the data of this node are confirmed, or no source of them can be reached.
///
/// # Errors
///
/// `deadline` has passed before.
pub(crate) async fn wait(shared: &Shared, deadline: Instant) -> Result<(), NotConfirmed> {
    let started = shared.now();
    let mut checks = 0;
    loop {
        let confirmed = shared.data_confirmed.notified();
        let now = shared.now();
        if shared.write().confirmation(now) != Confirmation::Pending {
            return Ok(());
        }
        if checks >= CHECKS_MIN && now >= started + CONFIRMATION_TIME {
            record_unconfirmed(shared);
            return Ok(());
        }
        if now >= deadline {
            return Err(NotConfirmed);
        }
        checks += 1;
        // Whether the data were confirmed or not, the next check decides.
        drop(timeout(CHECK_INTERVAL, confirmed).await);
    }
}

/// Lets the requests of this node be decided by old data while its sources keep failing.
fn record_unconfirmed(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.write();
    state.decision_gate.record_unconfirmed(now);
    state.stats.count("data-unconfirmed");
    Event::new("data-unconfirmed")
        .field("store_age_ms", state.source.age(now).as_millis())
        .field("peer_failures", state.source.peer_failures())
        .warn();
    drop(state);
    shared.data_confirmed.notify_waiters();
}
