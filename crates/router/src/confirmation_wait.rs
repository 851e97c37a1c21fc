//! Waits until the data of this node are confirmed.

use std::time::Duration;

use tokio::time::{sleep, timeout};
use wagtailmoor_core::Instant;
use wagtailmoor_telemetry::Event;

use crate::decision_gate::Confirmation;
use crate::state::{RouterState, Shared};

/// Time between two checks while the data are young.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks while the data are old or soon will be.
const CHECK_INTERVAL_OLD: Duration = Duration::from_millis(20);

/// From this age on the data are checked in short intervals. The store or another node confirms them
/// earlier as long as one can be reached.
const CHECK_AGE: Duration = Duration::from_millis(1_000);

/// A request waits at most this long for a confirmation: until a call of the store that was sent when
/// its wait began has been answered or has failed. Then it is refused, and its client can turn to
/// another node.
const WAIT_MAX: Duration = Duration::from_millis(1_000);

/// The data of this node were not confirmed in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotConfirmed;

/// Waits until the data of this node are confirmed, or no source of them can be reached. Returns which
/// of both lets a request be decided; never [`Confirmation::Pending`].
///
/// # Errors
///
/// Neither has happened at `deadline`, or within `WAIT_MAX`.
pub(crate) async fn wait(shared: &Shared, deadline: Instant) -> Result<Confirmation, NotConfirmed> {
    let deadline = deadline.min(shared.now() + WAIT_MAX);
    loop {
        let confirmed = shared.data_confirmed.notified();
        let now = shared.now();
        let confirmation = shared.read().confirmation(now);
        match confirmation {
            Confirmation::Pending if now >= deadline => return Err(NotConfirmed),
            // Whether the data were confirmed or not, the next turn decides.
            Confirmation::Pending => {
                drop(timeout(deadline.saturating_since(now), confirmed).await);
            }
            Confirmation::Current | Confirmation::Unreachable => return Ok(confirmation),
        }
    }
}

/// Checks whether the process runs on time, and wakes the requests that wait when old data may decide,
/// until the process stops.
pub(crate) async fn watch(shared: Shared) {
    let mut unconfirmed_since = None;
    loop {
        let now = shared.now();
        match (check(&shared, now), unconfirmed_since) {
            (Confirmation::Unreachable, None) => {
                unconfirmed_since = Some(now);
                shared.write().stats.count("data-unconfirmed");
                log_change("data-unconfirmed", &shared.read(), now).warn();
                shared.data_confirmed.notify_waiters();
            }
            (Confirmation::Unreachable, Some(_)) => shared.data_confirmed.notify_waiters(),
            (Confirmation::Current, Some(since)) => {
                unconfirmed_since = None;
                let after_ms = now.saturating_since(since).as_millis();
                let event = log_change("data-confirmed", &shared.read(), now);
                event.field("after_ms", after_ms).info();
            }
            _ => {}
        }
        let is_young = shared.read().replica.age(now) < CHECK_AGE;
        sleep(if is_young { CHECK_INTERVAL } else { CHECK_INTERVAL_OLD }).await;
    }
}

/// Records that the process runs, and lets the feeds call the store at once after it stood still.
fn check(shared: &Shared, now: Instant) -> Confirmation {
    let mut state = shared.write();
    if state.replica.record_check(now) {
        shared.data_needed.notify_waiters();
    }
    state.confirmation(now)
}

fn log_change(name: &str, state: &RouterState, now: Instant) -> Event {
    Event::new(name)
        .field("config_version", state.config_version())
        .field("store_age_ms", state.replica.age(now).as_millis())
        .field("store_failures", state.replica.store_failures())
        .field("peer_failures", state.replica.source().peer_failures())
        .optional("missing_row", state.replica.missing_row())
}
