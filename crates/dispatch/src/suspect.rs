//! Losses of one fingerprint, and their form for peers.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};
use wagtailmoor_derive::value;

use crate::{CrashSettings, Fingerprint};

/// Losses kept for one fingerprint, which is as many as can matter.
const LOSSES_MAX: usize = 8;

/// Difference up to which two answers count as the same one.
const SAME_ANSWER: Duration = Duration::from_secs(1);

/// One loss, as a peer is told.
#[value]
pub struct LossReport {
    /// The target that was lost.
    pub target: TargetId,
    /// Its start, as far as it is known; zero stands for any.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Time since the loss.
    pub age_ms: u64,
}

/// Losses of one fingerprint, as a peer is told.
#[value]
pub struct SuspectReport {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Last loss on each target.
    pub losses: Vec<LossReport>,
    /// Time since a target last answered such a request.
    pub answered_age_ms: Option<u64>,
}

/// The last loss of one start of a target.
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
    /// Number of the last change that matters to peers.
    changed: u64,
    /// Whether this process saw a loss or an answer itself.
    own: bool,
    /// Whether the leader was not told of it.
    untold: bool,
}

impl Suspect {
    /// Adds a loss, the last of which counts for each start of a target; returns whether it is a
    /// further one.
    pub(crate) fn lose(
        &mut self,
        at: Instant,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> bool {
        let unknown = Incarnation::default();
        let same = |loss: &Loss| {
            let one_unknown = [loss.incarnation, incarnation].contains(&unknown);
            loss.target == *target && (loss.incarnation == incarnation || one_unknown)
        };
        match self.losses.iter().position(same) {
            Some(index) => {
                let loss = &mut self.losses[index];
                loss.at = loss.at.max(at);
                loss.incarnation = loss.incarnation.max(incarnation);
                false
            }
            None if self.losses.len() < LOSSES_MAX => {
                self.losses.push(Loss { target: target.clone(), incarnation, at });
                true
            }
            None => false,
        }
    }

    /// Notes a change that this process saw itself.
    pub(crate) fn note_own_change(&mut self, change: u64) {
        self.changed = change;
        self.own = true;
        self.untold = true;
    }

    /// Notes a change that a peer reported.
    pub(crate) fn note_change(&mut self, change: u64) {
        self.changed = change;
    }

    /// Notes that the leader knows all changes up to one.
    pub(crate) fn note_told(&mut self, change: u64) {
        self.untold &= self.changed > change;
    }

    /// Makes what this process saw itself news again.
    pub(crate) fn renew(&mut self) {
        self.untold = self.own;
    }

    pub(crate) fn is_untold(&self) -> bool {
        self.untold
    }

    pub(crate) fn changed(&self) -> u64 {
        self.changed
    }

    /// Notes an answer, which shows that earlier losses had another cause.
    pub(crate) fn answer(&mut self, at: Instant) {
        self.answered = Some(self.answered.map_or(at, |last| at.max(last)));
    }

    /// Returns whether the losses since the last answer suffice to refuse the fingerprint.
    pub(crate) fn is_refused(&self, now: Instant, settings: &CrashSettings) -> bool {
        let counts = |at: Instant| {
            self.answered.is_none_or(|answer| at > answer)
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

    /// Takes what a peer reports; returns whether it matters to other peers.
    pub(crate) fn merge(&mut self, now: Instant, report: &SuspectReport, window: Duration) -> bool {
        let young = |age_ms: u64| Duration::from_millis(age_ms) < window;
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let mut changed = false;
        for loss in report.losses.iter().filter(|loss| young(loss.age_ms)) {
            changed |= self.lose(at(loss.age_ms), &loss.target, loss.incarnation);
        }
        if let Some(age_ms) = report.answered_age_ms.filter(|age_ms| young(*age_ms)) {
            let known = self.answered;
            self.answer(at(age_ms));
            // The same answer comes back a little later or earlier, as long as it was on its way.
            changed |= known.is_none_or(|known| known + SAME_ANSWER < at(age_ms));
        }
        changed
    }
}
