//! Attempt records in the store.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;
use wagtailmoor_dispatch::{
    AttemptRecord, CallId, ReadResult, RecordKey, RecordOutput, RecordWrite, StoredRecord,
    WriteResult,
};
use wagtailmoor_store::{Row, RowWrite, Table, WriteOutcome};
use wagtailmoor_telemetry::Event;

use crate::entry::Shared;

/// Maximum time between two ticks of the record keeper.
const POLL_INTERVAL_MAX: Duration = Duration::from_millis(250);

/// Ticks the record keeper and executes its outputs.
pub(crate) async fn run(entry: Shared) {
    loop {
        let now = entry.now();
        let (outputs, next) = {
            let mut state = entry.state();
            (state.records.tick(now), state.records.next_timer())
        };
        execute(&entry, outputs);
        let wait = next
            .map_or(POLL_INTERVAL_MAX, |next| next.saturating_since(now))
            .min(POLL_INTERVAL_MAX);
        // Prevents a busy loop while a timer is due that the keeper cannot serve yet.
        let wait = wait.max(Duration::from_millis(1));
        drop(timeout(wait, entry.signals.records.notified()).await);
    }
}

/// Executes outputs of the record keeper and wakes the task that ticks it.
///
/// The task is woken even without outputs, because the keeper's next timer may have changed.
/// Otherwise a claim that arrived right after a write was processed only after it had timed out.
pub(crate) fn execute_and_wake(entry: &Shared, outputs: Vec<RecordOutput>) {
    execute(entry, outputs);
    entry.signals.records.notify_one();
}

fn execute(entry: &Shared, outputs: Vec<RecordOutput>) {
    for output in outputs {
        match output {
            RecordOutput::Write { call, write_id, rows } => {
                spawn_local(write(entry.clone(), call, write_id, rows));
            }
            RecordOutput::Read { call, key } => {
                spawn_local(read(entry.clone(), call, key));
            }
            RecordOutput::Claimed { claim, .. } => {
                let waiting = entry.state().pending_claims.remove(&claim);
                waiting.into_iter().for_each(|waiting| drop(waiting.send(Ok(()))));
            }
            RecordOutput::Refused { claim, refusal } => {
                let waiting = entry.state().pending_claims.remove(&claim);
                waiting.into_iter().for_each(|waiting| drop(waiting.send(Err(refusal.clone()))));
            }
        }
    }
}

fn row_name(key: &RecordKey) -> String {
    format!("attempt/{key}")
}

fn row_write(write: &RecordWrite) -> RowWrite {
    let value = |record: &AttemptRecord| {
        serde_json::to_value(record).expect("a record is representable in JSON")
    };
    RowWrite {
        row: row_name(&write.key).into(),
        expected: write.expected,
        value: write.record.as_ref().map(value),
    }
}

async fn write(
    entry: Shared,
    call: CallId,
    write_id: wagtailmoor_core::WriteId,
    rows: Vec<RecordWrite>,
) {
    let writes: Vec<RowWrite> = rows.iter().map(row_write).collect();
    let result = match entry.platform.write(write_id, &writes).await {
        WriteOutcome::Done(versions) => WriteResult::Done { versions },
        WriteOutcome::Conflict { row, .. } => {
            let key = rows.into_iter().map(|row| row.key).find(|key| *row_name(key) == *row);
            key.map_or(WriteResult::Unknown, |key| WriteResult::Conflict { key })
        }
        WriteOutcome::Unknown => WriteResult::Unknown,
    };
    let outputs = entry.state().records.on_write(entry.now(), call, result);
    execute_and_wake(&entry, outputs);
}

async fn read(entry: Shared, call: CallId, key: RecordKey) {
    let result = match entry.platform.read(&row_name(&key)).await {
        Ok(None) => ReadResult::Absent,
        Ok(Some(row)) => stored(row),
        Err(_) => ReadResult::Unavailable,
    };
    let outputs = entry.state().records.on_read(entry.now(), call, result);
    execute_and_wake(&entry, outputs);
}

fn stored(row: Row) -> ReadResult {
    match serde_json::from_value(row.value) {
        Ok(record) => ReadResult::Row(StoredRecord { version: row.version, record }),
        Err(error) => {
            Event::new("attempt-record-invalid")
                .field("row", row.row)
                .field("error", error)
                .error();
            ReadResult::Unavailable
        }
    }
}
