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

/// A call of the feed.
#[derive(Clone, Copy, Debug, Default)]
struct Call {
    is_listing: bool,
    wait: Duration,
    /// Version up to which this node had the rows when it called. The store's answers are
    /// linearizable, so an older one shows rows from before the call.
    known: RowVersion,
}

/// What an answer of the store says about the rows of its table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DatedAnswer {
    pub(crate) as_of: Instant,
    pub(crate) is_listing: bool,
    /// Whether the answer is older than what this node knew when it called.
    pub(crate) is_outdated: bool,
}

/// The state of the feed of one table.
#[derive(Debug)]
pub(crate) struct TableFeed {
    wait: Duration,
    /// Version of the last answer.
    version: RowVersion,
    /// Version after which the store no longer keeps the changes, until a later one is known.
    history_lost: Option<RowVersion>,
    /// The call in flight.
    call: Call,
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
            version: RowVersion::default(),
            history_lost: None,
            call: Call::default(),
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

    /// Returns the next call. The rows up to `known` need not be read again.
    pub(crate) fn next_call(&mut self, now: Instant, known: RowVersion) -> FeedCall {
        let after = known.max(self.version);
        let is_kept = self.history_lost.is_none_or(|lost| after > lost);
        self.call = match after.get() > 0 && is_kept {
            true => Call { is_listing: false, wait: self.call_wait(now), known },
            false => Call { is_listing: true, wait: Duration::ZERO, known },
        };
        match self.call {
            Call { is_listing: true, .. } => FeedCall::Snapshot,
            Call { wait, .. } => FeedCall::Changes { after, wait },
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

    /// Handles an answer.
    ///
    /// The store answers at the end of the wait at the latest, so a later answer was delayed. This also
    /// bounds the error of the age by the wait if the store's clock was set forward.
    pub(crate) fn on_page(
        &mut self,
        sent_at: Instant,
        received_at: Instant,
        page: &FeedPage,
    ) -> DatedAnswer {
        let Call { is_listing, wait, known } = self.call;
        let as_of = self.clock.date(sent_at, received_at, page.store_time).min(sent_at + wait);
        let is_outdated = page.version < known;
        if !is_outdated {
            self.failures = 0;
            self.version = page.version;
            self.history_lost = None;
            self.confirmed_to = as_of;
        }
        DatedAnswer { as_of, is_listing, is_outdated }
    }

    pub(crate) fn on_history_lost(&mut self) {
        self.history_lost = Some(self.version.max(self.call.known));
    }

    /// Handles a failed call; returns the number of consecutive failures.
    pub(crate) fn on_failure(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }
}
