//! A table with compare-and-set that checks the assignments in its rows.

use std::collections::BTreeMap;

use crate::chaos::Summary;
use wagtailmoor_core::{BackEndId, RowVersion, SegmentId};
use wagtailmoor_ownership::{Assignment, SegmentRow, StoredRow, WriteResult, WriteRows};

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeTable {
    rows: BTreeMap<(BackEndId, SegmentId), StoredRow>,
    pub(crate) down_until_us: u64,
    pub(crate) changes: Summary,
    /// Overwrites rows whatever their version.
    ignores_versions: bool,
}

impl FakeTable {
    pub(crate) fn new(ignores_versions: bool) -> Self {
        Self { ignores_versions, ..Self::default() }
    }

    pub(crate) fn read(&self, back_end: &BackEndId) -> Vec<StoredRow> {
        let of_back_end = self.rows.iter().filter(|((id, _), _)| id == back_end);
        of_back_end.map(|(_, row)| row.clone()).collect()
    }

    /// Applies a transaction; fails when a new row loses an assignment of the row that it replaces.
    pub(crate) fn write(&mut self, write: &WriteRows) -> Result<WriteResult, String> {
        self.changes.writes += 1;
        let key = |row: &SegmentRow| (write.back_end.clone(), row.segment);
        let version = |row: &SegmentRow| {
            self.rows.get(&key(row)).map(|stored| stored.version).unwrap_or_default()
        };
        let conflict = write.rows.iter().any(|each| version(&each.row) != each.expected);
        if conflict && !self.ignores_versions {
            return Ok(WriteResult::Conflict);
        }
        let mut versions = Vec::new();
        for each in &write.rows {
            if let Some(old) = self.rows.get(&key(&each.row)) {
                check_assignments_kept(&old.row, &each.row)?;
                self.changes.add(&changes(&old.row, &each.row));
            }
            let version = RowVersion::new(each.expected.get() + 1);
            versions.push(version);
            let stored = StoredRow { version, write_id: write.write_id, row: each.row.clone() };
            self.rows.insert(key(&each.row), stored);
        }
        Ok(WriteResult::Done(versions))
    }
}

fn changes(old: &SegmentRow, new: &SegmentRow) -> Summary {
    let (before, after) = (old.hot_keys.len() as u64, new.hot_keys.len() as u64);
    let pairs = old.slots.iter().zip(&new.slots);
    Summary {
        splits: after.saturating_sub(before),
        merges: before.saturating_sub(after),
        rehomed: u64::from(old.home != new.home),
        new_owners: pairs.filter(|(before, after)| before.owner != after.owner).count() as u64,
        ..Summary::default()
    }
}

// Each assignment must be kept or be superseded at a higher epoch.
fn check_assignments_kept(old: &SegmentRow, new: &SegmentRow) -> Result<(), String> {
    let kept = |before: &Assignment, after: &Assignment| {
        let same_owner = before.owner == after.owner && old.home == new.home;
        after.epoch > before.epoch || (after.epoch == before.epoch && same_owner)
    };
    for (before, after) in old.slots.iter().zip(&new.slots) {
        if !kept(before, after) {
            return Err(format!("lost assignment: {before:?} became {after:?}"));
        }
    }
    for hot in &old.hot_keys {
        let after = new.hot_keys.iter().find(|other| other.key == hot.key);
        if after.is_some_and(|after| !kept(&hot.assignment, &after.assignment)) {
            return Err(format!("lost assignment of a hot key: {hot:?} became {after:?}"));
        }
    }
    Ok(())
}
