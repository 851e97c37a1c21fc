//! What a node believes about the row, the active generation and its own promises.

use wagtailmoor_core::{Generation, Instant, NodeId, SortedVec, ZoneId};

use crate::StoredRow;
use crate::recovery::Recovery;
use crate::row_view::RowView;
use crate::tenure::Tenure;
use crate::voter::Voter;

/// What this node believes about the row, the active generation, the tenures and its own promises.
///
/// Invariant: this node supports no generation that it may have released, also not one that a
/// previous incarnation released. `Campaigner` and `Responder` support only generations above
/// [`Voter::released`]. [`Self::learn_active`] raises it to the generation below the active one, and
/// [`Self::learn`] to the one below the newest when a restarted node learns its first row. A row on
/// which a previous incarnation may have acted is not relied on, see [`Self::learn_from_peer`].
/// `tests/released_generations.rs` tests the invariant by the answers of a node.
#[derive(Debug)]
pub(crate) struct Knowledge {
    pub(crate) view: RowView,
    pub(crate) voter: Voter,
    pub(crate) recovery: Recovery,
    pub(crate) tenure: Tenure,
    /// Consents of other zones to the replacement of the panels of the row, each with the time at
    /// which the request was sent.
    consents: SortedVec<ZoneId, Instant>,
}

impl Knowledge {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            view: RowView::new(now),
            voter: Voter::new(now),
            recovery: Recovery::default(),
            tenure: Tenure::default(),
            consents: SortedVec::new(),
        }
    }

    /// Learns a row that the store has returned or has taken from this node. `write_sent` is when
    /// this node sent the write of the row, if it did.
    pub(crate) fn learn_from_store(
        &mut self,
        now: Instant,
        stored: StoredRow,
        write_sent: Option<Instant>,
    ) {
        if let Some(sent) = write_sent {
            for panel in stored.row.panels() {
                self.tenure.renew(panel, sent);
            }
        }
        self.view.mark_store_read();
        self.learn(now, stored);
    }

    /// Learns a row from another node and returns whether this node may rely on it.
    ///
    /// If this node has not read the store since its start, a previous incarnation may have
    /// released the generation of a newer row. The node then has to run the recovery again for that
    /// row.
    pub(crate) fn learn_from_peer(&mut self, now: Instant, stored: &StoredRow) -> bool {
        let newest = self.view.newest_panel().map(|panel| panel.generation);
        let is_newer = newest < Some(stored.row.panel.generation);
        if self.view.is_recovered() && (!is_newer || self.view.has_read_store()) {
            self.learn(now, stored.clone());
            return true;
        }
        self.recovery.record_hint(stored);
        self.view.require_recovery();
        false
    }

    /// Learns the state of another node after a restart of this one.
    pub(crate) fn learn_from_state(
        &mut self,
        now: Instant,
        own: &NodeId,
        node: &NodeId,
        stored: StoredRow,
        active: Generation,
        released: Generation,
    ) {
        let known = self.recovery.confirm(own, node, stored, active, released);
        if let Some((stored, active)) = known {
            self.learn(now, stored);
            self.learn_active(active);
        }
    }

    /// Records the consent of a zone whose request was sent at `sent`.
    pub(crate) fn record_consent(&mut self, zone: ZoneId, sent: Instant) {
        self.consents.insert(zone, sent);
    }

    /// Returns when the request was sent to which a zone has consented, if it has consented to the
    /// replacement of the panels of the row.
    pub(crate) fn consent(&self, zone: &ZoneId) -> Option<Instant> {
        self.consents.get(zone).copied()
    }

    /// Learns that a generation is active, so that no older one is supported from now on.
    pub(crate) fn learn_active(&mut self, active: Generation) {
        self.view.learn_active(active);
        let active = self.view.active();
        self.voter.release(Generation::new(active.get().saturating_sub(1)));
        self.tenure.retain(|generation| generation >= active);
    }

    fn learn(&mut self, now: Instant, stored: StoredRow) {
        let was_recovered = self.view.is_recovered();
        if self.view.learn(now, stored) {
            self.consents.clear();
        }
        if let Some(newest) = self.view.newest_panel().filter(|_| !was_recovered) {
            // A previous incarnation may have released any older generation.
            self.voter.release(Generation::new(newest.generation.get().saturating_sub(1)));
        }
        self.learn_active(self.view.active());
    }
}
