//! A copy of the store's rows, from which this node answers other nodes.

use std::sync::Arc;

use wagtailmoor_core::{Instant, RowVersion, SortedVec, StoreEra};
use wagtailmoor_store::{CompressedPage, CompressedRow, FeedPage};

use crate::restored_rows::RestoredRows;

/// Rows of one table.
#[derive(Debug, Default)]
struct CachedTable {
    rows: SortedVec<Arc<str>, CompressedRow>,
    version: RowVersion,
    /// Newest era of any merged page.
    era: StoreEra,
    restored: RestoredRows,
}

/// The newest rows of the store that this node knows, including removed ones.
#[derive(Debug, Default)]
pub(crate) struct RowCache {
    tables: SortedVec<Arc<str>, CachedTable>,
}

impl RowCache {
    /// Merges rows of a table; returns those that are newer than the cached ones and may take effect
    /// now. Rows that went back with the store are returned by [`RowCache::take_due`] later.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        table: &str,
        page: CompressedPage,
    ) -> Vec<CompressedRow> {
        let cached_table = self.tables.get_or_insert_with(table.into(), CachedTable::default);
        cached_table.version = cached_table.version.max(page.version);
        let mut newer = page.rows;
        newer.retain(|row| {
            cached_table.rows.get(&row.key).is_none_or(|cached| cached.version < row.version)
        });
        if page.version.era() > cached_table.era {
            cached_table.era = page.version.era();
            cached_table.restored.start(now, page.version);
        }
        newer.retain(|row| {
            let known = cached_table.rows.insert(row.key.clone(), row.clone());
            cached_table.restored.admit(now, row, known.map(|known| known.version))
        });
        newer
    }

    /// Returns the rows of a table that went back with the store and were not written again in time,
    /// once after a restore. Rows of a former era are missing in the restored store.
    pub(crate) fn take_due(&mut self, now: Instant, table: &str) -> Vec<CompressedRow> {
        let Some(cached_table) = self.tables.get_mut(table) else { return Vec::new() };
        let Some(mut due) = cached_table.restored.take_due(now) else { return Vec::new() };
        let (era, version) = (cached_table.era, cached_table.version);
        let is_missing = |row: &&mut CompressedRow| !row.is_removed() && row.version.era() < era;
        for row in cached_table.rows.values_mut().filter(is_missing) {
            *row = row.removed_at(version);
            due.push(row.clone());
        }
        due
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
        if cached_table.version <= after {
            return CompressedPage { rows: Vec::new(), version: cached_table.version };
        }
        let rows = cached_table.rows.values().filter(|row| row.version > after).cloned().collect();
        CompressedPage { rows, version: cached_table.version }
    }
}
