//! Pages of table rows in the form that nodes relay to each other.

use std::sync::Arc;

use wagtailmoor_core::{RowVersion, SortedVec};
use wagtailmoor_derive::value;

use crate::change_feed::{FeedPage, FeedRow};
use crate::compressed_row::CompressedRow;
use crate::version_gap::VersionGap;

/// The newest version of each changed row, compressed.
#[value]
pub struct CompressedPage {
    /// The rows, sorted by name.
    pub rows: Vec<CompressedRow>,
    /// Version up to which the page contains all changes.
    pub version: RowVersion,
    /// Whether the page lists all rows of the table, so that a row that it lacks was removed.
    pub is_listing: bool,
    /// Versions of which the sender does not know all removals.
    pub gap: Option<VersionGap>,
}

impl CompressedPage {
    /// Compresses a page that lists all rows of the table.
    pub fn compress_listing(page: FeedPage) -> Self {
        Self { is_listing: true, ..Self::compress(page) }
    }

    /// Returns whether a receiver learns nothing from the page.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && !self.is_listing
    }

    /// Keeps the newest version of each row and compresses it. A page of the store contains every
    /// version of a row; a burst of large configurations would saturate a slow link.
    pub fn compress(page: FeedPage) -> Self {
        let mut newest: SortedVec<Arc<str>, FeedRow> = SortedVec::new();
        for row in page.rows {
            let last = newest.get_or_insert_with(row.key.clone(), || row.clone());
            if last.version < row.version {
                *last = row;
            }
        }
        let rows = newest.into_iter().map(|(_, row)| CompressedRow::compress(row)).collect();
        Self { rows, version: page.version, is_listing: false, gap: None }
    }
}
