//! In-memory implementation of the transactional table.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::Value;
use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

use crate::Transaction;

/// Rows that one transaction may write.
const MAX_WRITES: usize = 64;

/// Rows that one scan returns at most.
const MAX_SCAN: usize = 1_000;

/// A row of the table.
#[value]
pub struct Row {
    /// Increased by one with every write.
    pub version: RowVersion,
    /// Id of the last write, in the notation of its writer.
    pub write_id: String,
    /// The value as it was written.
    pub value: Value,
}

/// Conflict that made a transaction fail; none of its rows was written.
#[value]
pub struct Conflict {
    /// First row whose version differs from the expected one.
    pub row: String,
    /// Current version of that row; zero if it does not exist.
    pub version: RowVersion,
}

/// An in-memory table with compare-and-set transactions.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    // Last versions of deleted rows, so that a row that is created again does not reuse a version.
    deleted: BTreeMap<String, RowVersion>,
}

impl Table {
    /// Returns a row; `None` if it does not exist.
    pub fn get(&self, row: &str) -> Option<&Row> {
        self.rows.get(row)
    }

    /// Returns rows whose names start with `prefix` and sort after `after`, in order of their names.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<(&str, &Row)> {
        let start = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        let rows = self.rows.range::<str, _>((start, Bound::Unbounded));
        rows.take_while(|(row, _)| row.starts_with(prefix))
            .take(limit.min(MAX_SCAN))
            .map(|(row, content)| (row.as_str(), content))
            .collect()
    }

    /// Applies a transaction and returns the new versions, zero for deleted rows.
    pub fn apply(&mut self, transaction: &Transaction) -> Result<Vec<RowVersion>, Conflict> {
        let conflict = transaction.writes.iter().find_map(|write| {
            let version =
                self.rows.get(&write.row).map_or(RowVersion::default(), |row| row.version);
            (version != write.expected).then(|| Conflict { row: write.row.clone(), version })
        });
        match conflict {
            Some(conflict) => Err(conflict),
            None => Ok(transaction
                .writes
                .iter()
                .map(|write| self.write(&transaction.write_id, &write.row, &write.value))
                .collect()),
        }
    }

    /// Returns whether a transaction writes 1 to `MAX_WRITES` rows and none of them twice.
    pub fn is_valid(transaction: &Transaction) -> bool {
        let mut rows: Vec<_> = transaction.writes.iter().map(|write| &write.row).collect();
        rows.sort_unstable();
        rows.dedup();
        let count = transaction.writes.len();
        (1..=MAX_WRITES).contains(&count) && rows.len() == count
    }

    fn write(&mut self, write_id: &str, row: &str, value: &Value) -> RowVersion {
        let old = self.rows.get(row).map(|row| row.version);
        let last = old.or_else(|| self.deleted.get(row).copied()).unwrap_or_default();
        if value.is_null() {
            self.rows.remove(row);
            self.deleted.insert(row.to_owned(), last);
            return RowVersion::default();
        }
        let version = last.next();
        let content = Row { version, write_id: write_id.to_owned(), value: value.clone() };
        self.rows.insert(row.to_owned(), content);
        version
    }
}
