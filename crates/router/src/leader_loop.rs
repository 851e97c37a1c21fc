//! Executes the operations of the leader lease on the store.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::{Generation, Instant, RowVersion, WriteId};
use wagtailmoor_store::{ConfirmedOutcome, RowWrite, Table, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::leader_lease::{LeaderRow, LeaseAction};
use crate::state::Shared;

/// Name of the leader's row.
const LEADER_ROW: &str = "leader/router";

/// Interval at which the lease is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Shorter delays of the event loop are not logged. A change passes three nodes within two seconds, so
/// delays of this length matter.
const LOGGED_DELAY_MIN: Duration = Duration::from_millis(250);

/// Upper bound of the random delay before the first check, so that nodes that start at once do not
/// all claim the lease at the same time.
const START_JITTER_MAX: Duration = Duration::from_millis(250);

/// Nodes that are no candidates treat the leader as failed after this long without contact.
const LEADER_TIMEOUT_NON_CANDIDATE: Duration = Duration::from_secs(5);

/// Nodes that are no candidates wait this long at the first start of a site, so that the candidates
/// claim the lease first and the others learn of the leader from them without a read of the store.
const NON_CANDIDATE_START_DELAY: Duration = Duration::from_millis(2_500);

/// Keeps the leader lease of this process up to date until the process stops.
pub(crate) async fn run<T: Table>(shared: Shared, table: Rc<T>) {
    let jitter = shared.write().random.random_range(0.0..1.0);
    sleep(START_JITTER_MAX.mul_f64(jitter)).await;
    let mut term = None;
    let delayed = shared.settings.first_start && !shared.read().replica.source().is_candidate();
    if delayed {
        sleep(NON_CANDIDATE_START_DELAY).await;
    }
    // A stopping node resigned and must not claim the lease again.
    while !shared.read().is_stopping() {
        let now = shared.now();
        let action = {
            let mut state = shared.write();
            let candidate = state.replica.source().is_candidate();
            let timeout = match candidate {
                true => ReportTiming::LEADER_TIMEOUT,
                false => LEADER_TIMEOUT_NON_CANDIDATE,
            };
            let in_contact = now.saturating_since(state.leader_last_contact) < timeout;
            let leader_answers = in_contact && !(candidate && state.lease.is_vacant());
            if state.lease.authority(now).is_some() {
                let nodes = state.issuer.nodes(now);
                state.lease.set_nodes(nodes);
            }
            state.lease.tick(now, leader_answers)
        };
        match action {
            Some(action) => execute(&shared, &*table, action).await,
            None => probe(&shared, &*table).await,
        }
        term = update_leadership(&shared, term);
        let due = shared.now() + TICK_INTERVAL;
        sleep(TICK_INTERVAL).await;
        log_delay(&shared, due);
    }
}

/// Logs that the event loop reached a timer late, because the process was busy or stood still.
fn log_delay(shared: &Shared, due: Instant) {
    let delay = shared.now().saturating_since(due);
    if delay >= LOGGED_DELAY_MIN {
        shared.write().stats.count("loop-delayed");
        Event::new("loop-delayed").field("delay_ms", delay.as_millis()).warn();
    }
}

/// Resigns before a graceful shutdown, if this process leads.
pub(crate) async fn resign<T: Table>(shared: &Shared, table: &T) {
    let action = {
        let mut state = shared.write();
        let now = shared.now();
        state.granters.clear();
        state.lease.resign(now)
    };
    if let Some(action) = action {
        execute(shared, table, action).await;
        Event::new("leader-resigned").info();
    }
}

/// Reads the row while the leader cannot renew its lease, to find out whether this node reaches the
/// store and could lead.
async fn probe<T: Table>(shared: &Shared, table: &T) {
    let needed = {
        let state = shared.read();
        let leads = state.lease.authority(shared.now()).is_some();
        let candidate = state.replica.source().is_candidate();
        state.leader_renewal_overdue && candidate && !leads
    };
    if needed {
        execute(shared, table, LeaseAction::Read).await;
    }
}

/// Handles the start and the end of a term of this process as the leader. `before` is the term at
/// the last call; returns the current one.
fn update_leadership(shared: &Shared, before: Option<Generation>) -> Option<Generation> {
    let now = shared.now();
    let mut state = shared.write();
    let current = state.lease.term(now);
    if before.is_some() && before != current && before == state.lease.continued() {
        // The granters go on, and store the owners again.
        Event::new("leader-continued").field("era", state.lease.era()).info();
        shared.assigner_due.notify_one();
        return current;
    }
    if before.is_some() && before != current {
        Event::new("leader-lost").warn();
        state.granters.clear();
        state.room_allocator.clear();
        state.admission.clear();
    }
    match state.lease.authority(now) {
        Some(authority) if before != current => {
            let sole_in_ms = authority.sole_from.saturating_since(now).as_millis();
            Event::new("leader-gained").field("sole_in_ms", sole_in_ms).info();
            state.stats.count("leader-gained");
            state.leading_since = now;
            let nodes_before = state.lease.nodes();
            state.issuer.start_term(now, nodes_before);
        }
        _ => {}
    }
    current
}

async fn execute<T: Table>(shared: &Shared, table: &T, action: LeaseAction) {
    match action {
        LeaseAction::Read => {
            let read = table.read(LEADER_ROW).await;
            let now = shared.now();
            let mut state = shared.write();
            match read {
                Ok(row) => {
                    state.store_last_contact = now;
                    state.observe_era(now, table.era());
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
    let value = serde_json::to_value(&row).expect("the leader row is representable in JSON");
    let write = RowWrite { row: LEADER_ROW.into(), expected, value: Some(value) };
    let outcome = write_and_confirm(table, write_id, write).await;
    let now: Instant = shared.now();
    let mut state = shared.write();
    state.observe_era(now, table.era());
    match outcome {
        ConfirmedOutcome::Done(version) => {
            state.store_last_contact = now;
            state.lease.on_written(now, row, Some(version));
        }
        ConfirmedOutcome::Conflict => {
            state.store_last_contact = now;
            state.lease.on_written(now, row, None);
        }
        ConfirmedOutcome::Unknown => state.lease.on_failed(),
    }
}

pub(crate) fn write_id(shared: &Shared) -> WriteId {
    WriteId::new(shared.write().random.random())
}
