//! Requests that crash the targets that run them.

use wagtailmoor_core::{Instant, SortedVec, TargetId};

use crate::answered_set::AnsweredSet;
use crate::suspect::Suspect;
use crate::{CrashSettings, Fingerprint, SuspectReport};

/// Requests that crash the targets that run them, by fingerprint.
///
/// A connection lost after bytes were sent and before the response head is one loss of the
/// fingerprint on that target. An answer to the same fingerprint voids the losses before it.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    settings: CrashSettings,
    suspects: SortedVec<Fingerprint, Suspect>,
    answered: AnsweredSet,
    reported: Option<Fingerprint>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, suspects: SortedVec::new(), answered: AnsweredSet::new(), reported: None }
    }

    /// Records a loss and returns whether the fingerprint is to blame for it.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: &TargetId,
    ) -> bool {
        let answered = self.answered.get(now, fingerprint, self.settings.window);
        self.make_room(now, fingerprint);
        let suspect = self.suspects.get_or_insert_with(fingerprint, Suspect::default);
        suspect.lose(now, target);
        answered.into_iter().for_each(|at| suspect.answer(at));
        suspect.is_refused(now, &self.settings)
    }

    /// Notes that a target answered a request with this fingerprint, other than by a server error.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answered.insert(now, fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.answer(now);
        }
    }

    /// Returns whether requests with this fingerprint are refused.
    pub fn refuses(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_refused(now, &self.settings))
    }

    /// Returns the losses to tell a peer, bounded in number; successive calls cover all in turn.
    pub fn report(&mut self, now: Instant) -> Vec<SuspectReport> {
        let after = self.reported;
        let later = self.suspects.iter().filter(|(key, _)| after.is_none_or(|last| **key > last));
        let reports: Vec<SuspectReport> = later
            .take(self.settings.report_max)
            .map(|(fingerprint, suspect)| suspect.report(now, *fingerprint))
            .collect();
        let full = reports.len() == self.settings.report_max;
        self.reported = reports.last().filter(|_| full).map(|report| report.fingerprint);
        reports
    }

    /// Takes the losses that a peer reports.
    pub fn merge(&mut self, now: Instant, reports: &[SuspectReport]) {
        let window = self.settings.window;
        for report in reports.iter().take(self.settings.report_max) {
            let answered = self.answered.get(now, report.fingerprint, window);
            self.make_room(now, report.fingerprint);
            let suspect = self.suspects.get_or_insert_with(report.fingerprint, Suspect::default);
            suspect.merge(now, report, window);
            answered.into_iter().for_each(|at| suspect.answer(at));
        }
        self.expire(now);
    }

    /// Forgets losses older than the window.
    pub fn expire(&mut self, now: Instant) {
        let window = self.settings.window;
        self.suspects.retain(|_, suspect| {
            suspect.expire(now, window);
            suspect.last_loss().is_some()
        });
    }

    /// Returns the number of losses that are known of a fingerprint.
    pub fn losses(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::losses)
    }

    /// Returns the number of fingerprints with losses.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no fingerprint has losses.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        let full = self.suspects.len() >= self.settings.fingerprints_max;
        if !full || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_loss());
        let oldest = oldest.map(|(key, _)| *key);
        match oldest {
            Some(key) if self.suspects.len() >= self.settings.fingerprints_max => {
                self.suspects.remove(&key);
            }
            _ => {}
        }
    }
}
