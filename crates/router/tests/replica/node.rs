//! A node of a simulated site: its copy of the store, its calls, and what it decides by.

use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_router::{
    Confirmation, DecisionGate, FeedCall, KnownVersions, LeaderView, MissingRows, NodeAddress,
    PeerFailure, PeerPolling, Replica, ReplicaTable,
};
use wagtailmoor_store::{CompressedRow, FeedError, FeedPage};

use super::disturbances::{APPLY_TIME, CONTACT_TIME};

/// A feed call fails this long after the end of its wait.
const FEED_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// A read of a whole table fails after this time.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A call of another node fails after this time.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which a waiting request checks the data.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A message that has arrived at a node, or will.
#[derive(Debug)]
pub(crate) enum Message {
    StoreAnswer { call: u64, result: Result<FeedPage, FeedError> },
    PeerCall { from: usize, call: u64, known: KnownVersions },
    PeerAnswer { from: usize, call: u64, rows: Option<MissingRows> },
}

/// What a node sends.
#[derive(Debug)]
pub(crate) enum Sent {
    ToStore { call: u64, table: ReplicaTable, feed: FeedCall },
    PeerCall { to: usize, call: u64, known: KnownVersions },
    PeerAnswer { to: usize, call: u64, rows: Box<MissingRows> },
}

/// The loop of one table's feed.
#[derive(Clone, Copy, Debug)]
enum FeedLoop {
    Idle { until: Instant },
    Calling { call: u64, sent_at: Instant, fails_at: Instant },
}

/// A call of another node that waits here for changes.
#[derive(Debug)]
struct HeldCall {
    from: usize,
    call: u64,
    known: KnownVersions,
    received_at: Instant,
}

/// What a node decided a request by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decision {
    pub(crate) confirmation: Confirmation,
    /// Row version of the configuration.
    pub(crate) version: RowVersion,
    pub(crate) age: Duration,
}

/// A process and its loops.
#[derive(Debug)]
pub(crate) struct Node {
    number: usize,
    pub(crate) replica: Replica,
    polling: PeerPolling,
    peer_calls: Vec<(u64, SocketAddr, Instant)>,
    feeds: [FeedLoop; 3],
    held: Vec<HeldCall>,
    calls: u64,
    /// Whether rows or confirmations came since held calls were last looked at.
    changed: bool,
    next_check: Instant,
    /// Row version of the configuration in force.
    config: Option<RowVersion>,
    /// Since when requests wait.
    pub(crate) pending_since: Option<Instant>,
}

fn leader_relays(leader: LeaderView) -> bool {
    leader.address.is_some() && !leader.is_self
}

impl Node {
    /// Starts a process. `life` makes the ids of its calls differ from those of former processes.
    pub(crate) fn start(
        number: usize,
        life: u64,
        address: NodeAddress,
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        let gate = DecisionGate::new(APPLY_TIME, CONTACT_TIME);
        Self {
            number,
            replica: Replica::new(address, seeds, Instant::default(), gate),
            polling: PeerPolling::default(),
            peer_calls: Vec::new(),
            feeds: [FeedLoop::Idle { until: now }; 3],
            held: Vec::new(),
            calls: life << 32,
            changed: false,
            next_check: now,
            config: None,
            pending_since: None,
        }
    }

