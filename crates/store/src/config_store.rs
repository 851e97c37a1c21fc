//! Configuration changes as rows of the table, and snapshots as objects.

use std::sync::Arc;

use snafu::Snafu;
use wagtailmoor_configuration::{ChangeRecord, Configuration, MergeOutcome, Propagation, Snapshot};
use wagtailmoor_core::{ConfigVersion, RowVersion, WriteId};

use crate::{ObjectStore, RowWrite, StoreError, Table, WriteOutcome, write_and_confirm};

const ROW_PREFIX: &str = "config/";
const LATEST_SNAPSHOT: &str = "config/snapshot/latest";

/// Changes read at a time; the table returns at most this many rows.
const PAGE_ROWS: usize = 1_000;

/// What became of a change that was offered to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The change is stored.
    Done,
    /// Another change took this version first; nothing was stored.
    Taken,
    /// The change is stored or it is not.
    Unknown,
}

/// Why the configuration cannot be read.
#[derive(Clone, Debug, Snafu)]
pub enum ConfigStoreError {
    /// The store gave no answer.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The reason.
        source: StoreError,
    },
    /// A stored change cannot be understood or applied.
    #[snafu(display("stored configuration: {cause}"))]
    Stored {
        /// The reason.
        cause: String,
    },
}

fn row_name(version: ConfigVersion) -> Arc<str> {
    // Fixed width, so that the order of names is the order of versions.
    format!("{ROW_PREFIX}{:020}", version.get()).into()
}

/// Reads the stored changes after a version, oldest first, up to one page.
///
/// # Errors
///
/// The store gave no answer, or a row is not a change.
pub async fn read_changes<T: Table>(
    table: &T,
    after: ConfigVersion,
) -> Result<Vec<ChangeRecord>, ConfigStoreError> {
    let rows = table.scan(ROW_PREFIX, &row_name(after), PAGE_ROWS).await?;
    rows.into_iter()
        .map(|row| {
            serde_json::from_value(row.value).map_err(|error| ConfigStoreError::Stored {
                cause: format!("row {}: {error}", row.row),
            })
        })
        .collect()
}

/// Stores a change if no other change has its version.
pub async fn append_change<T: Table>(
    table: &T,
    write_id: WriteId,
    record: &ChangeRecord,
) -> AppendOutcome {
    let value = serde_json::to_value(record).expect("a change is representable in JSON");
    let write = RowWrite {
        row: row_name(record.version),
        expected: RowVersion::new(0),
        value: Some(value),
    };
    match write_and_confirm(table, write_id, &[write]).await {
        WriteOutcome::Done(_) => AppendOutcome::Done,
        WriteOutcome::Conflict { .. } => AppendOutcome::Taken,
        WriteOutcome::Unknown => AppendOutcome::Unknown,
    }
}

/// Reads the newest configuration: the latest snapshot if there is one, then all later changes.
///
/// # Errors
///
/// The store gave no answer, or what it holds cannot be applied.
pub async fn read_configuration<S: Table + ObjectStore>(
    store: &S,
) -> Result<Propagation, ConfigStoreError> {
    let mut held = Propagation::default();
    let snapshot = read_snapshot(store).await?;
    snapshot.map(|snapshot| held.merge_snapshot(snapshot));
    loop {
        let records = read_changes(store, held.version()).await?;
        match held.merge_changes(&records) {
            MergeOutcome::Unchanged => return Ok(held),
            MergeOutcome::Advanced(_) => {}
            MergeOutcome::Gap => {
                return Err(ConfigStoreError::Stored { cause: "a change is missing".into() });
            }
            MergeOutcome::Refused(error) => {
                return Err(ConfigStoreError::Stored { cause: error.to_string() });
            }
        }
    }
}

/// Reads the latest snapshot.
///
/// # Errors
///
/// The store gave no answer, or the object is not a snapshot.
pub async fn read_snapshot<S: ObjectStore>(
    store: &S,
) -> Result<Option<Snapshot>, ConfigStoreError> {
    match store.get(LATEST_SNAPSHOT).await? {
        None => Ok(None),
        Some(object) => serde_json::from_slice(&object)
            .map(Some)
            .map_err(|error| ConfigStoreError::Stored { cause: format!("snapshot: {error}") }),
    }
}

/// Stores a snapshot.
///
/// An older one may replace a newer one when two controllers race; readers apply the later
/// changes from the table, so nothing is lost.
///
/// # Errors
///
/// The store gave no answer.
pub async fn write_snapshot<S: ObjectStore>(
    store: &S,
    configuration: &Configuration,
) -> Result<(), StoreError> {
    let object = serde_json::to_vec(&Snapshot::of(configuration))
        .expect("a snapshot is representable in JSON");
    store.put(LATEST_SNAPSHOT, object.into()).await
}
