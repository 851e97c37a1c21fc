//! Interface of the transactional table.

use std::sync::Arc;

use serde_json::Value;
use wagtailmoor_core::{RowVersion, WriteId};

use crate::StoreError;

/// A row read from the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the row.
    pub row: Arc<str>,
    /// Version of the row, increased by every write.
    pub version: RowVersion,
    /// Id of the write that produced this version.
    pub write_id: WriteId,
    /// Content of the row.
    pub value: Value,
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// Name of the row.
    pub row: Arc<str>,
    /// The write fails unless the row has this version; zero if the row must not exist.
    pub expected: RowVersion,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written; holds their new versions in the order of the writes.
    Done(Vec<RowVersion>),
    /// Nothing was written, because a row did not have the expected version.
    Conflict {
        /// Name of the first such row.
        row: Arc<str>,
        /// Its current version.
        version: RowVersion,
    },
    /// The response was lost or invalid; the rows may or may not have been written.
    Unknown,
}

/// A transactional table with conditional writes.
pub trait Table {
    /// Reads a row; `None` if it does not exist.
    fn read(&self, row: &str) -> impl Future<Output = Result<Option<Row>, StoreError>>;

    /// Reads up to `limit` rows whose names start with `prefix` and sort after `after`, in order
    /// of their names.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>>;

    /// Writes all rows in one transaction, or none.
    fn write(&self, write_id: WriteId, writes: &[RowWrite]) -> impl Future<Output = WriteOutcome>;
}

/// Writes rows and, if the response is lost, reads the first row back to determine the outcome.
///
/// All rows of a transaction carry the same write id, so one row confirms the whole transaction.
/// Otherwise the outcome stays unknown: another write may have replaced the row since, or this
/// write may still arrive.
pub async fn write_and_confirm<T: Table>(
    table: &T,
    write_id: WriteId,
    writes: &[RowWrite],
) -> WriteOutcome {
    let Some(first) = writes.first() else { return WriteOutcome::Done(Vec::new()) };
    match table.write(write_id, writes).await {
        WriteOutcome::Unknown => {}
        known => return known,
    }
    match table.read(&first.row).await {
        Ok(Some(row)) if row.write_id == write_id => {
            let versions = writes.iter().map(|write| write.expected.next()).collect();
            WriteOutcome::Done(versions)
        }
        _ => WriteOutcome::Unknown,
    }
}
