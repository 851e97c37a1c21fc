//! A copy of the store's rows, from which this node answers other nodes.

use std::sync::Arc;

use wagtailmoor_core::{RowVersion, SortedVec};
use wagtailmoor_store::{CompressedPage, CompressedRow, FeedPage};

/// Rows of one table.
#[derive(Debug, Default)]
struct CachedTable {
    rows: SortedVec<Arc<str>, CompressedRow>,
    version: RowVersion,
}

/// The newest rows of the store that this node knows, including removed ones.
#[derive(Debug, Default)]
pub(crate) struct RowCache {
    tables: SortedVec<Arc<str>, CachedTable>,
}

impl RowCache {
    /// Merges rows of a table; returns those that are newer than the cached ones.
    pub(crate) fn merge(&mut self, table: &str, page: CompressedPage) -> Vec<CompressedRow> {
        let cached_table = self.tables.get_or_insert_with(table.into(), CachedTable::default);
        cached_table.version = cached_table.version.max(page.version);
        let mut newer = page.rows;
        newer.retain(|row| {
            cached_table.rows.get(&row.key).is_none_or(|cached| cached.version < row.version)
        });
        for row in &newer {
            cached_table.rows.insert(row.key.clone(), row.clone());
        }
        newer
    }

    /// Returns the cached rows that a full listing does not contain, as removed rows.
    pub(crate) fn missing(&self, table: &str, listed: &FeedPage) -> CompressedPage {
        let cached_rows =
            self.tables.get(table).into_iter().flat_map(|cached_table| cached_table.rows.values());
        let is_listed = |row: &CompressedRow| listed.rows.iter().any(|other| other.key == row.key);
        let rows = cached_rows
            .filter(|row| !row.is_removed() && !is_listed(row))
            .map(|row| row.removed_at(listed.version))
            .collect();
        CompressedPage { rows, version: listed.version }
    }

    /// Returns the version up to which a table is cached; zero if it must be read in full.
    pub(crate) fn version(&self, table: &str) -> RowVersion {
        self.tables.get(table).map_or(RowVersion::default(), |cached_table| cached_table.version)
    }

    /// Resets the version of a table whose rows must be read in full. The rows stay cached.
    pub(crate) fn reset_version(&mut self, table: &str) {
        if let Some(cached_table) = self.tables.get_mut(table) {
            cached_table.version = RowVersion::default();
        }
    }

    /// Returns the rows of a table that changed after a version.
    pub(crate) fn page(&self, table: &str, after: RowVersion) -> CompressedPage {
        let Some(cached_table) = self.tables.get(table) else {
            return CompressedPage { rows: Vec::new(), version: after };
        };
        let rows = cached_table.rows.values().filter(|row| row.version > after).cloned().collect();
        CompressedPage { rows, version: cached_table.version }
    }
}
