//! How long panels stay valid without a renewal of the row.

use wagtailmoor_core::{Generation, Instant, SortedVec, ZoneId};

use crate::{LeaseSettings, Panel, RemainingTenure, Stamp};

/// The end of the tenure of each panel, as far as this node knows.
#[derive(Debug, Default)]
pub(crate) struct Tenure {
    ends: SortedVec<Generation, Instant>,
    extensions: SortedVec<ZoneId, Instant>,
}

impl Tenure {
    pub(crate) fn end(&self, generation: Generation) -> Option<Instant> {
        self.ends.get(&generation).copied()
    }

    /// Restarts the tenure at a successful write of the row, which was sent at `sent`.
    pub(crate) fn renew(&mut self, panel: &Panel, sent: Instant) {
        self.raise(panel.generation, sent + std::time::Duration::from_millis(panel.tenure_ms));
    }

    /// Records a zone promise whose request was sent at `sent`, and extends the tenure to the time
    /// that all witnesses have promised.
    ///
    /// A tenure that has ended is not extended: another node may already have been given consent.
    pub(crate) fn extend(
        &mut self,
        now: Instant,
        panel: &Panel,
        zone: ZoneId,
        sent: Instant,
        settings: &LeaseSettings,
    ) {
        let end = sent + std::time::Duration::from_millis(settings.zone_promise_ms);
        let latest = self.extensions.get_or_insert_with(zone, || end);
        *latest = end.max(*latest);
        // `None` for a panel without witnesses, so that its tenure is never extended.
        let common = self.promised_until(panel);
        match (common, self.end(panel.generation)) {
            (Some(common), Some(end)) if now < end => self.raise(panel.generation, common),
            _ => {}
        }
    }

    /// Returns the time until which every witness of a panel has promised not to consent to its
    /// replacement, or `None` if a promise is missing or the panel has no witnesses.
    pub(crate) fn promised_until(&self, panel: &Panel) -> Option<Instant> {
        panel.witnesses.iter().map(|zone| self.extensions.get(zone).copied()).min().flatten()
    }

    /// Returns the remaining tenure for a node whose stamp was received at `received`, or `None` if
    /// the end of the tenure is unknown.
    pub(crate) fn remaining(
        &self,
        generation: Generation,
        stamp: Stamp,
        received: Instant,
    ) -> Option<RemainingTenure> {
        let remaining = self.end(generation)?.saturating_since(received);
        let remaining_ms = u64::try_from(remaining.as_millis()).ok()?;
        Some(RemainingTenure { generation, stamp, remaining_ms })
    }

    /// Applies a remaining tenure that counts from a stamp of this node. The peer measured it from
    /// the receipt of the stamp, which is later than the stamp, so message delay only shortens the
    /// tenure.
    pub(crate) fn apply(&mut self, remaining: &RemainingTenure, settings: &LeaseSettings) {
        let stamped = Instant::from_us(remaining.stamp.since_start_us);
        self.raise(remaining.generation, stamped + settings.minus_drift(remaining.remaining_ms));
    }

    pub(crate) fn retain(&mut self, mut keep: impl FnMut(Generation) -> bool) {
        self.ends.retain(|generation, _| keep(*generation));
    }

    fn raise(&mut self, generation: Generation, end: Instant) {
        let latest = self.ends.get_or_insert_with(generation, || end);
        *latest = end.max(*latest);
    }
}
