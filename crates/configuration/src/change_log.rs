//! Recent changes, kept for nodes that have an older version.

use std::collections::VecDeque;

use wagtailmoor_core::ConfigVersion;

use crate::ChangeRecord;

/// Recent changes in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    records: VecDeque<ChangeRecord>,
}

/// More than the changes of one day at the design load of 3,400 per day.
const RECORDS_MAX: usize = 4_096;

impl ChangeLog {
    /// Appends the next change and drops the oldest one when the log is full.
    pub fn push(&mut self, record: ChangeRecord) {
        self.records.push_back(record);
        match self.records.len() {
            len if len > RECORDS_MAX => drop(self.records.pop_front()),
            _ => {}
        }
    }

    /// Drops all changes, when a snapshot replaces the configuration.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns up to `max` changes after a version, or `None` if the next one was dropped.
    pub fn after(&self, version: ConfigVersion, max: usize) -> Option<Vec<ChangeRecord>> {
        let first = self.records.front()?.version.get();
        let skip = version.next().get().checked_sub(first)?;
        let skip = usize::try_from(skip).ok()?;
        Some(self.records.iter().skip(skip).take(max).cloned().collect())
    }

    /// Iterates over the changes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &ChangeRecord> {
        self.records.iter()
    }
}
