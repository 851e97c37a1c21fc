//! In-memory attempt records of a node.

use std::time::Duration;

use wagtailmoor_core::{Instant, SortedVec};

use crate::record_entry::{RecordEntry, Stage, Transition};
use crate::{AttemptRecord, CallId, ClaimId, RecordKey, RecordState, RecordWrite};

/// In-memory attempt records of a node, by key.
#[derive(Debug, Default)]
pub(crate) struct RecordEntries {
    entries: SortedVec<RecordKey, RecordEntry>,
}

impl RecordEntries {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn unsettled(&self) -> usize {
        self.entries.values().filter(|entry| !entry.is_settled()).count()
    }

    pub(crate) fn get(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &RecordKey) -> Option<&mut RecordEntry> {
        self.entries.get_mut(key)
    }

    pub(crate) fn remove(&mut self, key: &RecordKey) {
        self.entries.remove(key);
    }

    /// Starts a claim of a record that is not in memory, or whose last claim was not run.
    pub(crate) fn claim(&mut self, now: Instant, key: &RecordKey, desired: AttemptRecord) {
        match self.entries.get_mut(key) {
            Some(entry) => entry.reclaim(now, desired),
            None => {
                self.entries.insert(key.clone(), RecordEntry::claim(now, desired));
            }
        }
    }

    /// Sets the outcome of a request and returns whether the request was running under this claim.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        key: &RecordKey,
        claim: ClaimId,
        state: RecordState,
    ) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if entry.is_running_under(claim) => {
                entry.finish(now, state);
                true
            }
            _ => false,
        }
    }

    /// Passes the result of a call to the entry that made it. The result is ignored if that entry
    /// was abandoned, also if a later entry has the same key.
    pub(crate) fn update(
        &mut self,
        key: &RecordKey,
        call: CallId,
        handle: impl FnOnce(&mut RecordEntry) -> Transition,
    ) -> Option<Transition> {
        self.entries.get_mut(key).filter(|entry| entry.call == Some(call)).map(handle)
    }

    /// Marks a read as started, and returns whether the entry still needs one.
    pub(crate) fn start_read(&mut self, key: &RecordKey, call: CallId) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if entry.stage == Stage::Read && entry.call.is_none() => {
                entry.call = Some(call);
                true
            }
            _ => false,
        }
    }

    /// Marks a write as started and returns its row, or `None` if the entry no longer needs one.
    pub(crate) fn start_write(&mut self, key: RecordKey, call: CallId) -> Option<RecordWrite> {
        let entry = self.entries.get_mut(&key)?;
        match entry.stage {
            Stage::Write { expected } if entry.call.is_none() => {
                entry.start_write(call);
                let record = Some(entry.desired.clone());
                Some(RecordWrite { key, expected, record })
            }
            _ => None,
        }
    }

    /// Drops final records that were kept for the retention time.
    pub(crate) fn expire(&mut self, now: Instant, retention: Duration) {
        let is_recent = |entry: &RecordEntry| now.saturating_since(entry.stage_since) < retention;
        self.entries.retain(|_, entry| !entry.is_settled() || is_recent(entry));
    }
}
