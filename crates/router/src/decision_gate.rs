//! Whether requests may be decided by the data that this node has.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Part of the time in which a change must be in force after which data count as old, in percent.
/// The rest covers the time from the decision to the first byte at a target.
const AGE_MAX_PERCENT: u32 = 75;

/// Lower bound of the age from which data count as old. The store confirms data every 0.4 s.
const AGE_MAX_MIN: Duration = Duration::from_millis(1_000);

/// Part of the contact time for which a failed call shows that a source can't be reached, in percent.
/// A node whose links are sound must have the current data after the contact time.
const EVIDENCE_LIFETIME_PERCENT: u32 = 90;

/// Shortest time for which the process must have run on time before old data decide. A connection that
/// was reset while it stood still fails at once, and the next call may succeed.
const RUNNING_TIME_MIN: Duration = Duration::from_millis(300);

/// Checks within `RUNNING_TIME_MIN`, at least. Each takes a turn of the event loop, so answers that
/// had arrived are handled in between.
const CHECKS_MIN: u32 = 15;

/// A check that follows the one before it after a longer time shows that the process stood still or was
/// busy: answers to its calls may be waiting in its sockets.
const CHECK_GAP_MAX: Duration = Duration::from_millis(150);

/// Whether a request may be decided by the data that this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Changes that must be in force are known.
    Current,
    /// The data are old, and it isn't known whether a source can confirm them.
    Pending,
    /// The data are old, and calls of all sources were sent and have failed. The node serves what it
    /// can.
    Unreachable,
}

/// A source of which this node gets its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataSource {
    /// The store, by the feed with this index of those that must confirm the data.
    Store(usize),
    /// Other nodes: as many as are called before a node relies on none of them.
    OtherNodes,
}

/// Decides whether requests may be decided by the data that this node has.
///
/// Invariant: a request is decided by data that were confirmed at most [`DecisionGate::age_max`]
/// before, or while failed calls show that no source can be reached: one of the store, sent after the
/// process began to run on time and no longer than [`DecisionGate::evidence_lifetime`] ago, and as
/// recent ones of other nodes. A wait is no evidence, and neither is a call that failed while this
/// process stood still or was busy. So the exception ends within the evidence lifetime after the link
/// to the store is sound, whatever other calls do.
#[derive(Clone, Debug)]
pub struct DecisionGate {
    age_max: Duration,
    evidence_lifetime: Duration,
    /// When the last calls of the store were sent, for each feed whose last call failed.
    failed_feeds: [Option<Instant>; 2],
    /// When the last call of another node was sent, while these fail.
    failed_nodes: Option<Instant>,
    running: Option<Running>,
}

/// The time for which the process has run on time.
#[derive(Clone, Copy, Debug)]
struct Running {
    since: Instant,
    last_check: Instant,
    checks: u32,
}

impl DecisionGate {
    /// Creates a gate for changes that must be in force within `apply_time` on nodes whose links have
    /// been sound for `contact_time`.
    pub fn new(apply_time: Duration, contact_time: Duration) -> Self {
        let age_max = apply_time * AGE_MAX_PERCENT / 100;
        Self {
            age_max: age_max.max(AGE_MAX_MIN),
            evidence_lifetime: contact_time * EVIDENCE_LIFETIME_PERCENT / 100,
            failed_feeds: [None; 2],
            failed_nodes: None,
            running: None,
        }
    }

    /// Returns the age up to which data are current.
    pub fn age_max(&self) -> Duration {
        self.age_max
    }

    /// Returns the time from the sending of a call for which its failure is evidence.
    pub fn evidence_lifetime(&self) -> Duration {
        self.evidence_lifetime
    }

    /// Returns whether a request may be decided by data of an age. `has_other_nodes` states whether
    /// there are other nodes that could confirm them.
    pub fn check(&self, now: Instant, age: Duration, has_other_nodes: bool) -> Confirmation {
        match age <= self.age_max {
            true => Confirmation::Current,
            false if self.shows_unreachability(now, has_other_nodes) => Confirmation::Unreachable,
            false => Confirmation::Pending,
        }
    }

    /// Records that the process runs; called all the time, at intervals below `CHECK_GAP_MAX`. Returns
    /// whether the process stood still or was busy since the last call.
    pub fn record_check(&mut self, now: Instant) -> bool {
        match &mut self.running {
            Some(running) if now <= running.last_check + CHECK_GAP_MAX => {
                running.last_check = now;
                running.checks += 1;
                false
            }
            _ => {
                self.running = Some(Running { since: now, last_check: now, checks: 1 });
                true
            }
        }
    }

    /// Records that a call of a source failed that was sent at `sent_at`.
    pub fn record_failure(&mut self, source: DataSource, sent_at: Instant) {
        let failed = self.failed(source);
        *failed = (*failed).max(Some(sent_at));
    }

    /// Records that a source answered with current data.
    pub fn record_answer(&mut self, source: DataSource) {
        *self.failed(source) = None;
    }

    fn failed(&mut self, source: DataSource) -> &mut Option<Instant> {
        match source {
            DataSource::Store(feed) => &mut self.failed_feeds[feed],
            DataSource::OtherNodes => &mut self.failed_nodes,
        }
    }

    fn shows_unreachability(&self, now: Instant, has_other_nodes: bool) -> bool {
        let Some(running) = self.running else { return false };
        let runs_on_time = now <= running.last_check + CHECK_GAP_MAX
            && now >= running.since + RUNNING_TIME_MIN
            && running.checks >= CHECKS_MIN;
        let is_recent = |sent_at: &Instant| now < *sent_at + self.evidence_lifetime;
        let mut failed_feeds = self.failed_feeds.iter().flatten();
        runs_on_time
            && failed_feeds.any(|sent_at| is_recent(sent_at) && *sent_at >= running.since)
            && (!has_other_nodes || self.failed_nodes.as_ref().is_some_and(is_recent))
    }
}
