//! A copy of the store's rows, from which this node answers other nodes.

use std::sync::Arc;

use wagtailmoor_core::{Instant, RowVersion, SortedVec, StoreEra};
use wagtailmoor_store::{CompressedPage, CompressedRow, VersionGap};

use crate::restored_rows::RestoredRows;

/// Rows of one table.
#[derive(Debug, Default)]
struct CachedTable {
    rows: SortedVec<Arc<str>, CompressedRow>,
    version: RowVersion,
    /// Newest version of any row.
    newest_row: RowVersion,
    /// Version of the listing with which this cache began. Rows removed before are unknown.
    complete_from: RowVersion,
    /// Versions of which this node, or one that it got rows from, does not know all removals.
    gap: Option<VersionGap>,
    /// Newest era of any merged page.
    era: StoreEra,
    restored: RestoredRows,
    /// Key of a row whose content states its order, so that an older one never replaces a newer one.
    ordered_row: Option<&'static str>,
}

/// The newest rows of the store that this node knows, including removed ones.
#[derive(Debug, Default)]
pub struct RowCache {
    tables: SortedVec<Arc<str>, CachedTable>,
}

impl RowCache {
    /// Merges rows of a table; returns those that are newer than the cached ones and may take effect
    /// now. Rows that went back with the store are returned by [`RowCache::take_due`] later.
    pub fn merge(&mut self, now: Instant, table: &str, page: CompressedPage) -> Vec<CompressedRow> {
        let cached_table = self.tables.get_or_insert_with(table.into(), CachedTable::default);
        let mut newer = match page.is_listing {
            true => cached_table.missing_from(&page),
            false => Vec::new(),
        };
        cached_table.record_version(&page);
        newer.extend(page.rows);
        newer.retain(|row| {
            cached_table.rows.get(&row.key).is_none_or(|cached| cached.version < row.version)
        });
        if page.version.era() > cached_table.era {
            cached_table.era = page.version.era();
            cached_table.restored.start(now, page.version);
        }
        newer.retain(|row| {
            let known = cached_table.rows.insert(row.key.clone(), row.clone());
            let is_ordered = cached_table.ordered_row == Some(&*row.key) && !row.is_removed();
            is_ordered || cached_table.restored.admit(now, row, known.map(|known| known.version))
        });
        newer
    }

    /// Sets the key of a row whose content states its order, so that an older one never replaces a
    /// newer one. Such a row is not held back after a restore of the store.
    pub fn set_ordered_row(&mut self, table: &str, key: &'static str) {
        let cached_table = self.tables.get_or_insert_with(table.into(), CachedTable::default);
        cached_table.ordered_row = Some(key);
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

    /// Returns the version up to which the cached rows of a table are complete; zero without any. It never
    /// goes back, also if the store no longer keeps the changes after it.
    pub fn version(&self, table: &str) -> RowVersion {
        self.tables.get(table).map_or(RowVersion::default(), |cached_table| cached_table.version)
    }

    /// Returns the newest version of any row of a table; zero without rows.
    pub fn newest_row(&self, table: &str) -> RowVersion {
        self.tables.get(table).map_or(RowVersion::default(), |cached_table| cached_table.newest_row)
    }

    /// Returns the rows of a table that changed after a version, or a listing of all rows if some
    /// removals after that version are unknown.
    pub fn page(&self, table: &str, after: RowVersion) -> CompressedPage {
        let no_change =
            CompressedPage { rows: Vec::new(), version: after, is_listing: false, gap: None };
        let Some(cached_table) = self.tables.get(table) else { return no_change };
        let (version, gap) = (cached_table.version, cached_table.gap);
        if version <= after {
            return CompressedPage { version, ..no_change };
        }
        let is_listing = cached_table.lacks_removals_after(after);
        let is_sent = |row: &&CompressedRow| is_listing || row.version > after;
        let rows = cached_table.rows.values().filter(is_sent).cloned().collect();
        CompressedPage { rows, version, is_listing, gap }
    }
}

impl CachedTable {
    /// Returns the cached rows that a listing does not contain, as removed rows.
    fn missing_from(&self, listing: &CompressedPage) -> Vec<CompressedRow> {
        let listed = listing.rows.iter().filter(|row| !row.is_removed());
        let listed: SortedVec<&str, ()> = listed.map(|row| (&*row.key, ())).collect();
        let is_missing =
            |row: &&CompressedRow| !row.is_removed() && !listed.contains_key(&&*row.key);
        let missing = self.rows.values().filter(is_missing);
        missing.map(|row| row.removed_at(listing.version)).collect()
    }

    /// Records the version of a page, and which removals it leaves unknown.
    fn record_version(&mut self, page: &CompressedPage) {
        let before = self.version;
        let listed = VersionGap { from: before, to: page.version };
        let new_gap = match page.is_listing {
            true if before == RowVersion::default() => {
                self.complete_from = page.version;
                None
            }
            true => Some(listed).filter(|listed| listed.from < listed.to),
            false => page.gap,
        };
        self.gap = match (self.gap, new_gap) {
            (Some(gap), Some(new_gap)) => Some(gap.including(new_gap)),
            (gap, new_gap) => gap.or(new_gap),
        };
        self.version = self.version.max(page.version);
        self.newest_row =
            page.rows.iter().map(|row| row.version).fold(self.newest_row, RowVersion::max);
    }

    /// Returns whether rows may have been removed after a version without being cached as removed.
    fn lacks_removals_after(&self, after: RowVersion) -> bool {
        // A node without a version may have rows all the same.
        after == RowVersion::default()
            || after < self.complete_from
            || self.gap.is_some_and(|gap| gap.contains(after))
    }
}
