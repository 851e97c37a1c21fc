//! This node's copy of the store's tables, and whether requests may be decided by it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_store::{CompressedPage, CompressedRow, FeedPage};

use crate::peer_polling::PendingCall;
use crate::replica_messages::{KnownVersions, MissingRows, NewestRows};
use crate::replica_outcomes::{FeedAnswer, FeedFailure, PeerRows};
use crate::replica_table::ReplicaTable;
use crate::table_feed::{DatedAnswer, FeedCall, TableFeed};
use crate::{
    ChangeSource, Confirmation, DataSource, DecisionGate, LeaderView, NodeAddress, PeerFailure,
    RowCache,
};

/// Pause after an answer with changes, so that the next answer contains a series of changes. Cold
/// targets change their entries with every heartbeat.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// The same pause for the table of owners, shorter because requests wait for the next owner of a
/// key.
const RANGES_CHANGE_PAUSE: Duration = Duration::from_millis(60);

/// Pause after an answer without changes. It limits the rate of calls to a store that does not
/// wait.
const EMPTY_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which a node checks whether it must follow the store.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Base of the pause after failed calls; each consecutive failure doubles the pause.
const RETRY_PAUSE_BASE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls of the leader or a relay, since other nodes wait for it.
const RELAY_RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Longest interval between two calls of all other nodes from the second consecutive failure on,
/// counted from the sending. There are many of these, and their relay sends them changes as soon as
/// the store is reachable again. A failed call must be replaced before it is no evidence any more.
const RETRY_INTERVAL_OTHERS: Duration = Duration::from_millis(2_000);

/// Shortest time between two calls that are made at once because the process stood still.
const URGENT_CALL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Consecutive failures after which the store counts as unreachable.
const STORE_DOWN_FAILURES: u32 = 2;

/// A node holds a call for at most this long while it has no changes for the caller. This bounds
/// the time until the caller detects that the node no longer receives changes.
pub(crate) const RELAY_WAIT: Duration = Duration::from_millis(400);

/// This node's copy of the store's tables, where it gets changes, and whether requests may be decided
/// by it.
///
/// The loops that call the store and other nodes hold no state of their own about the data: each
/// result of a call is handled here.
///
/// Invariant: a request is decided by data that hold each row which was acknowledged within the apply
/// time before it was sent, unless [`DecisionGate`] has evidence that no source can be reached. This
/// rests on four rules:
///
/// - Data are complete up to an instant only by an answer that delivers the rows up to it. The version
///   up to which rows are complete never goes back, and an answer of an older version than this node
///   knew confirms nothing.
/// - An answer is dated by the sending of its call. The wait at the answering side adds to that, at
///   most as long as the call allowed, which is less than the margin between the age up to which data
///   decide and the apply time.
/// - A node that has heard of a row which it lacks has no younger data than that moment.
/// - Old data decide by failed calls, never by a wait.
#[derive(Debug)]
pub struct Replica {
    rows: RowCache,
    source: ChangeSource,
    gate: DecisionGate,
    feeds: [TableFeed; 3],
    /// The table whose feed is retried while the store is unreachable; `None` while it answers.
    store_down: Option<ReplicaTable>,
    /// A source confirmed the data up to this instant.
    confirmed_to: Instant,
    /// The first row of each decisive table that this node has heard of and lacks, and when it heard.
    heard: [Option<(RowVersion, Instant)>; 2],
    /// When the store was last called at once because the process stood still.
    urgent_call_at: Instant,
}

impl Replica {
    /// Creates an empty copy of a node. It doesn't call the store at once if `synced_to` is recent.
    pub fn new(
        own: NodeAddress,
        seeds: Vec<SocketAddr>,
        synced_to: Instant,
        gate: DecisionGate,
    ) -> Self {
        Self {
            rows: RowCache::default(),
            source: ChangeSource::new(own, seeds, synced_to),
            gate,
            feeds: ReplicaTable::ALL.map(TableFeed::new),
            store_down: None,
            confirmed_to: Instant::default(),
            heard: [None; 2],
            urgent_call_at: Instant::default(),
        }
    }

