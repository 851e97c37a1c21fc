//! Requests promises and releases from panel members.

use std::time::Duration;

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, ZoneId};

use crate::campaigns::Campaigns;
use crate::contacts::Contacts;
use crate::knowledge::Knowledge;
use crate::voter::Voter;
use crate::{LeaseAction, LeaseSettings, Panel, PromiseRequest, RequestId, RequestKind, StoredRow};

/// Decides when this node requests promises and releases from panel members, and when it has enough
/// of them.
#[derive(Debug)]
pub(crate) struct Campaigner {
    node: NodeId,
    zone: ZoneId,
    pub(crate) campaigns: Campaigns,
    pub(crate) contacts: Contacts,
}

impl Campaigner {
    pub(crate) fn new(
        now: Instant,
        node: NodeId,
        zone: ZoneId,
        incarnation: Incarnation,
        settings: &LeaseSettings,
    ) -> Self {
        let campaigns = Campaigns::new(now, settings.promise());
        Self { node, zone, campaigns, contacts: Contacts::new(incarnation) }
    }

    /// Stops all campaigns and ignores replies that are still to come.
    pub(crate) fn stop(&mut self) {
        self.campaigns.stop();
        self.contacts.ignore_pending();
    }

    /// Learns a row from another node and returns whether this node may rely on it. If not, the
    /// recovery runs again and the campaigns end.
    pub(crate) fn learn_from_peer(
        &mut self,
        now: Instant,
        knowledge: &mut Knowledge,
        stored: &StoredRow,
    ) -> bool {
        let was_recovered = knowledge.view.is_recovered();
        let is_reliable = knowledge.learn_from_peer(now, stored);
        if is_reliable {
            self.end_old(knowledge);
        } else if was_recovered {
            self.stop();
        }
        is_reliable
    }

    /// Ends the campaigns for generations below the active one.
    pub(crate) fn end_old(&mut self, knowledge: &Knowledge) {
        let active = knowledge.view.active();
        self.campaigns.retain(|generation| generation >= active);
    }

    /// Stops all campaigns and tells the panel members that this node no longer relies on their
    /// promises, so that they can promise to another node at once.
    pub(crate) fn withdraw(&mut self, now: Instant, voter: &mut Voter) -> Vec<LeaseAction> {
        let nodes = self.others(self.campaigns.panels());
        self.stop();
        voter.withdraw_own(now, &self.node);
        let withdrawals = nodes.into_iter().map(|node| {
            let id = self.contacts.next_id();
            let request = self.build_request(id, RequestKind::Withdraw);
            LeaseAction::SendNodeRequest { node, request }
        });
        withdrawals.collect()
    }

    /// Returns the newest generation if it is not active, this node has a quorum of it and every
    /// older panel has been released.
    pub(crate) fn activated(&self, now: Instant, knowledge: &Knowledge) -> Option<Generation> {
        let stored = knowledge.view.stored()?;
        let newest = stored.row.panel.generation;
        let campaign = self.campaigns.get(newest)?;
        let released = |panel: &Panel| campaign.has_released(panel, &self.node);
        let is_activated = knowledge.view.active() < newest
            && self.campaigns.quorum_until(newest) > Some(now)
            && knowledge.voter.can_promise_to(now, &self.node)
            && stored.row.superseded.iter().all(released);
        is_activated.then_some(newest)
    }

    /// Starts or continues campaigns, and requests promises and releases when they are due.
    pub(crate) fn campaign(
        &mut self,
        now: Instant,
        settings: &LeaseSettings,
        knowledge: &mut Knowledge,
        actions: &mut Vec<LeaseAction>,
    ) {
        if !self.campaigns.has_any_quorum(now) && now >= knowledge.voter.promise_end() {
            self.stop();
        }
        let released = knowledge.voter.released();
        let may_campaign =
            |panel: &&Panel| panel.contains(&self.node) && panel.generation > released;
        let panels: Vec<Panel> =
            knowledge.view.valid_panels().filter(may_campaign).cloned().collect();
        let is_start = self.campaigns.is_empty();
        if is_start
            && (panels.is_empty() || now < self.campaign_start(settings, knowledge, &panels))
        {
            return;
        }
        if is_start {
            self.campaigns.start(now);
        }
        self.campaigns.set_panels(panels);
        if !self.campaigns.is_request_due(now) {
            return;
        }
        let has_quorum = self.campaigns.has_any_quorum(now);
        if has_quorum {
            self.campaigns.end_search();
        }
        // Without a quorum, the promise of the node to itself is not renewed. Two candidates that
        // block each other then start again, one after the other.
        if is_start || has_quorum {
            self.promise_to_self(now, settings, &mut knowledge.voter);
        }
        let is_pending = self.request_releases(now, knowledge, actions);
        self.request_promises(now, knowledge, actions);
        let interval_ms = if has_quorum && !is_pending {
            settings.request_interval_ms
        } else {
            settings.retry_interval_ms
        };
        self.campaigns.request_again_at(now + Duration::from_millis(interval_ms));
    }

