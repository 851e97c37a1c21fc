//! Requests that crash the targets that run them.

use std::cmp::Reverse;

use wagtailmoor_core::{Incarnation, Instant, SortedVec, TargetId};

use crate::answered_set::AnsweredSet;
use crate::suspect::Suspect;
use crate::{CrashSettings, Fingerprint, LedgerVersion, SuspectNews, SuspectReport};

/// Requests that crash the targets that run them, by fingerprint.
///
/// A connection lost after bytes were sent and before the response head is one loss of the
/// fingerprint on that target. An answer to the same fingerprint voids the losses before it.
///
/// Nodes that report to a leader tell it what they saw themselves with [`Self::own_news`], and it
/// tells them what it refuses with [`Self::refused_since`]. Equal peers exchange [`Self::report`].
#[derive(Clone, Debug)]
pub struct CrashLedger {
    settings: CrashSettings,
    suspects: SortedVec<Fingerprint, Suspect>,
    answered: AnsweredSet,
    version: LedgerVersion,
    /// What was told last of the refused fingerprints and of the others.
    reported: [Option<Fingerprint>; 2],
    /// The fingerprints of the last own news, and the change up to which they were made.
    sent: (Vec<Fingerprint>, u64),
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspects: SortedVec::new(),
            answered: AnsweredSet::new(),
            version: LedgerVersion::default(),
            reported: [None; 2],
            sent: (Vec::new(), 0),
        }
    }

    /// Sets the number by which peers tell this ledger from those of other processes.
    pub fn with_id(mut self, ledger: u64) -> Self {
        self.version.ledger = ledger;
        self
    }

    /// Records a loss and returns whether the fingerprint is to blame for it. Each start of a target
    /// counts: one that crashed may start again under its id.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> bool {
        let answered = self.answered.get(now, fingerprint, self.settings.window);
        self.make_room(now, fingerprint);
        let change = self.version.advance();
        let suspect = self.suspects.get_or_insert_with(fingerprint, Suspect::default);
        suspect.lose(now, target, incarnation);
        answered.into_iter().for_each(|at| suspect.answer(at));
        suspect.note_own_change(change);
        suspect.is_refused(now, &self.settings)
    }

    /// Notes that a target answered a request with this fingerprint, other than by a server error.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answered.insert(now, fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.answer(now);
            suspect.note_own_change(self.version.advance());
        }
    }

    /// Returns whether requests with this fingerprint are refused.
    pub fn refuses(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_refused(now, &self.settings))
    }

    /// Returns the losses to tell a peer, bounded in number; successive calls cover all in turn.
    /// Refused fingerprints have a part of their own, so that they do not wait behind many others.
    pub fn report(&mut self, now: Instant) -> Vec<SuspectReport> {
        let refused = self.take_turn(now, true, self.settings.report_max / 2);
        let rest = self.take_turn(now, false, self.settings.report_max - refused.len());
        refused.into_iter().chain(rest).collect()
    }

    fn take_turn(&mut self, now: Instant, refused: bool, most: usize) -> Vec<SuspectReport> {
        let after = self.reported[usize::from(refused)];
        let chosen = self.suspects.iter().filter(|(key, suspect)| {
            after.is_none_or(|last| **key > last)
                && suspect.is_refused(now, &self.settings) == refused
        });
        let reports: Vec<SuspectReport> =
            chosen.take(most).map(|(key, suspect)| suspect.report(now, *key)).collect();
        let full = reports.len() == most;
        let last = reports.last().filter(|_| full).map(|report| report.fingerprint);
        self.reported[usize::from(refused)] = last;
        reports
    }

    /// Returns what this process saw itself and the leader was not told, bounded in number; those
    /// with most losses first.
    pub fn own_news(&mut self, now: Instant) -> Vec<SuspectReport> {
        let mut untold: Vec<(&Fingerprint, &Suspect)> =
            self.suspects.iter().filter(|(_, suspect)| suspect.is_untold()).collect();
        untold.sort_by_key(|(_, suspect)| Reverse((suspect.losses(), suspect.changed())));
        untold.truncate(self.settings.report_max);
        self.sent = (untold.iter().map(|(key, _)| **key).collect(), self.version.change);
        untold.into_iter().map(|(key, suspect)| suspect.report(now, *key)).collect()
    }

    /// Notes that the last own news reached the leader.
    pub fn confirm_news(&mut self) {
        let (sent, change) = std::mem::take(&mut self.sent);
        for key in sent {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.note_told(change);
            }
        }
    }

    /// Makes all that this process saw itself news again, for another leader.
    pub fn renew_news(&mut self) {
        self.suspects.iter_mut().for_each(|(_, suspect)| suspect.renew());
    }

    /// Returns the fingerprints with enough losses to be refused that changed after what a peer
    /// knows, bounded in number; the next call with the returned version goes on from there.
    pub fn refused_since(&self, now: Instant, known: LedgerVersion) -> SuspectNews {
        let after = if known.ledger == self.version.ledger { known.change } else { 0 };
        let needed = self.settings.losses_to_refuse;
        let mut changed: Vec<(&Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.changed() > after && suspect.losses() >= needed)
            .collect();
        changed.sort_by_key(|(_, suspect)| suspect.changed());
        let mut version = self.version;
        if changed.len() > self.settings.report_max {
            changed.truncate(self.settings.report_max);
            version.change = changed.last().map_or(after, |(_, suspect)| suspect.changed());
        }
        let suspects =
            changed.into_iter().map(|(key, suspect)| suspect.report(now, *key)).collect();
        SuspectNews { version, suspects }
    }

    /// Takes the losses that a peer reports.
    pub fn merge(&mut self, now: Instant, reports: &[SuspectReport]) {
        let window = self.settings.window;
        for report in reports.iter().take(self.settings.report_max) {
            let answered = self.answered.get(now, report.fingerprint, window);
            self.make_room(now, report.fingerprint);
            let suspect = self.suspects.get_or_insert_with(report.fingerprint, Suspect::default);
            if suspect.merge(now, report, window) {
                suspect.note_change(self.version.advance());
            }
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
        // A refused fingerprint has old losses because it is refused.
        let least = self.suspects.iter().min_by_key(|(_, suspect)| {
            (suspect.is_refused(now, &self.settings), suspect.last_loss())
        });
        let least = least.map(|(key, _)| *key);
        match least {
            Some(key) if self.suspects.len() >= self.settings.fingerprints_max => {
                self.suspects.remove(&key);
            }
            _ => {}
        }
    }
}
