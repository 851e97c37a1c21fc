//! What nodes send each other about their copies of the store's tables.

use std::time::Duration;

use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;
use wagtailmoor_store::CompressedPage;

use crate::replica_table::ReplicaTable;

/// The newest rows that a node knows of the tables that decide requests. A node that hears of a row
/// that it lacks knows that its data are not current, whatever age they have.
#[value]
#[derive(Copy, Default)]
pub struct NewestRows {
    /// Newest version of a row of the table of operators.
    pub operators: RowVersion,
    /// Newest version of a row of the table of targets.
    pub targets: RowVersion,
}

/// Versions up to which a node has the tables of the store, and their age.
#[value]
pub struct KnownVersions {
    /// Version of the table of operators.
    pub operators: RowVersion,
    /// Version of the table of targets.
    pub targets: RowVersion,
    /// Version of the table of owners.
    pub ranges: RowVersion,
    /// Age of the calling node's data when it called.
    pub age: Duration,
    /// The newest rows that the calling node knows.
    pub newest: NewestRows,
}

/// Rows that are newer than the caller's versions.
#[value]
pub struct MissingRows {
    /// Rows of the table of operators.
    pub operators: CompressedPage,
    /// Rows of the table of targets.
    pub targets: CompressedPage,
    /// Rows of the table of owners.
    pub ranges: CompressedPage,
    /// Whether the answering node receives changes itself.
    pub can_relay: bool,
    /// Age of the answering node's data.
    pub store_age: Duration,
    /// Whether the answering node's data come from the leader, or from a relay in its place.
    pub designated_origin: bool,
    /// How long the answering node waited for changes before it answered.
    pub waited: Duration,
}

impl NewestRows {
    /// Returns the versions in the order of [`ReplicaTable::DECISIVE`].
    pub fn by_table(self) -> [RowVersion; 2] {
        [self.operators, self.targets]
    }
}

impl KnownVersions {
    /// Returns the version of a table.
    pub fn version(&self, table: ReplicaTable) -> RowVersion {
        match table {
            ReplicaTable::Operators => self.operators,
            ReplicaTable::Targets => self.targets,
            ReplicaTable::Ranges => self.ranges,
        }
    }
}

impl MissingRows {
    /// Returns whether the caller has all rows.
    pub fn is_empty(&self) -> bool {
        [&self.operators, &self.targets, &self.ranges].iter().all(|page| page.is_empty())
    }
}