    /// Returns when this node may start a campaign: after the promise that it has granted, delayed
    /// by its position in the panel.
    fn campaign_start(
        &self,
        settings: &LeaseSettings,
        knowledge: &Knowledge,
        panels: &[Panel],
    ) -> Instant {
        // The members of all panels are in one order, since two nodes that start at the same time
        // block each other.
        let newest = knowledge.view.newest_panel().and_then(|panel| panel.index(&self.node));
        let older = || panels.iter().find_map(|panel| panel.index(&self.node)).unwrap_or_default();
        let index = newest.unwrap_or_else(|| Panel::MAX_MEMBERS + older());
        let free_from = knowledge.voter.promise_end().max(knowledge.view.panel_since());
        free_from + settings.stagger(index)
    }

    fn promise_to_self(&mut self, now: Instant, settings: &LeaseSettings, voter: &mut Voter) {
        let id = self.contacts.next_id();
        voter.grant(now, &self.node, id, settings);
        self.campaigns.record_own_grant(&self.node, now);
    }

    fn request_promises(
        &mut self,
        now: Instant,
        knowledge: &Knowledge,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(row) = knowledge.view.stored() else { return };
        let panels: Vec<Panel> = self.campaigns.panels().cloned().collect();
        for panel in panels {
            let generation = panel.generation;
            for node in panel.members {
                if node == self.node {
                    continue;
                }
                let stamp = self.contacts.stamp(&node);
                let tenure =
                    stamp.and_then(|(stamp, at)| knowledge.tenure.remaining(generation, stamp, at));
                let active = knowledge.view.active();
                let kind = RequestKind::Promise { row: row.clone(), generation, active, tenure };
                actions.push(self.request(now, node, kind));
            }
        }
    }

    /// Requests releases if the newest generation is not active yet and has a quorum. Returns
    /// whether releases are missing.
    fn request_releases(
        &mut self,
        now: Instant,
        knowledge: &Knowledge,
        actions: &mut Vec<LeaseAction>,
    ) -> bool {
        let Some(row) = knowledge.view.stored() else { return false };
        let newest = row.row.panel.generation;
        let has_quorum = self.campaigns.quorum_until(newest) > Some(now);
        if newest == knowledge.view.active() || !has_quorum {
            return false;
        }
        let generation = Generation::new(newest.get() - 1);
        for node in self.others(row.row.superseded.iter()) {
            let kind = RequestKind::Release { row: row.clone(), generation };
            actions.push(self.request(now, node, kind));
        }
        true
    }

    /// Returns a request to a node, whose reply is awaited.
    pub(crate) fn request(&mut self, now: Instant, node: NodeId, kind: RequestKind) -> LeaseAction {
        let id = self.contacts.register(now, node.clone());
        LeaseAction::SendNodeRequest { node, request: self.build_request(id, kind) }
    }

    fn build_request(&self, id: RequestId, kind: RequestKind) -> PromiseRequest {
        PromiseRequest { id, zone: self.zone.clone(), from: self.node.clone(), kind }
    }

    /// Returns the members of panels other than this node.
    fn others<'p>(&self, panels: impl Iterator<Item = &'p Panel>) -> Vec<NodeId> {
        let members = panels.flat_map(|panel| &panel.members);
        let mut nodes: Vec<NodeId> = members.filter(|node| **node != self.node).cloned().collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}
