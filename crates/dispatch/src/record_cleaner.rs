//! Deletion of expired attempt records.

use wagtailmoor_core::RowVersion;

use crate::{RecordKey, RecordSettings, RecordWrite, StoredRecord, TimeBucket};

/// Rows in one page of a sweep, which is the table's limit for one read.
const PAGE_ROWS: usize = 1000;

/// Table call that the cleaner asks of the I/O code, one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CleanOutput {
    /// Read a page of records in key order.
    ReadPage {
        /// Key after which the page begins, or `None` for the first page.
        after: Option<RecordKey>,
        /// Maximum number of rows.
        limit: usize,
    },
    /// Delete records in one transaction.
    Delete {
        /// The rows to delete, each with `record` set to `None`.
        rows: Vec<RecordWrite>,
    },
}

/// Deletes attempt records older than the retention time.
///
/// One node sweeps all records once per time bucket, reading a page of rows at a time. A sweep
/// costs one read per 1000 records and one write per 64 expired ones.
#[derive(Debug)]
pub struct RecordCleaner {
    rows_max: usize,
    retention_buckets: u32,
    swept: Option<TimeBucket>,
    sweeping: Option<TimeBucket>,
    after: Option<RecordKey>,
    last_page: bool,
    old: Vec<(RecordKey, RowVersion)>,
}

impl RecordCleaner {
    /// Creates a cleaner that starts its first sweep with the next call of `next`.
    pub fn new(settings: &RecordSettings) -> Self {
        Self {
            rows_max: settings.rows_max.max(1),
            retention_buckets: settings.retention_buckets,
            swept: None,
            sweeping: None,
            after: None,
            last_page: false,
            old: Vec::new(),
        }
    }

    /// Returns the next call of the sweep, or `None` if the sweep of this time bucket is complete.
    ///
    /// Call this again after each result, or later to repeat a failed call.
    pub fn next(&mut self, bucket: TimeBucket) -> Option<CleanOutput> {
        if self.sweeping.is_none() && self.swept.is_none_or(|last| last < bucket) {
            self.sweeping = Some(bucket);
            self.after = None;
            self.last_page = false;
        }
        let sweeping = self.sweeping?;
        if !self.old.is_empty() {
            let count = self.old.len().min(self.rows_max);
            let row = |(key, version): &(RecordKey, RowVersion)| RecordWrite {
                key: key.clone(),
                expected: *version,
                record: None,
            };
            return Some(CleanOutput::Delete { rows: self.old[..count].iter().map(row).collect() });
        }
        if self.last_page {
            self.swept = Some(sweeping);
            self.sweeping = None;
            return None;
        }
        Some(CleanOutput::ReadPage { after: self.after.clone(), limit: PAGE_ROWS })
    }

    /// Handles a page of records.
    pub fn on_page(&mut self, page: Vec<(RecordKey, StoredRecord)>) {
        let Some(sweeping) = self.sweeping else { return };
        self.last_page = page.len() < PAGE_ROWS;
        self.after = page.last().map(|(key, _)| key.clone()).or(self.after.take());
        let keep = self.retention_buckets;
        let old = page
            .into_iter()
            .filter(|(_, stored)| stored.record.bucket.get().saturating_add(keep) < sweeping.get());
        self.old.extend(old.map(|(key, stored)| (key, stored.version)));
    }

    /// Handles the result of a deletion. The error is the key of a row with another version.
    ///
    /// A row with another version was changed after it was read and is left to the next sweep. A
    /// deletion with an unknown result is repeated; rows that it deleted are then reported as
    /// conflicts.
    pub fn on_delete(&mut self, result: Result<(), RecordKey>) {
        match result {
            Ok(()) => {
                self.old.drain(..self.old.len().min(self.rows_max));
            }
            Err(changed) => self.old.retain(|(key, _)| *key != changed),
        }
    }
}
