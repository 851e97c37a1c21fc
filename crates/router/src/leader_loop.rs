//! Keeps the leader lease of this process up to date.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;
use wagtailmoor_core::{Instant, RowVersion, WriteId};
use wagtailmoor_store::{RowWrite, Table, WriteOutcome, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::leader_lease::{LeaderRow, LeaseAction};
use crate::state::Shared;

/// Name of the row that names the leader.
const LEADER_ROW: &str = "leader/router";

/// Time between looks at the lease.
const TICK: Duration = Duration::from_millis(200);

/// Nodes that find the leader gone wait for a random time up to this before they act.
const START_SPREAD: Duration = Duration::from_millis(250);

/// A leader that was not heard of for this long may be gone.
const LEADER_SILENCE_MAX: Duration = Duration::from_millis(1_100);

/// The same on nodes that are not among the first to become the leader.
const LEADER_SILENCE_LONG: Duration = Duration::from_secs(5);

/// Time after which nodes that are not seeds look for a leader of a site that starts.
const LATE_START: Duration = Duration::from_millis(1_200);

/// Keeps the leader lease of this process up to date until the process ends.
pub(crate) async fn run<T: Table>(shared: Shared, table: Rc<T>) {
    let spread = shared.write().random.random_range(0.0..1.0);
    sleep(START_SPREAD.mul_f64(spread)).await;
    let mut led = false;
    let late = shared.settings.first_start && !shared.read().source.is_candidate();
    if late {
        sleep(LATE_START).await;
    }
    // A stopping node gave the lead up and must not take it again.
    while !shared.read().stopping {
        let now = shared.now();
        let action = {
            let mut state = shared.write();
            let first = state.source.is_candidate();
            let silence_max = if first { LEADER_SILENCE_MAX } else { LEADER_SILENCE_LONG };
            let heard = now.saturating_since(state.leader_heard) < silence_max;
            let answers = heard && !(first && state.lease.is_vacant());
            if state.lease.authority(now).is_some() {
                let nodes = state.issuer.nodes(now);
                state.lease.set_nodes(nodes);
            }
            state.lease.tick(now, answers)
        };
        match action {
            Some(action) => act(&shared, &*table, action).await,
            None => probe(&shared, &*table).await,
        }
        led = note_change(&shared, led);
        sleep(TICK).await;
    }
}

/// Gives the lease up before a planned stop.
pub(crate) async fn resign<T: Table>(shared: &Shared, table: &T) {
    let action = {
        let mut state = shared.write();
        let now = shared.now();
        state.granters.clear();
        state.lease.resign(now)
    };
    if let Some(action) = action {
        act(shared, table, action).await;
        Event::new("leader-resigned").info();
    }
}

/// Finds out whether this node can lead, when the leader cannot renew its lease.
async fn probe<T: Table>(shared: &Shared, table: &T) {
    let wanted = {
        let state = shared.read();
        let leads = state.lease.authority(shared.now()).is_some();
        let first = state.source.is_candidate();
        state.leader_troubled && first && !leads
    };
    if wanted {
        act(shared, table, LeaseAction::Read).await;
    }
}

fn note_change(shared: &Shared, led: bool) -> bool {
    let now = shared.now();
    let mut state = shared.write();
    let authority = state.lease.authority(now);
    match (led, authority) {
        (false, Some(authority)) => {
            let wait_ms = authority.sole_from.saturating_since(now).as_millis();
            Event::new("leader-gained").field("sole_in_ms", wait_ms).info();
            state.stats.count("leader-gained");
            state.leading_since = now;
            let nodes_before = state.lease.nodes();
            state.issuer.start_term(now, nodes_before);
        }
        (true, None) => {
            Event::new("leader-lost").warn();
            state.granters.clear();
        }
        _ => {}
    }
    authority.is_some()
}

async fn act<T: Table>(shared: &Shared, table: &T, action: LeaseAction) {
    match action {
        LeaseAction::Read => {
            let read = table.read(LEADER_ROW).await;
            let now = shared.now();
            let mut state = shared.write();
            match read {
                Ok(row) => {
                    state.store_reached = now;
                    let row = row.and_then(|row| {
                        let version = row.version;
                        Some((serde_json::from_value(row.value).ok()?, version))
                    });
                    state.lease.on_read(now, row);
                    state.assume_nodes(now);
                }
                Err(error) => {
                    state.lease.on_failed();
                    Event::new("leader-read-failed").field("cause", error).debug();
                }
            }
        }
        LeaseAction::Write { row, expected } => write(shared, table, row, expected).await,
    }
}

async fn write<T: Table>(shared: &Shared, table: &T, row: LeaderRow, expected: RowVersion) {
    let write_id = write_id(shared);
    let value = serde_json::to_value(&row).expect("a row can be encoded");
    let write = RowWrite { row: LEADER_ROW.into(), expected, value: Some(value) };
    let outcome = write_and_confirm(table, write_id, &[write]).await;
    let now: Instant = shared.now();
    let mut state = shared.write();
    match outcome {
        WriteOutcome::Done(versions) => {
            state.store_reached = now;
            state.lease.on_written(now, row, versions.first().copied());
        }
        WriteOutcome::Conflict { .. } => {
            state.store_reached = now;
            state.lease.on_written(now, row, None);
        }
        WriteOutcome::Unknown => state.lease.on_failed(),
    }
}

/// Returns a random id for a write.
pub(crate) fn write_id(shared: &Shared) -> WriteId {
    WriteId::new(shared.write().random.random())
}