    /// Returns where this node gets changes.
    pub fn source(&self) -> &ChangeSource {
        &self.source
    }

    /// Sets the key of the operators' row whose content states its order, see
    /// [`RowCache::set_ordered_row`].
    pub fn set_ordered_row(&mut self, key: &'static str) {
        self.rows.set_ordered_row(ReplicaTable::Operators.cache_name(), key);
    }

    /// Replaces the list of the site's nodes.
    pub fn set_nodes(&mut self, nodes: Vec<NodeAddress>) {
        self.source.set_nodes(nodes);
    }

    /// Returns the age of this node's data, which no source may have confirmed yet.
    pub fn age(&self, now: Instant) -> Duration {
        self.source.age(now).max(now.saturating_since(self.confirmed_to))
    }

    /// Returns the number of consecutive failures of calls of the store.
    pub fn store_failures(&self) -> u32 {
        self.feeds.iter().map(TableFeed::failures).max().unwrap_or_default()
    }

    /// Returns the version up to which a table is known.
    pub fn version(&self, table: ReplicaTable) -> RowVersion {
        self.rows.version(table.cache_name())
    }

    /// Returns whether requests may be decided by this node's data.
    pub fn confirmation(&self, now: Instant) -> Confirmation {
        self.gate.check(now, self.age(now), self.source.has_other_nodes())
    }

    /// Records that the process runs; called all the time, and every 20 ms while the data are old.
    /// Returns whether the store must be called at once: the process stood still, and its data are old.
    pub fn record_check(&mut self, now: Instant) -> bool {
        let is_due = now >= self.urgent_call_at + URGENT_CALL_INTERVAL;
        let stood_still = self.gate.record_check(now);
        let is_urgent = stood_still && is_due && self.confirmation(now) != Confirmation::Current;
        if is_urgent {
            self.urgent_call_at = now;
        }
        is_urgent
    }

    /// Returns the newest rows that this node knows.
    pub fn newest_rows(&self) -> NewestRows {
        let newest = |table: ReplicaTable| self.rows.newest_row(table.cache_name());
        NewestRows {
            operators: newest(ReplicaTable::Operators),
            targets: newest(ReplicaTable::Targets),
        }
    }

    /// Handles the newest rows that another node knows.
    pub fn hear(&mut self, now: Instant, newest: NewestRows) {
        for (index, heard) in newest.by_table().into_iter().enumerate() {
            if heard > self.version(ReplicaTable::DECISIVE[index]) {
                self.heard[index].get_or_insert((heard, now));
            }
        }
        self.update_behind();
    }

    /// Returns the version of a row that this node has heard of and lacks, if any.
    pub fn missing_row(&self) -> Option<RowVersion> {
        self.heard.iter().flatten().map(|(version, _)| *version).next()
    }

    /// Forgets rows that this node lacked and has now.
    fn update_behind(&mut self) {
        for (index, table) in ReplicaTable::DECISIVE.into_iter().enumerate() {
            let version = self.version(table);
            self.heard[index].take_if(|(heard, _)| *heard <= version);
        }
        self.source.set_behind(self.heard.iter().flatten().map(|(_, at)| *at).min());
    }

    fn confirm(&mut self, up_to: Instant) {
        self.confirmed_to = self.confirmed_to.max(up_to);
    }

    /// Returns the next call of a table's feed. `leader_relays_ranges` states whether other nodes send
    /// the owners of ranges as long as the leader is in contact, even if it cannot reach the store.
    pub fn next_feed_call(
        &mut self,
        now: Instant,
        table: ReplicaTable,
        leader: LeaderView,
        leader_relays_ranges: bool,
    ) -> FeedCall {
        let is_relayed = table == ReplicaTable::Ranges && leader_relays_ranges;
        let follows_store = self.source.follows_store(now, leader);
        let relayed = self.version(table);
        let feed = &mut self.feeds[table as usize];
        if !follows_store || is_relayed {
            feed.clear_failures();
            if !follows_store {
                self.store_down = None;
            }
            return FeedCall::Pause(SOURCE_CHECK_INTERVAL);
        }
        // While the store is unreachable, only one table's feed is retried to detect its return.
        if feed.failures() > 0 && self.store_down.is_some_and(|other| other != table) {
            return FeedCall::Pause(SOURCE_CHECK_INTERVAL);
        }
        feed.next_call(now, relayed)
    }

