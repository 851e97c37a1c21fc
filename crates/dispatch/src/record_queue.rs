//! Queue of records that need a table call.

use std::collections::VecDeque;

use wagtailmoor_core::Instant;

use crate::RecordKey;

/// Records that need a table call, in order of arrival.
///
/// A queued record may no longer need its call; the record keeper skips such records.
#[derive(Debug, Default)]
pub(crate) struct RecordQueue {
    claims: VecDeque<RecordKey>,
    outcomes: VecDeque<(Instant, RecordKey)>,
    reads: VecDeque<RecordKey>,
}

impl RecordQueue {
    pub(crate) fn push_claim(&mut self, key: RecordKey) {
        self.claims.push_back(key);
    }

    /// Queues a claim from a rejected write again, ahead of later claims.
    pub(crate) fn requeue_claim(&mut self, key: RecordKey) {
        self.claims.push_front(key);
    }

    pub(crate) fn push_outcome(&mut self, due: Instant, key: RecordKey) {
        match self.outcomes.back() {
            Some((last, _)) if *last > due => self.outcomes.push_front((due, key)),
            _ => self.outcomes.push_back((due, key)),
        }
    }

    pub(crate) fn push_read(&mut self, key: RecordKey) {
        self.reads.push_back(key);
    }

    pub(crate) fn pop_claim(&mut self) -> Option<RecordKey> {
        self.claims.pop_front()
    }

    pub(crate) fn pop_outcome(&mut self) -> Option<RecordKey> {
        self.outcomes.pop_front().map(|(_, key)| key)
    }

    pub(crate) fn pop_read(&mut self) -> Option<RecordKey> {
        self.reads.pop_front()
    }

    pub(crate) fn has_reads(&self) -> bool {
        !self.reads.is_empty()
    }

    pub(crate) fn outcomes(&self) -> usize {
        self.outcomes.len()
    }

    pub(crate) fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns when the next write is due, or `None` if there is nothing to write.
    pub(crate) fn write_due(&self) -> Option<Instant> {
        match self.claims.is_empty() {
            false => Some(Instant::default()),
            true => self.outcomes.front().map(|(due, _)| *due),
        }
    }
}
