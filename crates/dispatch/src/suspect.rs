//! Losses of one fingerprint, and their form for peers.

use std::time::Duration;

use wagtailmoor_core::{Instant, TargetId};
use wagtailmoor_derive::value;

use crate::{CrashSettings, Fingerprint};

/// Losses kept for one fingerprint, which is as many as can matter.
const LOSSES_MAX: usize = 8;

/// One loss, as a peer is told.
#[value]
pub struct LossReport {
    /// The target that was lost.
    pub target: TargetId,
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

/// Losses of one fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    losses: Vec<(TargetId, Instant)>,
    answered: Option<Instant>,
}

impl Suspect {
    /// Adds a loss; the last one counts for each target.
    pub(crate) fn lose(&mut self, at: Instant, target: &TargetId) {
        match self.losses.iter().position(|(lost, _)| lost == target) {
            Some(index) => self.losses[index].1 = at.max(self.losses[index].1),
            None if self.losses.len() < LOSSES_MAX => self.losses.push((target.clone(), at)),
            None => {}
        }
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
        self.losses.iter().filter(|(_, at)| counts(*at)).count() >= needed
    }

    pub(crate) fn losses(&self) -> usize {
        self.losses.len()
    }

    pub(crate) fn last_loss(&self) -> Option<Instant> {
        self.losses.iter().map(|(_, at)| *at).max()
    }

    pub(crate) fn expire(&mut self, now: Instant, window: Duration) {
        self.losses.retain(|(_, at)| now.saturating_since(*at) < window);
        self.answered = self.answered.filter(|at| now.saturating_since(*at) < window);
    }

    pub(crate) fn report(&self, now: Instant, fingerprint: Fingerprint) -> SuspectReport {
        let age_ms = |at: Instant| now.saturating_since(at).as_millis() as u64;
        let losses = self.losses.iter();
        SuspectReport {
            fingerprint,
            losses: losses
                .map(|(target, at)| LossReport { target: target.clone(), age_ms: age_ms(*at) })
                .collect(),
            answered_age_ms: self.answered.map(age_ms),
        }
    }

    pub(crate) fn merge(&mut self, now: Instant, report: &SuspectReport, window: Duration) {
        let young = |age_ms: u64| Duration::from_millis(age_ms) < window;
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        for loss in report.losses.iter().filter(|loss| young(loss.age_ms)) {
            self.lose(at(loss.age_ms), &loss.target);
        }
        if let Some(age_ms) = report.answered_age_ms.filter(|age_ms| young(*age_ms)) {
            self.answer(at(age_ms));
        }
    }
}
