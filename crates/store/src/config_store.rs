//! Storage of the configuration: changes as rows of the table, snapshots as objects.

use std::sync::Arc;

use snafu::Snafu;
use wagtailmoor_configuration::{ChangeRecord, Configuration, MergeOutcome, Propagation, Snapshot};
use wagtailmoor_core::{ConfigVersion, RowVersion, WriteId};

use crate::{ConfirmedOutcome, ObjectStore, RowWrite, StoreError, Table, write_and_confirm};

const ROW_PREFIX: &str = "config/";
const LATEST_SNAPSHOT: &str = "config/snapshot/latest";

/// Rows read by one scan; the table service returns no more.
const PAGE_ROWS: usize = 1_000;

/// Outcome of an attempt to append a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The change is stored.
    Done,
    /// Another change already has this version; nothing was stored.
    Conflict,
    /// The response was lost; the change may or may not be stored.
    Unknown,
}

/// An error when reading the configuration.
#[derive(Clone, Debug, Snafu)]
pub enum ConfigStoreError {
    /// The store did not respond correctly.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The error of the store.
        source: StoreError,
    },
    /// A stored change or snapshot cannot be decoded or applied.
    #[snafu(display("stored configuration is invalid: {cause}"))]
    Invalid {
        /// The row or object, and what is wrong with it.
        cause: String,
    },
}

fn row_name(version: ConfigVersion) -> Arc<str> {
    // The fixed width makes the order of row names equal to the order of versions.
    format!("{ROW_PREFIX}{:020}", version.get()).into()
}

/// Reads the stored changes after a version, oldest first, at most 1,000 of them.
///
/// # Errors
///
/// Fails if the store does not respond correctly or a row does not hold a change.
pub async fn read_changes<T: Table>(
    table: &T,
    after: ConfigVersion,
) -> Result<Vec<ChangeRecord>, ConfigStoreError> {
    let rows = table.scan(ROW_PREFIX, &row_name(after), PAGE_ROWS).await?;
    rows.into_iter()
        .map(|row| {
            serde_json::from_value(row.value).map_err(|error| ConfigStoreError::Invalid {
                cause: format!("row {}: {error}", row.row),
            })
        })
        .collect()
}

/// Stores a change unless another change already has its version.
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
    match write_and_confirm(table, write_id, write).await {
        ConfirmedOutcome::Done(_) => AppendOutcome::Done,
        ConfirmedOutcome::Conflict => AppendOutcome::Conflict,
        ConfirmedOutcome::Unknown => AppendOutcome::Unknown,
    }
}

/// Reads the newest configuration: the latest snapshot if there is one, then all later changes.
///
/// # Errors
///
/// Fails if the store does not respond correctly or the stored data cannot be applied.
pub async fn read_configuration<S: Table + ObjectStore>(
    store: &S,
) -> Result<Propagation, ConfigStoreError> {
    let mut configuration = Propagation::default();
    let snapshot = read_snapshot(store).await?;
    snapshot.map(|snapshot| configuration.merge_snapshot(snapshot));
    loop {
        let records = read_changes(store, configuration.version()).await?;
        match configuration.merge_changes(&records) {
            MergeOutcome::Unchanged => return Ok(configuration),
            MergeOutcome::Advanced(_) => {}
            MergeOutcome::Gap => {
                return Err(ConfigStoreError::Invalid {
                    cause: "a change is missing from the sequence".into(),
                });
            }
            MergeOutcome::Refused(error) => {
                return Err(ConfigStoreError::Invalid { cause: error.to_string() });
            }
        }
    }
}

/// Reads the latest snapshot; `None` if none was written yet.
///
/// # Errors
///
/// Fails if the store does not respond correctly or the object does not hold a snapshot.
pub async fn read_snapshot<S: ObjectStore>(
    store: &S,
) -> Result<Option<Snapshot>, ConfigStoreError> {
    match store.get(LATEST_SNAPSHOT).await? {
        None => Ok(None),
        Some(object) => serde_json::from_slice(&object)
            .map(Some)
            .map_err(|error| ConfigStoreError::Invalid { cause: format!("snapshot: {error}") }),
    }
}

/// Stores a snapshot in place of the previous one.
///
/// When two controllers write at the same time, an older snapshot may replace a newer one. Nothing
/// is lost, because readers apply the later changes from the table.
///
/// # Errors
///
/// Fails if the store does not respond correctly; the snapshot may have been stored.
pub async fn write_snapshot<S: ObjectStore>(
    store: &S,
    configuration: &Configuration,
) -> Result<(), StoreError> {
    let object = serde_json::to_vec(&Snapshot::of(configuration))
        .expect("a snapshot is representable in JSON");
    store.put(LATEST_SNAPSHOT, object.into()).await
}
