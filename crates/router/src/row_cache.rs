//! Rows of the store as this node last saw them, to pass on to nodes that cannot reach it.

use std::sync::Arc;

use wagtailmoor_core::{RowVersion, SortedVec};
use wagtailmoor_store::{FeedPage, PackedPage, PackedRow};

/// Rows of one table.
#[derive(Debug, Default)]
struct CachedTable {
    rows: SortedVec<Arc<str>, PackedRow>,
    version: RowVersion,
}

/// Rows of the store as this node last saw them.
#[derive(Debug, Default)]
pub(crate) struct RowCache {
    tables: SortedVec<Arc<str>, CachedTable>,
}

impl RowCache {
    /// Takes rows of a table; returns those that are newer than what is known.
    pub(crate) fn merge(&mut self, table: &str, page: PackedPage) -> Vec<PackedRow> {
        let known = self.tables.get_or_insert_with(table.into(), CachedTable::default);
        known.version = known.version.max(page.version);
        let mut newer = page.rows;
        newer.retain(|row| {
            known.rows.get(&row.key).is_none_or(|cached| cached.version < row.version)
        });
        for row in &newer {
            known.rows.insert(row.key.clone(), row.clone());
        }
        newer
    }

    /// Returns the rows that a full list lacks, as removed.
    pub(crate) fn missing(&self, table: &str, listed: &FeedPage) -> PackedPage {
        let known = self.tables.get(table).into_iter().flat_map(|known| known.rows.values());
        let is_listed = |row: &PackedRow| listed.rows.iter().any(|other| other.key == row.key);
        let rows = known
            .filter(|row| !row.is_removed() && !is_listed(row))
            .map(|row| row.removed_at(listed.version))
            .collect();
        PackedPage { rows, version: listed.version }
    }

    /// Returns the version up to which a table is known.
    pub(crate) fn version(&self, table: &str) -> RowVersion {
        self.tables.get(table).map_or(RowVersion::default(), |known| known.version)
    }

    /// Notes that the rows of a table must be read as a whole.
    pub(crate) fn forget_version(&mut self, table: &str) {
        if let Some(known) = self.tables.get_mut(table) {
            known.version = RowVersion::default();
        }
    }

    /// Returns the rows of a table that changed after a version.
    pub(crate) fn page(&self, table: &str, after: RowVersion) -> PackedPage {
        let Some(known) = self.tables.get(table) else {
            return PackedPage { rows: Vec::new(), version: after };
        };
        let rows = known.rows.values().filter(|row| row.version > after).cloned().collect();
        PackedPage { rows, version: known.version }
    }
}
