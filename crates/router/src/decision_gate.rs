//! Whether requests may be decided by the data that this node has.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Part of the time in which a change must be in force after which data count as old, in percent.
/// The rest covers the time from the decision to the first byte at a target.
const AGE_MAX_PERCENT: u32 = 75;

/// Lower bound of the age from which data count as old. The store confirms data every 0.4 s.
const AGE_MAX_MIN: Duration = Duration::from_millis(1_000);

/// After a request waited in vain, or a further call failed, old data decide for this long, counted
/// from the sending of that call. It is shorter than the three seconds after which a node with a
/// path to the store must have the current data.
const FAILURE_LIFETIME: Duration = Duration::from_millis(2_000);

/// A source that can be reached confirms the data within this time: a node starts to call the store
/// within 100 ms, repeats the first failed call at once, and the store answers within milliseconds.
const CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// Checks before the data count as unconfirmed. Each takes a turn of the event loop at least, so a
/// process that was busy or stood still handles its answers in between.
const CHECKS_MIN: u32 = 15;

/// A check that follows the one before it after a longer time starts the wait anew: the process stood
/// still in between, and its sources had no turn.
const CHECK_GAP_MAX: Duration = Duration::from_millis(500);

/// Whether a request may be decided by the data that this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Changes that must be in force are known.
    Current,
    /// The data are old, and it isn't known whether a source can confirm them.
    Pending,
    /// The data are old, and a request has waited in vain for a confirmation. The node serves what it
    /// can.
    Unreachable,
}

/// Decides whether requests may be decided by the data that this node has.
///
/// Invariant: a request is decided by data that were confirmed at most [`DecisionGate::age_max`]
/// before, or after its node waited in vain for a confirmation and while its sources keep failing.
/// Whether the data are old because the sources are silent, or because this process was busy or
/// stood still, makes no difference.
#[derive(Clone, Debug)]
pub struct DecisionGate {
    age_max: Duration,
    /// When `FAILURE_LIFETIME` starts; `None` unless a request has waited in vain since the data were
    /// last current or the time last ran out.
    unreachable_from: Option<Instant>,
    /// The present wait for a confirmation.
    wait: Option<Wait>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Instant,
    last_check: Instant,
    checks: u32,
}

impl DecisionGate {
    /// Creates a gate for changes that must be in force within `apply_time`.
    pub fn new(apply_time: Duration) -> Self {
        let age_max = apply_time * AGE_MAX_PERCENT / 100;
        Self { age_max: age_max.max(AGE_MAX_MIN), unreachable_from: None, wait: None }
    }

    /// Returns the age up to which data are current.
    pub fn age_max(&self) -> Duration {
        self.age_max
    }

    /// Returns whether a request may be decided by data of an age.
    pub fn check(&mut self, now: Instant, age: Duration) -> Confirmation {
        match self.unreachable_from {
            _ if age <= self.age_max => {
                self.unreachable_from = None;
                self.wait = None;
                Confirmation::Current
            }
            Some(from) if now < from + FAILURE_LIFETIME => Confirmation::Unreachable,
            _ => {
                self.unreachable_from = None;
                Confirmation::Pending
            }
        }
    }

    /// Records a check of data that wait for a confirmation. Returns whether requests have waited in
    /// vain; old data decide then.
    pub fn record_check(&mut self, now: Instant) -> bool {
        let new_wait = Wait { since: now, last_check: now, checks: 0 };
        let is_recent = |wait: &Wait| now <= wait.last_check + CHECK_GAP_MAX;
        let mut wait = self.wait.filter(is_recent).unwrap_or(new_wait);
        wait.last_check = now;
        wait.checks += 1;
        let in_vain = wait.checks > CHECKS_MIN && now >= wait.since + CONFIRMATION_TIME;
        self.wait = Some(wait).filter(|_| !in_vain);
        if in_vain {
            self.unreachable_from = Some(now);
        }
        in_vain
    }

    /// Records that a source failed to confirm the data in a call that was sent at `sent_at`.
    pub fn record_failure(&mut self, now: Instant, sent_at: Instant) {
        let is_unreachable = |from: &Instant| now < *from + FAILURE_LIFETIME;
        let current = self.unreachable_from.filter(is_unreachable);
        self.unreachable_from = current.map(|from| from.max(sent_at));
    }
}
