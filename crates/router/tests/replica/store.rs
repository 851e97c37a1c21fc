//! A store on a simulated clock, without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailmoor_core::{Instant, RowVersion, StoreTime};
use wagtailmoor_router::ReplicaTable;
use wagtailmoor_store::{FeedPage, FeedRow};

/// The store's clock at the start of a run.
const CLOCK_START: Duration = Duration::from_secs(100);

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreState {
    #[default]
    Sound,
    /// Answers no call.
    Silent,
    /// Answers each call with an error.
    Refusing,
    /// Answers no feed call, but reads in full.
    FeedsSilent,
}

/// A row and its content, removed or not.
#[derive(Clone, Debug)]
struct Row {
    version: u64,
    content: Option<String>,
}

type Rows = BTreeMap<(ReplicaTable, String), Row>;

/// A store with the newest version of each row.
#[derive(Debug)]
pub(crate) struct Store {
    tables: Rows,
    version: u64,
    /// Changes up to this version are no longer available from the feed.
    discarded: u64,
    pub(crate) state: StoreState,
    start: Instant,
    /// How far the clock was set forward.
    clock_step: Duration,
    /// Versions and contents that listings show for a while, although newer ones were acknowledged.
    lagging: Option<(Rows, u64)>,
}

impl Store {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            tables: Rows::new(),
            version: 0,
            discarded: 0,
            state: StoreState::Sound,
            start,
            clock_step: Duration::ZERO,
            lagging: None,
        }
    }

    /// Writes or removes a row; returns its version.
    pub(crate) fn write(
        &mut self,
        table: ReplicaTable,
        key: &str,
        content: Option<String>,
    ) -> RowVersion {
        self.version += 1;
        self.tables.insert((table, key.to_owned()), Row { version: self.version, content });
        RowVersion::new(self.version)
    }

    /// Raises the version by a write to a table that nodes do not copy.
    pub(crate) fn write_elsewhere(&mut self) {
        self.version += 1;
    }

    pub(crate) fn discard_history(&mut self) {
        self.discarded = self.version;
    }

    pub(crate) fn step_clock(&mut self, step: Duration) {
        self.clock_step += step;
    }

    /// Begins to answer reads in full from the present rows, whatever is written later.
    pub(crate) fn begin_lagging(&mut self) {
        self.lagging = Some((self.tables.clone(), self.version));
    }

    pub(crate) fn end_lagging(&mut self) {
        self.lagging = None;
    }

    /// Returns whether the history after a version is gone.
    pub(crate) fn lacks_history(&self, after: RowVersion) -> bool {
        after.number() < self.discarded
    }

    /// Returns all rows of a table.
    pub(crate) fn listing(&self, now: Instant, table: ReplicaTable) -> FeedPage {
        let present = (&self.tables, self.version);
        let (tables, version) =
            self.lagging.as_ref().map_or(present, |(tables, version)| (tables, *version));
        self.page(now, tables, version, |other, row| other == table && row.content.is_some())
    }

    /// Returns the rows of a table that changed after a version.
    pub(crate) fn changes(&self, now: Instant, table: ReplicaTable, after: RowVersion) -> FeedPage {
        let is_newer = |row: &Row| row.version > after.number();
        self.page(now, &self.tables, self.version, |other, row| other == table && is_newer(row))
    }

    fn page(
        &self,
        now: Instant,
        tables: &Rows,
        version: u64,
        is_sent: impl Fn(ReplicaTable, &Row) -> bool,
    ) -> FeedPage {
        let sent = tables.iter().filter(|((table, _), row)| is_sent(*table, row));
        let rows = sent.map(|((_, key), row)| FeedRow {
            key: key.as_str().into(),
            version: RowVersion::new(row.version),
            content: row.content.clone().map(|text| text.into_bytes().into()),
        });
        let elapsed = CLOCK_START + now.saturating_since(self.start) + self.clock_step;
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap();
        FeedPage {
            rows: rows.collect(),
            version: RowVersion::new(version),
            store_time: Some(StoreTime::from_ms(elapsed_ms)),
        }
    }
}
