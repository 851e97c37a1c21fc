//! Interface of the transactional table.

use std::sync::Arc;

use serde_json::Value;
use wagtailmoor_core::{RowVersion, StoreEra, WriteId};

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

/// Outcome of a write of one row that was read back if its response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmedOutcome {
    /// The row was written and got this version.
    Done(RowVersion),
    /// Nothing was written, because the row did not have the expected version.
    Conflict,
    /// The row may or may not have been written, or may still be.
    Unknown,
}

/// A transactional table with conditional writes.
pub trait Table {
    /// Returns the highest era of the store that any of its answers stated. The versions of rows
    /// contain the era too; this one is also known if a row does not exist.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

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

/// Writes a row and, if the response is lost, reads the row back to determine the outcome.
///
/// The outcome stays unknown if the row read back is not the one written: another write may have
/// replaced it since, or this write may still arrive.
pub async fn write_and_confirm<T: Table>(
    table: &T,
    write_id: WriteId,
    write: RowWrite,
) -> ConfirmedOutcome {
    let writes = [write];
    match table.write(write_id, &writes).await {
        WriteOutcome::Done(versions) => match versions.first() {
            Some(version) => ConfirmedOutcome::Done(*version),
            None => ConfirmedOutcome::Unknown,
        },
        WriteOutcome::Conflict { .. } => ConfirmedOutcome::Conflict,
        WriteOutcome::Unknown => match table.read(&writes[0].row).await {
            // The version does not follow from the expected one: a store may number the versions
            // of all rows with one counter.
            Ok(Some(row)) if row.write_id == write_id => ConfirmedOutcome::Done(row.version),
            _ => ConfirmedOutcome::Unknown,
        },
    }
}
