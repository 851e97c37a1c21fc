//! Simulated table that is down at times and loses requests and results.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_dispatch::{ReadResult, RecordKey, RecordWrite, StoredRecord, WriteResult};

#[derive(Default)]
pub(crate) struct FakeTable {
    rows: BTreeMap<RecordKey, StoredRecord>,
    pub(crate) down: bool,
    pub(crate) faults_ended: bool,
}

/// When a write takes effect and whether its sender receives the result.
pub(crate) enum WriteOutcome {
    /// The write takes effect now and the result arrives.
    Delivered,
    /// The write takes effect now and the result is lost.
    ResultLost,
    /// The write does not take effect and the sender gets no result.
    RequestLost,
    /// The write takes effect after the sender has given up.
    Delayed,
}

impl FakeTable {
    pub(crate) fn draw_write_outcome(&self, random: &mut ChaCha8Rng) -> WriteOutcome {
        match random.random_range(0..100) {
            _ if self.faults_ended => WriteOutcome::Delivered,
            0..50 if self.down => WriteOutcome::RequestLost,
            50..75 if self.down => WriteOutcome::ResultLost,
            _ if self.down => WriteOutcome::Delayed,
            0..2 => WriteOutcome::RequestLost,
            2..6 => WriteOutcome::ResultLost,
            6..8 => WriteOutcome::Delayed,
            _ => WriteOutcome::Delivered,
        }
    }

    pub(crate) fn write(&mut self, rows: &[RecordWrite]) -> WriteResult {
        let version = |key: &RecordKey| self.rows.get(key).map_or(0, |row| row.version.get());
        if let Some(row) = rows.iter().find(|row| version(&row.key) != row.expected.get()) {
            return WriteResult::Conflict { key: row.key.clone() };
        }
        let versions = rows.iter().map(|row| row.expected.next()).collect();
        for row in rows {
            let version = row.expected.next();
            match &row.record {
                Some(record) => {
                    let stored = StoredRecord { version, record: record.clone() };
                    self.rows.insert(row.key.clone(), stored);
                }
                None => {
                    self.rows.remove(&row.key);
                }
            }
        }
        WriteResult::Done { versions }
    }

    pub(crate) fn read(&self, key: &RecordKey) -> ReadResult {
        match self.rows.get(key) {
            _ if self.down => ReadResult::Unavailable,
            Some(row) => ReadResult::Row(row.clone()),
            None => ReadResult::Absent,
        }
    }

    pub(crate) fn row(&self, key: &RecordKey) -> Option<&StoredRecord> {
        self.rows.get(key)
    }
}