    /// Handles an answer of the store to a call that was sent at `sent_at`.
    pub fn on_feed_page(
        &mut self,
        now: Instant,
        table: ReplicaTable,
        sent_at: Instant,
        page: FeedPage,
    ) -> FeedAnswer {
        let recovered = self.feeds[table as usize].failures() >= STORE_DOWN_FAILURES;
        let recovered_after = recovered.then(|| self.age(now));
        let changed = !page.rows.is_empty();
        let answer = self.feeds[table as usize].on_page(sent_at, now, &page);
        let DatedAnswer { as_of, is_listing, is_outdated } = answer;
        let page = match is_listing {
            true => CompressedPage::compress_listing(page),
            false => CompressedPage::compress(page),
        };
        let rows = self.rows.merge(now, table.cache_name(), page);
        self.update_behind();
        if is_outdated {
            let (pause, recovered_after, confirms) = (RETRY_PAUSE_BASE, None, false);
            return FeedAnswer { rows, as_of, pause, recovered_after, confirms, is_outdated };
        }
        if recovered {
            self.store_down = None;
        }
        if let Some(feed) = decisive_index(table) {
            self.gate.record_answer(DataSource::Store(feed));
        }
        let feeds = &self.feeds;
        let confirmed_to = ReplicaTable::DECISIVE.map(|table| feeds[table as usize].confirmed_to());
        let confirmed_to = confirmed_to[0].min(confirmed_to[1]);
        self.confirm(confirmed_to);
        let confirms = self.source.record_store_answer(confirmed_to);
        let pause = match table {
            _ if !changed => EMPTY_PAUSE,
            ReplicaTable::Ranges => RANGES_CHANGE_PAUSE,
            _ => CHANGE_PAUSE,
        };
        FeedAnswer { rows, as_of, pause, recovered_after, confirms, is_outdated }
    }

    /// Handles that the store no longer keeps the changes after the version that was asked for. The
    /// rows up to that version stay complete.
    pub fn on_history_lost(&mut self, table: ReplicaTable) {
        self.feeds[table as usize].on_history_lost();
    }

    /// Handles that a call of the store failed that was sent at `sent_at`.
    pub fn on_feed_failure<R: Rng>(
        &mut self,
        now: Instant,
        table: ReplicaTable,
        sent_at: Instant,
        leader: LeaderView,
        random: &mut R,
    ) -> FeedFailure {
        let failures = self.feeds[table as usize].on_failure();
        let could_relay = self.source.can_relay(now, leader);
        self.source.record_store_failure();
        let mut store_lost = false;
        // The table of owners confirms nothing, so its feed can't show that the store is back.
        if let Some(feed) = decisive_index(table) {
            self.gate.record_failure(DataSource::Store(feed), sent_at);
            store_lost = failures >= STORE_DOWN_FAILURES && self.store_down.is_none();
        }
        if store_lost {
            self.store_down = Some(table);
        }
        let elapsed = now.saturating_since(sent_at);
        FeedFailure {
            pause: self.retry_pause(now, failures, elapsed, leader, random),
            stops_relaying: could_relay && !self.source.can_relay(now, leader),
            store_lost,
        }
    }

    /// Returns the pause after a failed call that took `elapsed`, with jitter so that nodes do not all
    /// retry at once.
    fn retry_pause<R: Rng>(
        &self,
        now: Instant,
        failures: u32,
        elapsed: Duration,
        leader: LeaderView,
        random: &mut R,
    ) -> Duration {
        let others_depend = self.source.is_relay() || leader.is_self;
        let doubled = RETRY_PAUSE_BASE * 2u32.saturating_pow(failures.min(8));
        let longest = match others_depend {
            // The call may have failed because this process stood still; requests wait for the next one.
            _ if self.source.is_cut_off(now) && failures == 1 => return EMPTY_PAUSE,
            true => doubled.min(RELAY_RETRY_PAUSE_MAX),
            // A single failure may concern only an old connection.
            false if failures < STORE_DOWN_FAILURES => doubled,
            false => {
                let interval = RETRY_INTERVAL_OTHERS.mul_f64(random.random_range(0.5..1.0));
                return interval.saturating_sub(elapsed).max(EMPTY_PAUSE);
            }
        };
        longest.mul_f64(random.random_range(0.5..1.0))
    }

