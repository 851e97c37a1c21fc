//! Losses of one fingerprint, and the messages that report them to peers.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};
use wagtailmoor_derive::value;

use crate::{CrashSettings, Fingerprint};

/// Maximum number of losses kept per fingerprint. The refusal thresholds are lower.
const MAX_LOSSES: usize = 8;

/// Time difference up to which two reported answers are treated as the same one.
const SAME_ANSWER_TOLERANCE: Duration = Duration::from_secs(1);

/// One loss, as reported to a peer.
#[value]
pub struct LossReport {
    /// The target to which the connection was lost.
    pub target: TargetId,
    /// Incarnation of the target; zero if unknown, which matches any.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Time since the loss, in milliseconds.
    pub age_ms: u64,
}

/// Losses of one fingerprint, as reported to a peer.
#[value]
pub struct SuspectReport {
    /// Fingerprint of the requests that were in flight when connections were lost.
    pub fingerprint: Fingerprint,
    /// Last loss on each incarnation of each target.
    pub losses: Vec<LossReport>,
    /// Time in milliseconds since a target last answered such a request, or `None` if no answer is
    /// known.
    pub answered_age_ms: Option<u64>,
}

/// The last loss on one incarnation of a target.
#[derive(Clone, Debug)]
struct Loss {
    target: TargetId,
    incarnation: Incarnation,
    at: Instant,
}

/// Losses of one fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    losses: Vec<Loss>,
    answered: Option<Instant>,
    /// Number of the last change that must be reported to peers.
    last_change: u64,
    /// Whether this process itself observed a loss or an answer.
    has_local_data: bool,
    /// Whether there are local observations that the leader has not confirmed.
    unconfirmed: bool,
}

impl Suspect {
    /// Records a loss. Only the last loss on each incarnation of a target is kept. Returns whether
    /// the number of losses increased.
    pub(crate) fn record_loss(
        &mut self,
        at: Instant,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> bool {
        let unknown = Incarnation::default();
        let same = |loss: &Loss| {
            let either_unknown = [loss.incarnation, incarnation].contains(&unknown);
            loss.target == *target && (loss.incarnation == incarnation || either_unknown)
        };
        match self.losses.iter().position(same) {
            Some(index) => {
                let loss = &mut self.losses[index];
                loss.at = loss.at.max(at);
                loss.incarnation = loss.incarnation.max(incarnation);
                false
            }
            None if self.losses.len() < MAX_LOSSES => {
                self.losses.push(Loss { target: target.clone(), incarnation, at });
                true
            }
            None => false,
        }
    }

    /// Records the number of a change that this process observed itself.
    pub(crate) fn record_local_change(&mut self, change: u64) {
        self.last_change = change;
        self.has_local_data = true;
        self.unconfirmed = true;
    }

    /// Records the number of a change that a peer reported.
    pub(crate) fn record_peer_change(&mut self, change: u64) {
        self.last_change = change;
    }

    /// Records that the leader has received all changes up to this number.
    pub(crate) fn confirm(&mut self, change: u64) {
        self.unconfirmed &= self.last_change > change;
    }

    /// Marks the local observations, if there are any, as not confirmed.
    pub(crate) fn unconfirm(&mut self) {
        self.unconfirmed = self.has_local_data;
    }

    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Records an answer, which shows that earlier losses had another cause.
    pub(crate) fn record_answer(&mut self, at: Instant) {
        self.answered = Some(self.answered.map_or(at, |last| at.max(last)));
    }

    /// Returns whether the losses since the last answer reach the refusal threshold.
    pub(crate) fn is_refused(&self, now: Instant, settings: &CrashSettings) -> bool {
        let counts = |at: Instant| {
            self.answered.is_none_or(|answered_at| at > answered_at)
                && now.saturating_since(at) < settings.window
        };
        let needed = match self.answered {
            Some(_) => settings.losses_to_refuse_answered,
            None => settings.losses_to_refuse,
        };
        self.losses.iter().filter(|loss| counts(loss.at)).count() >= needed
    }

    pub(crate) fn losses(&self) -> usize {
        self.losses.len()
    }

    pub(crate) fn last_loss(&self) -> Option<Instant> {
        self.losses.iter().map(|loss| loss.at).max()
    }

    pub(crate) fn expire(&mut self, now: Instant, window: Duration) {
        self.losses.retain(|loss| now.saturating_since(loss.at) < window);
        self.answered = self.answered.filter(|at| now.saturating_since(*at) < window);
    }

    pub(crate) fn report(&self, now: Instant, fingerprint: Fingerprint) -> SuspectReport {
        let age_ms = |at: Instant| now.saturating_since(at).as_millis() as u64;
        let losses = self.losses.iter();
        SuspectReport {
            fingerprint,
            losses: losses
                .map(|loss| LossReport {
                    target: loss.target.clone(),
                    incarnation: loss.incarnation,
                    age_ms: age_ms(loss.at),
                })
                .collect(),
            answered_age_ms: self.answered.map(age_ms),
        }
    }

    /// Merges a report of a peer. Returns whether the result must be reported to other peers.
    pub(crate) fn merge(&mut self, now: Instant, report: &SuspectReport, window: Duration) -> bool {
        let in_window = |age_ms: u64| Duration::from_millis(age_ms) < window;
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let mut changed = false;
        for loss in report.losses.iter().filter(|loss| in_window(loss.age_ms)) {
            changed |= self.record_loss(at(loss.age_ms), &loss.target, loss.incarnation);
        }
        if let Some(age_ms) = report.answered_age_ms.filter(|age_ms| in_window(*age_ms)) {
            let previous = self.answered;
            self.record_answer(at(age_ms));
            // The time of the same answer shifts by the delay of each report.
            changed |=
                previous.is_none_or(|previous| previous + SAME_ANSWER_TOLERANCE < at(age_ms));
        }
        changed
    }
}
