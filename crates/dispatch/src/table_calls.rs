//! In-flight calls to the table.

use wagtailmoor_core::SortedVec;

use crate::{CallId, RecordKey};

/// An in-flight call to the table, with the keys of its rows.
#[derive(Debug)]
pub(crate) enum TableCall {
    Write(Vec<RecordKey>),
    Read(RecordKey),
}

/// In-flight calls to the table, by id.
#[derive(Debug, Default)]
pub(crate) struct TableCalls {
    calls: SortedVec<CallId, TableCall>,
    last: CallId,
    reads: usize,
}

impl TableCalls {
    /// Returns the id that the next call of `start` assigns.
    pub(crate) fn next_id(&self) -> CallId {
        self.last.next()
    }

    pub(crate) fn start(&mut self, call: TableCall) {
        self.reads += usize::from(matches!(call, TableCall::Read(_)));
        self.last = self.last.next();
        self.calls.insert(self.last, call);
    }

    /// Removes a write and returns the keys of its rows, or `None` if no such write is in flight.
    pub(crate) fn end_write(&mut self, call: CallId) -> Option<Vec<RecordKey>> {
        match self.calls.get(&call) {
            Some(TableCall::Write(keys)) => {
                let keys = keys.clone();
                self.calls.remove(&call);
                Some(keys)
            }
            _ => None,
        }
    }

    /// Removes a read and returns the key of its row, or `None` if no such read is in flight.
    pub(crate) fn end_read(&mut self, call: CallId) -> Option<RecordKey> {
        match self.calls.get(&call) {
            Some(TableCall::Read(key)) => {
                let key = key.clone();
                self.calls.remove(&call);
                self.reads -= 1;
                Some(key)
            }
            _ => None,
        }
    }

    pub(crate) fn reads(&self) -> usize {
        self.reads
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
