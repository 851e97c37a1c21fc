//! Rows of a table as nodes pass them on to each other.

use std::sync::Arc;

use wagtailmoor_core::{RowVersion, SortedVec};
use wagtailmoor_derive::value;

use crate::change_feed::{FeedPage, FeedRow};
use crate::packed_row::PackedRow;

/// The newest version of each changed row, compressed, and the version up to which they are
/// complete.
#[value]
pub struct PackedPage {
    /// The rows, sorted by name.
    pub rows: Vec<PackedRow>,
    /// Version up to which the rows are complete.
    pub version: RowVersion,
}

impl PackedPage {
    /// Packs the newest version of each row. A page of the store lists each version of a row; in
    /// a storm of large configurations all of them together would fill a weak link.
    pub fn pack(page: FeedPage) -> Self {
        let mut newest: SortedVec<Arc<str>, FeedRow> = SortedVec::new();
        for row in page.rows {
            let last = newest.get_or_insert_with(row.key.clone(), || row.clone());
            if last.version < row.version {
                *last = row;
            }
        }
        let rows = newest.into_iter().map(|(_, row)| PackedRow::pack(row)).collect();
        Self { rows, version: page.version }
    }
}
