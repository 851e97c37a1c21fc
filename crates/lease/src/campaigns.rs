//! The campaigns of a node for all valid generations.

use std::time::Duration;

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, SortedVec};

use crate::Panel;
use crate::campaign::Campaign;

/// The campaigns of this node, at most one for each valid generation.
#[derive(Debug)]
pub(crate) struct Campaigns {
    by_generation: SortedVec<Generation, Campaign>,
    /// How long a promise of another node lasts.
    promise: Duration,
    started_at: Instant,
    /// When this node began to request promises. Reset when it gets a quorum or grants a promise to
    /// another node.
    requesting_since: Option<Instant>,
    next_request_at: Instant,
}

impl Campaigns {
    pub(crate) fn new(now: Instant, promise: Duration) -> Self {
        Self {
            by_generation: SortedVec::new(),
            promise,
            started_at: now,
            requesting_since: None,
            next_request_at: now,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_generation.is_empty()
    }

    /// Returns when the campaigns last started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns when this node began to request promises, if it has had no quorum since.
    pub(crate) fn requesting_since(&self) -> Option<Instant> {
        self.requesting_since
    }

    /// Returns whether requests are due.
    pub(crate) fn is_request_due(&self, now: Instant) -> bool {
        now >= self.next_request_at
    }

    /// Sets when the next requests are due.
    pub(crate) fn request_again_at(&mut self, at: Instant) {
        self.next_request_at = at;
    }

    /// Records that campaigns start now. Requests are due at once.
    pub(crate) fn start(&mut self, now: Instant) {
        self.started_at = now;
        self.next_request_at = now;
        self.requesting_since.get_or_insert(now);
    }

    /// Records that this node has a quorum or supports another node.
    pub(crate) fn end_search(&mut self) {
        self.requesting_since = None;
    }

    /// Stops all campaigns.
    pub(crate) fn stop(&mut self) {
        self.by_generation.clear();
    }

    /// Replaces the campaigns by one for each panel. Those of the same generation continue.
    pub(crate) fn set_panels(&mut self, panels: Vec<Panel>) {
        self.by_generation
            .retain(|generation, _| panels.iter().any(|panel| panel.generation == *generation));
        for panel in panels {
            self.by_generation.get_or_insert_with(panel.generation, || Campaign::new(panel));
        }
    }

    /// Keeps only the campaigns whose generation satisfies a condition.
    pub(crate) fn retain(&mut self, keep: impl Fn(Generation) -> bool) {
        self.by_generation.retain(|generation, _| keep(*generation));
    }

    pub(crate) fn get(&self, generation: Generation) -> Option<&Campaign> {
        self.by_generation.get(&generation)
    }

    /// Iterates over the panels of the campaigns.
    pub(crate) fn panels(&self) -> impl Iterator<Item = &Panel> {
        self.by_generation.values().map(Campaign::panel)
    }

    /// Returns when the promises of a quorum of a generation end, or `None` if no quorum has
    /// promised.
    pub(crate) fn quorum_until(&self, generation: Generation) -> Option<Instant> {
        self.get(generation)?.quorum_until(self.promise)
    }

    /// Returns whether this node has unexpired promises from a quorum of any generation.
    pub(crate) fn has_any_quorum(&self, now: Instant) -> bool {
        self.by_generation.keys().any(|generation| self.quorum_until(*generation) > Some(now))
    }

    /// Records a promise for a generation, whose request was sent at `sent`.
    pub(crate) fn record_grant(&mut self, generation: Generation, node: &NodeId, sent: Instant) {
        if let Some(campaign) = self.by_generation.get_mut(&generation) {
            campaign.record_grant(node.clone(), sent);
        }
    }

    /// Records the promise of this node to itself, which counts for all generations.
    pub(crate) fn record_own_grant(&mut self, own: &NodeId, now: Instant) {
        for campaign in self.by_generation.values_mut() {
            campaign.record_grant(own.clone(), now);
        }
    }

    /// Records the release of a generation and of all below, whose request was sent at `sent`.
    pub(crate) fn record_release(
        &mut self,
        now: Instant,
        generation: Generation,
        node: &NodeId,
        incarnation: Incarnation,
        sent: Instant,
    ) {
        let campaigns = self.by_generation.iter_mut();
        for (_, campaign) in campaigns.filter(|(own, _)| **own <= generation.next()) {
            campaign.record_release(now, node.clone(), incarnation, sent);
        }
    }

    /// Drops the releases of a node that has restarted since.
    pub(crate) fn discard_stale_releases(&mut self, node: &NodeId, incarnation: Incarnation) {
        for campaign in self.by_generation.values_mut() {
            campaign.discard_stale_release(node, incarnation);
        }
    }
}
