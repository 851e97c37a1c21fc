//! Detection of requests that crash the targets that run them.

use std::cmp::Reverse;

use wagtailmoor_core::{Incarnation, Instant, SortedVec, TargetId};

use crate::answered_set::AnsweredSet;
use crate::suspect::Suspect;
use crate::{CrashSettings, Fingerprint, LedgerVersion, SuspectReport, SuspectUpdate};

/// Tracks, by fingerprint, requests that crash the targets that run them.
///
/// A connection lost after bytes were sent and before the response head arrived counts as one loss
/// of the fingerprint on that target. An answer to the same fingerprint voids all earlier losses.
///
/// Nodes that report to a leader send it their local observations with
/// [`Self::unconfirmed_reports`], and the leader replies with the fingerprints that it refuses from
/// [`Self::refused_since`]. Nodes without a leader exchange [`Self::next_report`].
#[derive(Clone, Debug)]
pub struct CrashLedger {
    settings: CrashSettings,
    suspects: SortedVec<Fingerprint, Suspect>,
    answered: AnsweredSet,
    version: LedgerVersion,
    /// Last reported fingerprint among those not refused and among those refused. `None` starts the
    /// next report from the beginning.
    report_cursors: [Option<Fingerprint>; 2],
    /// Fingerprints of the last reports sent to the leader, and the last change that they include.
    last_sent: (Vec<Fingerprint>, u64),
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspects: SortedVec::new(),
            answered: AnsweredSet::new(),
            version: LedgerVersion::default(),
            report_cursors: [None; 2],
            last_sent: (Vec::new(), 0),
        }
    }

    /// Sets the id that distinguishes this ledger from those of other processes.
    pub fn with_id(mut self, ledger: u64) -> Self {
        self.version.ledger = ledger;
        self
    }

    /// Records a loss and returns whether the fingerprint is refused because of its losses.
    ///
    /// Each incarnation of a target counts separately, because a crashed target may restart under
    /// the same id.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> bool {
        let answered = self.answered.get(now, fingerprint, self.settings.window);
        self.evict_if_full(now, fingerprint);
        let change = self.version.advance();
        let suspect = self.suspects.get_or_insert_with(fingerprint, Suspect::default);
        suspect.record_loss(now, target, incarnation);
        answered.into_iter().for_each(|at| suspect.record_answer(at));
        suspect.record_local_change(change);
        suspect.is_refused(now, &self.settings)
    }

    /// Records that a target answered a request with this fingerprint, other than with a server
    /// error.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answered.insert(now, fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.record_answer(now);
            suspect.record_local_change(self.version.advance());
        }
    }

    /// Returns whether requests with this fingerprint are refused.
    pub fn refuses(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_refused(now, &self.settings))
    }

    /// Returns at most `report_max` fingerprints to send to a peer; successive calls cycle through
    /// all of them. Half of each report is reserved for refused fingerprints, so that many others
    /// do not delay them.
    pub fn next_report(&mut self, now: Instant) -> Vec<SuspectReport> {
        let refused = self.collect_reports(now, true, self.settings.report_max / 2);
        let rest = self.collect_reports(now, false, self.settings.report_max - refused.len());
        refused.into_iter().chain(rest).collect()
    }

    fn collect_reports(
        &mut self,
        now: Instant,
        refused: bool,
        count_max: usize,
    ) -> Vec<SuspectReport> {
        let cursor = self.report_cursors[usize::from(refused)];
        let matching = self.suspects.iter().filter(|(key, suspect)| {
            cursor.is_none_or(|last| **key > last)
                && suspect.is_refused(now, &self.settings) == refused
        });
        let reports: Vec<SuspectReport> =
            matching.take(count_max).map(|(key, suspect)| suspect.report(now, *key)).collect();
        let is_full = reports.len() == count_max;
        let last = reports.last().filter(|_| is_full).map(|report| report.fingerprint);
        self.report_cursors[usize::from(refused)] = last;
        reports
    }

    /// Returns local observations that the leader has not confirmed yet: at most `report_max`
    /// fingerprints, those with the most losses first.
    pub fn unconfirmed_reports(&mut self, now: Instant) -> Vec<SuspectReport> {
        let mut unconfirmed: Vec<(&Fingerprint, &Suspect)> =
            self.suspects.iter().filter(|(_, suspect)| suspect.is_unconfirmed()).collect();
        unconfirmed.sort_by_key(|(_, suspect)| Reverse((suspect.losses(), suspect.last_change())));
        unconfirmed.truncate(self.settings.report_max);
        self.last_sent = (unconfirmed.iter().map(|(key, _)| **key).collect(), self.version.change);
        unconfirmed.into_iter().map(|(key, suspect)| suspect.report(now, *key)).collect()
    }

    /// Marks the fingerprints returned by the last [`Self::unconfirmed_reports`] as received by the
    /// leader.
    pub fn confirm_reports(&mut self) {
        let (fingerprints, change) = std::mem::take(&mut self.last_sent);
        for key in fingerprints {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.confirm(change);
            }
        }
    }

    /// Marks all local observations as not confirmed, so that a new leader receives them.
    pub fn unconfirm_all(&mut self) {
        self.suspects.iter_mut().for_each(|(_, suspect)| suspect.unconfirm());
    }

    /// Returns at most `report_max` fingerprints that have enough losses to be refused and changed
    /// after the version `known` to a peer. A call with the returned version returns the next ones.
    pub fn refused_since(&self, now: Instant, known: LedgerVersion) -> SuspectUpdate {
        let cursor = if known.ledger == self.version.ledger { known.change } else { 0 };
        let needed = self.settings.losses_to_refuse;
        let mut changed: Vec<(&Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.last_change() > cursor && suspect.losses() >= needed)
            .collect();
        changed.sort_by_key(|(_, suspect)| suspect.last_change());
        let mut version = self.version;
        if changed.len() > self.settings.report_max {
            changed.truncate(self.settings.report_max);
            version.change = changed.last().map_or(cursor, |(_, suspect)| suspect.last_change());
        }
        let suspects =
            changed.into_iter().map(|(key, suspect)| suspect.report(now, *key)).collect();
        SuspectUpdate { version, suspects }
    }

    /// Merges the losses and answers reported by a peer.
    pub fn merge(&mut self, now: Instant, reports: &[SuspectReport]) {
        let window = self.settings.window;
        for report in reports.iter().take(self.settings.report_max) {
            let answered = self.answered.get(now, report.fingerprint, window);
            self.evict_if_full(now, report.fingerprint);
            let suspect = self.suspects.get_or_insert_with(report.fingerprint, Suspect::default);
            if suspect.merge(now, report, window) {
                suspect.record_peer_change(self.version.advance());
            }
            answered.into_iter().for_each(|at| suspect.record_answer(at));
        }
        self.expire(now);
    }

    /// Drops losses older than the window.
    pub fn expire(&mut self, now: Instant) {
        let window = self.settings.window;
        self.suspects.retain(|_, suspect| {
            suspect.expire(now, window);
            suspect.last_loss().is_some()
        });
    }

    /// Returns the number of losses recorded for a fingerprint.
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

    fn evict_if_full(&mut self, now: Instant, fingerprint: Fingerprint) {
        let is_full = self.suspects.len() >= self.settings.fingerprints_max;
        if !is_full || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        // Refused fingerprints go last: they are no longer sent, so their losses are always old.
        let evicted = self.suspects.iter().min_by_key(|(_, suspect)| {
            (suspect.is_refused(now, &self.settings), suspect.last_loss())
        });
        let evicted = evicted.map(|(key, _)| *key);
        match evicted {
            Some(key) if self.suspects.len() >= self.settings.fingerprints_max => {
                self.suspects.remove(&key);
            }
            _ => {}
        }
    }
}