    /// Handles a message that has arrived.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        message: Message,
        leader: LeaderView,
        peer: impl Fn(usize) -> SocketAddr,
        random: &mut ChaCha8Rng,
    ) {
        match message {
            Message::StoreAnswer { call, result } => {
                self.on_store_answer(now, call, result, leader, random);
            }
            Message::PeerCall { from, call, known } => {
                self.replica.hear(now, known.newest);
                self.held.push(HeldCall { from, call, known, received_at: now });
                self.changed = true;
            }
            Message::PeerAnswer { from, call, rows } => {
                self.on_peer_answer(now, peer(from), call, rows);
            }
        }
    }

    fn on_store_answer(
        &mut self,
        now: Instant,
        call: u64,
        result: Result<FeedPage, FeedError>,
        leader: LeaderView,
        random: &mut ChaCha8Rng,
    ) {
        let is_answered = |feed: &FeedLoop| matches!(feed, FeedLoop::Calling { call: pending, .. } if *pending == call);
        let Some(index) = self.feeds.iter().position(is_answered) else { return };
        let FeedLoop::Calling { sent_at, .. } = self.feeds[index] else { return };
        let table = ReplicaTable::ALL[index];
        let pause = match result {
            Ok(page) => {
                let answer = self.replica.on_feed_page(now, table, sent_at, page);
                self.apply(table, &answer.rows);
                self.changed = true;
                answer.pause
            }
            Err(FeedError::HistoryLost) => {
                self.replica.on_history_lost(table);
                Duration::ZERO
            }
            Err(FeedError::Unavailable { .. }) => {
                let failure = self.replica.on_feed_failure(now, table, sent_at, leader, random);
                self.changed |= failure.stops_relaying;
                failure.pause
            }
        };
        self.feeds[index] = FeedLoop::Idle { until: now + pause };
    }

    fn on_peer_answer(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        call: u64,
        rows: Option<MissingRows>,
    ) {
        let Some(index) = self.peer_calls.iter().position(|(pending, ..)| *pending == call) else {
            return;
        };
        self.peer_calls.swap_remove(index);
        let pending = self.polling.finish(peer).expect("the call is pending");
        match rows {
            Some(rows) => {
                let answer = self.replica.on_peer_rows(now, pending, rows);
                for (table, rows) in ReplicaTable::ALL.into_iter().zip(&answer.rows) {
                    self.apply(table, rows);
                }
                self.changed = true;
                if !answer.confirms {
                    self.replica.on_peer_failure(now, pending, PeerFailure::Stale);
                }
            }
            None if pending.unresponsive => {}
            None => self.replica.on_peer_failure(now, pending, PeerFailure::Unresponsive),
        }
        self.polling.pause(now, self.replica.source().peer_failures());
    }

    /// Applies rows as the router does: the configuration never goes back.
    fn apply(&mut self, table: ReplicaTable, rows: &[CompressedRow]) {
        let config =
            rows.iter().filter(|row| table == ReplicaTable::Operators && &*row.key == "config");
        for row in config {
            self.config = self.config.max(Some(row.version));
        }
    }

    /// Lets calls fail that have taken too long.
    pub(crate) fn expire_calls(
        &mut self,
        now: Instant,
        leader: LeaderView,
        random: &mut ChaCha8Rng,
    ) {
        for index in 0..self.feeds.len() {
            if let FeedLoop::Calling { call, fails_at, .. } = self.feeds[index]
                && fails_at <= now
            {
                let result = Err(FeedError::Unavailable { cause: "timeout".into() });
                self.on_store_answer(now, call, result, leader, random);
            }
        }
        let is_overdue =
            |(_, _, sent_at): &&(u64, SocketAddr, Instant)| *sent_at + PEER_TIMEOUT <= now;
        let overdue: Vec<_> = self.peer_calls.iter().filter(is_overdue).copied().collect();
        for (call, peer, _) in overdue {
            self.on_peer_answer(now, peer, call, None);
        }
        for call in self.polling.mark_unresponsive(now) {
            self.replica.on_peer_failure(now, call, PeerFailure::Unresponsive);
        }
    }

    /// Sends the calls and answers that are due.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        leader: LeaderView,
        number_of: impl Fn(SocketAddr) -> usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<Sent> {
        let mut sent = Vec::new();
        for index in 0..self.feeds.len() {
            if !matches!(self.feeds[index], FeedLoop::Idle { until } if until <= now) {
                continue;
            }
            let table = ReplicaTable::ALL[index];
            let feed = self.replica.next_feed_call(now, table, leader, leader_relays(leader));
            let limit = match feed {
                FeedCall::Pause(pause) => {
                    self.feeds[index] = FeedLoop::Idle { until: now + pause };
                    continue;
                }
                FeedCall::Snapshot => SNAPSHOT_TIMEOUT,
                FeedCall::Changes { wait, .. } => wait + FEED_TIMEOUT_MARGIN,
            };
            let call = self.next_call_id();
            self.feeds[index] = FeedLoop::Calling { call, sent_at: now, fails_at: now + limit };
            sent.push(Sent::ToStore { call, table, feed });
        }
        if self.polling.may_call(now) {
            let pending = self.polling.pending_peers();
            for peer in self.replica.peers_to_call(now, leader, &pending, random) {
                let call = self.next_call_id();
                self.polling.start(now, peer);
                self.peer_calls.push((call, peer, now));
                let known = self.replica.known_versions(now);
                sent.push(Sent::PeerCall { to: number_of(peer), call, known });
            }
        }
        self.answer_held_calls(now, leader, &mut sent);
        sent
    }

    fn answer_held_calls(&mut self, now: Instant, leader: LeaderView, sent: &mut Vec<Sent>) {
        let changed = std::mem::take(&mut self.changed);
        let wait_end = Duration::from_millis(400);
        let (replica, has_config) = (&self.replica, self.config.is_some());
        self.held.retain(|held| {
            let waited = now.saturating_since(held.received_at);
            if !changed && waited < wait_end {
                return true;
            }
            let (rows, waits) = replica.answer(now, &held.known, waited, leader, has_config);
            if !waits {
                let rows = Box::new(rows);
                sent.push(Sent::PeerAnswer { to: held.from, call: held.call, rows });
            }
            waits
        });
    }

    /// Returns what a request that arrives now is decided by; `None` if it waits, or is refused without
    /// a configuration.
    pub(crate) fn decide(&mut self, now: Instant) -> Option<Decision> {
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            if self.replica.record_check(now) {
                self.call_store_at_once(now);
            }
        }
        let version = self.config?;
        let confirmation = self.replica.confirmation(now);
        if confirmation == Confirmation::Pending {
            self.pending_since.get_or_insert(now);
            return None;
        }
        self.pending_since = None;
        Some(Decision { confirmation, version, age: self.replica.age(now) })
    }

    fn call_store_at_once(&mut self, now: Instant) {
        for feed in &mut self.feeds {
            if matches!(feed, FeedLoop::Idle { .. }) {
                *feed = FeedLoop::Idle { until: now };
            }
        }
    }

    fn next_call_id(&mut self) -> u64 {
        self.calls += 1;
        self.calls << 8 | self.number as u64
    }
}
