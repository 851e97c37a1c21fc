//! The state of the feed of one table.

use std::time::Duration;

use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_store::FeedPage;

use crate::AnswerClock;
use crate::replica_table::ReplicaTable;

/// A feed call on the tables of operators and targets waits at most this long for a change. A
/// connection may fail without notice, and other nodes rely on this one; only an answer shows that
/// it still receives changes.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// Wait of a feed call on the table of owners. A request to a previous owner is refused, and is
/// sent to the new one later.
const RANGES_FEED_WAIT: Duration = Duration::from_secs(4);

/// A node whose rows of a table are older than the feed wait plus this margin is starting to
/// follow the table again.
const RESTART_MARGIN: Duration = Duration::from_millis(800);

/// What the feed of a table does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedCall {
    /// Nothing for this long.
    Pause(Duration),
    /// It reads the table in full.
    Snapshot,
    /// It reads the changes after a version, and waits for one at the store.
    Changes {
        /// The version.
        after: RowVersion,
        /// How long the store holds the call without a change.
        wait: Duration,
    },
}

/// The state of the feed of one table.
#[derive(Debug)]
pub(crate) struct TableFeed {
    wait: Duration,
    after: Option<RowVersion>,
    /// Consecutive failures of calls.
    failures: u32,
    clock: AnswerClock,
    /// The rows that the store sent are complete up to this instant.
    confirmed_to: Instant,
}

impl TableFeed {
    pub(crate) fn new(table: ReplicaTable) -> Self {
        let wait = match table {
            ReplicaTable::Ranges => RANGES_FEED_WAIT,
            _ => FEED_WAIT,
        };
        Self {
            wait,
            after: None,
            failures: 0,
            clock: AnswerClock::default(),
            confirmed_to: Instant::default(),
        }
    }

    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    pub(crate) fn clear_failures(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn confirmed_to(&self) -> Instant {
        self.confirmed_to
    }

    /// Returns whether the present call reads the table in full.
    pub(crate) fn reads_listing(&self) -> bool {
        self.after.is_none()
    }

    /// Returns the next call. Rows up to `relayed`, which other nodes sent, need not be read again.
    pub(crate) fn next_call(&mut self, now: Instant, relayed: RowVersion) -> FeedCall {
        self.after = self.after.or(Some(relayed).filter(|version| version.get() > 0));
        self.after = self.after.map(|after| after.max(relayed));
        match self.after {
            None => FeedCall::Snapshot,
            Some(after) => FeedCall::Changes { after, wait: self.call_wait(now) },
        }
    }

    /// Returns how long a call waits for changes. A node that starts to follow the store again does
    /// not wait: others, and requests, rely on its data as soon as the store has answered for each
    /// table.
    fn call_wait(&self, now: Instant) -> Duration {
        let starts = now.saturating_since(self.confirmed_to) > self.wait + RESTART_MARGIN;
        match starts || self.clock.needs_reference(now) {
            true => Duration::ZERO,
            false => self.wait,
        }
    }

    /// Handles an answer; returns the instant up to which its rows are complete.
    pub(crate) fn on_page(
        &mut self,
        sent_at: Instant,
        received_at: Instant,
        page: &FeedPage,
    ) -> Instant {
        self.failures = 0;
        self.after = Some(page.version);
        self.confirmed_to = self.clock.date(sent_at, received_at, page.store_time);
        self.confirmed_to
    }

    pub(crate) fn on_history_lost(&mut self) {
        self.after = None;
    }

    /// Handles a failed call; returns the number of consecutive failures.
    pub(crate) fn on_failure(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }
}
