//! The latest row that a node knows.

use wagtailmoor_core::{Generation, Instant};

use crate::{Panel, StoredRow};

/// The latest row that a node knows, and how it was learnt.
#[derive(Debug)]
pub(crate) struct RowView {
    stored: Option<StoredRow>,
    active: Generation,
    recovered: bool,
    has_read_store: bool,
    unchanged_since: Instant,
    panel_since: Instant,
}

impl RowView {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            stored: None,
            active: Generation::default(),
            recovered: false,
            has_read_store: false,
            unchanged_since: now,
            panel_since: now,
        }
    }

    pub(crate) fn stored(&self) -> Option<&StoredRow> {
        self.stored.as_ref()
    }

    /// Returns whether this incarnation has learnt the row from a source that rules out that a
    /// previous incarnation released the newest generation of the row.
    pub(crate) fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns the highest generation known to be active.
    pub(crate) fn active(&self) -> Generation {
        self.active
    }

    /// Returns whether this incarnation has read the store. A previous incarnation cannot have
    /// released newer generations than the one read.
    pub(crate) fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    pub(crate) fn mark_store_read(&mut self) {
        self.has_read_store = true;
    }

    /// Requires that the row is learnt again, from the store or from both other panel members.
    pub(crate) fn require_recovery(&mut self) {
        self.recovered = false;
    }

    pub(crate) fn unchanged_since(&self) -> Instant {
        self.unchanged_since
    }

    /// Returns when the newest panel was learnt.
    pub(crate) fn panel_since(&self) -> Instant {
        self.panel_since
    }

    pub(crate) fn newest_panel(&self) -> Option<&Panel> {
        self.stored.as_ref().map(|stored| &stored.row.panel)
    }

    /// Iterates over the active panel and the newest panel, which may not be active yet.
    pub(crate) fn valid_panels(&self) -> impl Iterator<Item = &Panel> {
        let newest = self.newest_panel().map(|panel| panel.generation);
        let panels = self.stored.iter().flat_map(|stored| stored.row.panels());
        panels.filter(move |panel| {
            panel.generation == self.active || Some(panel.generation) == newest
        })
    }

    /// Records that the store has no row.
    pub(crate) fn learn_absent(&mut self, now: Instant) {
        self.has_read_store = true;
        if !self.recovered {
            self.recovered = true;
            self.unchanged_since = now;
        }
    }

    /// Records a row and returns whether it is newer than the known one.
    pub(crate) fn learn(&mut self, now: Instant, stored: StoredRow) -> bool {
        self.recovered = true;
        let (version, generation) = match &self.stored {
            Some(known) => (Some(known.version), Some(known.row.panel.generation)),
            None => (None, None),
        };
        if version >= Some(stored.version) {
            return false;
        }
        self.unchanged_since = now;
        if generation != Some(stored.row.panel.generation) {
            self.panel_since = now;
        }
        self.learn_active(stored.row.active_panel().generation);
        self.stored = Some(stored);
        true
    }

    pub(crate) fn learn_active(&mut self, generation: Generation) {
        self.active = self.active.max(generation);
    }
}