    /// Returns the nodes to call for changes, in addition to those whose calls are pending.
    pub fn peers_to_call<R: Rng>(
        &self,
        now: Instant,
        leader: LeaderView,
        pending: &[SocketAddr],
        random: &mut R,
    ) -> Vec<SocketAddr> {
        self.source.peers_to_call(now, leader, pending, random)
    }

    /// Returns what this node states in a call to another node.
    pub fn known_versions(&self, now: Instant) -> KnownVersions {
        KnownVersions {
            age: self.age(now),
            newest: self.newest_rows(),
            operators: self.version(ReplicaTable::Operators),
            targets: self.version(ReplicaTable::Targets),
            ranges: self.version(ReplicaTable::Ranges),
        }
    }

    /// Handles the answer of another node.
    pub fn on_peer_rows(
        &mut self,
        now: Instant,
        call: PendingCall,
        answer: MissingRows,
    ) -> PeerRows {
        // The answer states the age of the data when it was sent. The time of the transfer adds to
        // that age; the time that the other node waited before it answered does not.
        let waited = answer.waited.min(now.saturating_since(call.sent_at)).min(RELAY_WAIT);
        let as_of = call.sent_at + waited - answer.store_age;
        let pages = [answer.operators, answer.targets, answer.ranges];
        let mut rows = [Vec::new(), Vec::new(), Vec::new()];
        let has_rows = pages[..2].iter().all(|page| page.version > RowVersion::default());
        for ((table, page), rows) in ReplicaTable::ALL.into_iter().zip(pages).zip(&mut rows) {
            *rows = self.rows.merge(now, table.cache_name(), page);
        }
        self.update_behind();
        let confirms = answer.can_relay && has_rows;
        if confirms {
            self.confirm(as_of);
            self.gate.record_answer(DataSource::OtherNodes);
            self.source.record_relayed(call.peer, as_of, answer.designated_origin);
        }
        PeerRows { rows, as_of, confirms }
    }

    /// Handles a failure of another node.
    pub fn on_peer_failure(&mut self, now: Instant, call: PendingCall, failure: PeerFailure) {
        self.source.record_peer_failure(now, call.peer, failure);
        if self.source.peers_fail() {
            self.gate.record_failure(DataSource::OtherNodes, call.sent_at);
        }
    }

    /// Returns the answer to a node that has waited for `waited`, and whether it may wait on for a
    /// change or a confirmation. `has_config` states whether this node has a configuration.
    pub fn answer(
        &self,
        now: Instant,
        known: &KnownVersions,
        waited: Duration,
        leader: LeaderView,
        has_config: bool,
    ) -> (MissingRows, bool) {
        let page = |table: ReplicaTable| self.rows.page(table.cache_name(), known.version(table));
        let missing = MissingRows {
            operators: page(ReplicaTable::Operators),
            targets: page(ReplicaTable::Targets),
            ranges: page(ReplicaTable::Ranges),
            can_relay: has_config && self.source.can_relay(now, leader),
            store_age: self.age(now),
            designated_origin: self.source.has_designated_origin(leader),
            waited,
        };
        let confirms_newer = self.source.confirms_newer(now, known.age.saturating_add(waited));
        let waits =
            missing.is_empty() && missing.can_relay && !confirms_newer && waited < RELAY_WAIT;
        (missing, waits)
    }

    /// Returns the rows of a table that went back when the store was restored, and were not written
    /// again in time.
    pub(crate) fn take_due(&mut self, now: Instant, table: ReplicaTable) -> Vec<CompressedRow> {
        self.rows.take_due(now, table.cache_name())
    }
}

/// Returns the index of a table among those that must confirm the data.
fn decisive_index(table: ReplicaTable) -> Option<usize> {
    ReplicaTable::DECISIVE.iter().position(|decisive| *decisive == table)
}
