//! Whether requests may be decided by the data that this node has.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Part of the time in which a change must be in force after which data count as old, in percent.
/// The rest covers the time from the decision to the first byte at a target.
const AGE_MAX_PERCENT: u32 = 75;

/// Lower bound of the age from which data count as old. The store confirms data every 0.4 s.
const AGE_MAX_MIN: Duration = Duration::from_millis(1_000);

/// A node without a source decides by old data for this long after the call in which one failed. A node that
/// has had a path to the store for three seconds must have the current data.
const FAILURE_LIFETIME: Duration = Duration::from_millis(2_000);

/// Whether a request may be decided by the data that this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Changes that must be in force are known.
    Current,
    /// The data are old, and it isn't known whether a source can confirm them.
    Pending,
    /// The data are old, and no source can be reached. The node serves what it can.
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
    /// When the latest call was sent in which a source failed; `None` unless a request has waited in vain since the data were
    /// last current.
    failed_at: Option<Instant>,
}

impl DecisionGate {
    /// Creates a gate for changes that must be in force within `apply_time`.
    pub fn new(apply_time: Duration) -> Self {
        let age_max = apply_time * AGE_MAX_PERCENT / 100;
        Self { age_max: age_max.max(AGE_MAX_MIN), failed_at: None }
    }

    /// Returns the age up to which data are current.
    pub fn age_max(&self) -> Duration {
        self.age_max
    }

    /// Returns whether a request may be decided by data of an age.
    pub fn check(&mut self, now: Instant, age: Duration) -> Confirmation {
        match self.failed_at {
            _ if age <= self.age_max => {
                self.failed_at = None;
                Confirmation::Current
            }
            Some(failed_at) if now < failed_at + FAILURE_LIFETIME => Confirmation::Unreachable,
            _ => {
                self.failed_at = None;
                Confirmation::Pending
            }
        }
    }

    /// Records that a request has waited in vain for a confirmation.
    pub fn record_unconfirmed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Records that a source failed to confirm the data in a call that was sent at `sent_at`.
    pub fn record_failure(&mut self, now: Instant, sent_at: Instant) {
        let is_unreachable = |failed_at: &Instant| now < *failed_at + FAILURE_LIFETIME;
        let failed_at = self.failed_at.filter(is_unreachable);
        self.failed_at = failed_at.map(|failed_at| failed_at.max(sent_at));
    }
}
