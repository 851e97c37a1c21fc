//! Waits until the data of this node are confirmed.

use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_telemetry::Event;

use crate::decision_gate::Confirmation;
use crate::state::Shared;

/// A request waits for a confirmation in steps of this length. Each step takes a turn of the event
/// loop at least, so a process that was busy or stood still handles its answers in between.
const STEP: Duration = Duration::from_millis(20);

/// Steps in which a source that can be reached confirms the data: a node starts to call the store
/// within 100 ms, and the store answers within milliseconds.
const STEPS_MAX: u32 = 15;

/// Waits until the data of this node are confirmed, or no source of them can be reached.
pub(crate) async fn wait(shared: &Shared) {
    let mut steps = 0;
    loop {
        let confirmed = shared.data_confirmed.notified();
        let now = shared.now();
        if shared.write().confirmation(now) != Confirmation::Pending {
            return;
        }
        if steps == STEPS_MAX {
            record_unconfirmed(shared);
            return;
        }
        if timeout(STEP, confirmed).await.is_err() {
            steps += 1;
        }
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
