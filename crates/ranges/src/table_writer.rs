//! Writes of the table to the store.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Instant};

use crate::range_entry::RangeState;
use crate::range_list::RangeList;
use crate::{Command, KeyRange, StoreOutcome};

/// Decides when the table is written to the store, and lets assignments take effect once they are
/// stored, so that a later leader knows of every grant.
#[derive(Debug)]
pub(crate) struct TableWriter {
    /// Ranges that the write in flight assigns.
    storing: Option<Vec<(KeyRange, Epoch)>>,
    store_at: Instant,
    /// Whether the owners must be stored before any other command.
    must_store: bool,
}

impl TableWriter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { storing: None, store_at: now, must_store: false }
    }

    /// Stores the owners again before the next command.
    pub(crate) fn store_again(&mut self, now: Instant) {
        self.store_at = now;
        self.must_store = true;
    }

    /// Stores the owners again before the next command. The outcome of a write in flight no longer
    /// counts.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.storing = None;
        self.store_again(now);
    }

    /// Returns whether the owners must be stored before any other command.
    pub(crate) fn must_store(&self) -> bool {
        self.must_store
    }

    /// Returns a write of the table if it must be stored again, or a new assignment is not stored yet.
    pub(crate) fn write(
        &mut self,
        now: Instant,
        ranges: &RangeList,
        interval: Duration,
    ) -> Option<Command> {
        let unstored = ranges.iter().filter(|entry| entry.state == RangeState::Storing);
        let unstored: Vec<_> = unstored.map(|entry| (entry.range, entry.epoch)).collect();
        if (unstored.is_empty() && !self.must_store)
            || self.storing.is_some()
            || now < self.store_at
        {
            return None;
        }
        self.store_at = now + interval;
        self.storing = Some(unstored);
        Some(Command::Store { table: ranges.table() })
    }

    /// Records the outcome of a write. The ranges that it assigned may then be granted.
    pub(crate) fn on_outcome(
        &mut self,
        now: Instant,
        ranges: &mut RangeList,
        outcome: StoreOutcome,
    ) {
        let Some(stored) = self.storing.take() else { return };
        if outcome != StoreOutcome::Stored {
            return;
        }
        self.must_store = false;
        for entry in ranges.iter_mut() {
            let included = stored.contains(&(entry.range, entry.epoch));
            if included && entry.state == RangeState::Storing {
                entry.state = RangeState::Granted { renew_at: now };
            }
        }
    }
}
