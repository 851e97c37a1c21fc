//! Rows of a store that was restored from an older copy.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{Instant, RowVersion, SortedVec};
use wagtailmoor_store::CompressedRow;

/// Operators and targets write again what they wrote, within a few seconds after a restore. Until
/// then older content, and rows that are missing, do not replace what is known.
const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// A row of the restored copy that does not replace the known content yet.
#[derive(Debug)]
struct HeldRow {
    row: CompressedRow,
    /// Version of the content that stays in force.
    known: RowVersion,
}

/// Holds back rows of one table that went back when the store did.
#[derive(Debug, Default)]
pub(crate) struct RestoredRows {
    /// Newest version of the first answer of the era; rows above it were written in this era.
    first_version: RowVersion,
    /// End of the grace period; `None` after it, or if there was no restore.
    until: Option<Instant>,
    held: SortedVec<Arc<str>, HeldRow>,
}

impl RestoredRows {
    /// Starts the grace period with the first page of a new era.
    pub(crate) fn start(&mut self, now: Instant, first_version: RowVersion) {
        self.first_version = first_version;
        self.until = Some(now + RESTORE_GRACE);
    }

    /// Returns whether a row may replace the known version now, and holds it back otherwise.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        row: &CompressedRow,
        known: Option<RowVersion>,
    ) -> bool {
        let known = self.held.remove(&row.key).map(|held| held.known).or(known);
        let Some(known) = known else { return true };
        let is_of_copy = row.version <= self.first_version && known.era() < row.version.era();
        let went_back = row.is_removed() || row.version.number() < known.number();
        let is_held = self.until.is_some_and(|until| now < until) && is_of_copy && went_back;
        if is_held {
            self.held.insert(row.key.clone(), HeldRow { row: row.clone(), known });
        }
        !is_held
    }

    /// Returns the rows that were held back, once, when the grace period has ended.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<Vec<CompressedRow>> {
        self.until.take_if(|until| *until <= now)?;
        Some(std::mem::take(&mut self.held).into_iter().map(|(_, held)| held.row).collect())
    }
}

#[cfg(test)]
mod tests {
    use wagtailmoor_core::StoreEra;
    use wagtailmoor_store::FeedRow;

    use super::*;

    fn row(era: u64, number: u64, content: Option<&'static str>) -> CompressedRow {
        let version = RowVersion::in_era(StoreEra::new(era), number);
        let content = content.map(Into::into);
        CompressedRow::compress(FeedRow { key: "i-1".into(), version, content })
    }

    // Guards against a target that is dropped, or a zone that is put back, because a restored store
    // does not list what was written shortly before; and against a missing row that is never
    // dropped, and a removal in the new era that waits.
    #[test]
    fn rows_that_went_back_wait() {
        let known = Some(RowVersion::new(90));
        let now = Instant::from_us(1_000_000);
        let mut rows = RestoredRows::default();
        rows.start(now, row(1, 80, None).version);
        assert!(!rows.admit(now, &row(1, 80, None), known), "missing in the copy");
        assert!(rows.take_due(now + RESTORE_GRACE / 2).is_none());
        assert_eq!(rows.take_due(now + RESTORE_GRACE), Some(vec![row(1, 80, None)]));
        rows.start(now, row(1, 80, None).version);
        assert!(!rows.admit(now, &row(1, 70, Some("older")), known));
        assert!(rows.admit(now, &row(1, 85, Some("again")), Some(row(1, 70, None).version)));
        assert_eq!(rows.take_due(now + RESTORE_GRACE), Some(Vec::new()), "written again");
        rows.start(now, row(1, 80, None).version);
        assert!(rows.admit(now, &row(1, 81, None), known), "removed in the new era");
        assert!(rows.admit(now, &row(1, 80, Some("newer")), Some(RowVersion::new(60))));
    }
}
