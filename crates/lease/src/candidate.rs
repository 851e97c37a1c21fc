//! A node that may become controller of a zone.

use std::mem;
use std::time::Duration;

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RackId, SortedVec, ZoneId};
use wagtailmoor_derive::value;

use crate::campaign::Campaign;
use crate::install::Installer;
use crate::pending_requests::PendingRequests;
use crate::pending_writes::PendingWrites;
use crate::recovery::Recovery;
use crate::row_view::RowView;
use crate::tenure::Tenure;
use crate::voter::Voter;
use crate::witness::Witness;
use crate::{
    Answer, Authority, LeaseAction, LeaseSettings, Panel, PromiseReply, PromiseRequest, Refusal,
    RemainingTenure, RequestKind, Stamp, StoredRow, WriteOutcome, WriteResult, ZoneReply,
    ZoneRequest, ZoneRequestKind,
};

/// A live node that may become a member of a panel.
#[value]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Rack of the node; the members of a panel are on distinct racks where possible.
    pub rack: RackId,
}

/// A node that takes part in the lease of a zone: it may become controller, and it grants promises
/// and releases to other nodes.
///
/// Every method that handles an input takes the current time. Call [`Self::tick`] every few
/// milliseconds and after each input, and [`Self::authority`] before each action as controller.
#[derive(Debug)]
pub struct Candidate {
    pub(crate) node: NodeId,
    zone: ZoneId,
    pub(crate) settings: LeaseSettings,
    incarnation: Incarnation,
    /// When the promises of a previous incarnation have certainly expired.
    ready_at: Instant,
    /// Set by [`Self::resign`] and never reset.
    resigned: bool,
    /// Whether the zone of the lease is not the zone of this node.
    pub(crate) is_foreign: bool,
    /// Live nodes of the zone of the lease, if the candidate is of another zone.
    pub(crate) home_members: Vec<Member>,
    pub(crate) members: Vec<Member>,
    pub(crate) leaving: Vec<NodeId>,
    pub(crate) view: RowView,
    voter: Voter,
    campaigns: SortedVec<Generation, Campaign>,
    campaigns_started: Instant,
    /// When this node began to request promises. Reset when it gets a quorum or grants a promise to
    /// another node.
    campaigning_since: Option<Instant>,
    next_request_at: Instant,
    requests: PendingRequests<NodeId>,
    zone_requests: PendingRequests<(ZoneId, ZoneRequestKind)>,
    stamps: SortedVec<NodeId, (Stamp, Instant)>,
    last_contact: SortedVec<NodeId, Instant>,
    recovery: Recovery,
    pub(crate) tenure: Tenure,
    witness: Witness,
    /// Start of the uninterrupted time for which this node has been controller.
    controller_since: Option<Instant>,
    controller_until: Instant,
    writes: PendingWrites,
    pub(crate) installer: Installer,
    read_sent: Option<Instant>,
    /// When the store last confirmed the row, or `None` after a write that failed or timed out.
    pub(crate) row_confirmed_at: Option<Instant>,
    outbox: Vec<LeaseAction>,
}

impl Candidate {
    /// Creates a candidate of a process that has just started.
    ///
    /// A previous incarnation may have granted promises, so the candidate neither grants nor
    /// requests promises before those have expired.
    pub fn new(
        node: NodeId,
        zone: ZoneId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        now: Instant,
    ) -> Self {
        Self {
            ready_at: now + settings.plus_drift(settings.promise_ms),
            resigned: false,
            is_foreign: false,
            home_members: Vec::new(),
            members: Vec::new(),
            leaving: Vec::new(),
            view: RowView::new(now),
            voter: Voter::new(now),
            campaigns: SortedVec::new(),
            campaigns_started: now,
            campaigning_since: None,
            next_request_at: now,
            requests: PendingRequests::new(incarnation),
            zone_requests: PendingRequests::new(incarnation),
            stamps: SortedVec::new(),
            last_contact: SortedVec::new(),
            recovery: Recovery::default(),
            tenure: Tenure::default(),
            witness: Witness::default(),
            controller_since: None,
            controller_until: now,
            writes: PendingWrites::new(&node, incarnation, now),
            installer: Installer::new(now),
            read_sent: None,
            row_confirmed_at: None,
            outbox: Vec::new(),
            node,
            zone,
            settings,
            incarnation,
        }
    }

    /// Creates a candidate for the lease of another zone, which takes over when all nodes of that
    /// zone are lost.
    ///
    /// The candidate installs a panel of nodes of its own zone, only after the tenure has ended and
    /// with the consent of the controller of a witness. When nodes of the other zone are live
    /// again, it installs a panel of those nodes.
    pub fn for_other_zone(
        node: NodeId,
        zone: ZoneId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        now: Instant,
    ) -> Self {
        Self { is_foreign: true, ..Self::new(node, zone, incarnation, settings, now) }
    }

    /// Sets the live nodes of the zone of the lease. Only called for a candidate of another zone.
    pub fn on_home_members(&mut self, now: Instant, mut members: Vec<Member>) {
        self.update_controller_since(now);
        members.sort_unstable_by(|left, right| left.node.cmp(&right.node));
        self.home_members = members;
    }

    /// Returns whether this node may act as controller.
    pub fn authority(&self, now: Instant) -> Authority {
        let active = self.view.active();
        let until = self.quorum_until(active).min(self.tenure.end(active));
        match until {
            Some(until) if now < until => Authority::Controller { generation: active, until },
            _ if self.view.valid_panels().any(|panel| panel.contains(&self.node)) => {
                Authority::Standby
            }
            _ => Authority::NonMember,
        }
    }

    /// Sets the nodes of the zone that are about to stop. The controller drops them from the panel
    /// while they still respond, so that their stop leaves the panel with a quorum.
    pub fn on_leaving(&mut self, nodes: Vec<NodeId>) {
        self.leaving = nodes;
    }

    /// Sets the other zones of the region, which are the witnesses of the panels that this node
    /// installs.
    pub fn set_other_zones(&mut self, zones: Vec<ZoneId>) {
        self.settings.other_zones = zones;
    }

    /// Returns whether this node is controller and every witness has an unexpired promise not to
    /// consent to the replacement of its panel.
    ///
    /// Witnesses are asked only while the store does not respond to this node.
    pub fn is_supported_by_zones(&self, now: Instant) -> bool {
        let active = self.view.active();
        let panel = self.view.valid_panels().find(|panel| panel.generation == active);
        let until = panel.and_then(|panel| self.tenure.promised_until(panel));
        self.authority(now).is_controller() && until.is_some_and(|until| now < until)
    }

    /// Returns the newest row known to this node.
    pub fn row(&self) -> Option<&StoredRow> {
        self.view.stored()
    }

    /// Sets the live nodes of the zone of this node, including this node.
    pub fn on_members(&mut self, now: Instant, mut members: Vec<Member>) {
        self.update_controller_since(now);
        members.sort_unstable_by(|left, right| left.node.cmp(&right.node));
        self.members = members;
    }

    /// Handles the result of a read of the row; `None` if the store has no row.
    pub fn on_row(&mut self, now: Instant, stored: Option<StoredRow>) {
        self.update_controller_since(now);
        self.read_sent = None;
        self.row_confirmed_at = Some(now);
        match stored {
            None => self.view.learn_absent(now),
            Some(stored) => {
                let sent = self.writes.resolve(&stored);
                self.learn_from_store(now, stored, sent);
            }
        }
        self.update_controller_since(now);
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, now: Instant, result: WriteResult) {
        self.update_controller_since(now);
        match result.outcome {
            WriteOutcome::Done(version) => {
                if let Some((stored, sent)) = self.writes.on_success(now, result.write, version) {
                    self.row_confirmed_at = Some(now);
                    self.learn_from_store(now, stored, Some(sent));
                }
            }
            WriteOutcome::Conflict => {
                self.writes.on_conflict(now, result.write);
                self.row_confirmed_at = None;
            }
            WriteOutcome::Unknown => {
                self.writes.on_unknown(now);
                self.row_confirmed_at = None;
            }
        }
        self.update_controller_since(now);
    }

    /// Handles a request of another node and returns the reply.
    pub fn on_promise_request(&mut self, now: Instant, request: &PromiseRequest) -> PromiseReply {
        self.update_controller_since(now);
        let answer = match &request.kind {
            _ if request.zone != self.zone => Answer::Refused(Refusal::NotMember),
            RequestKind::Withdraw => {
                self.voter.withdraw(now, &request.from, request.id);
                Answer::Withdrawn
            }
            _ if now < self.ready_at => Answer::Refused(Refusal::NotReady),
            RequestKind::Promise { row, generation, active, tenure } => {
                self.answer_promise(now, request, row, *generation, *active, tenure.as_ref())
            }
            RequestKind::Release { row, generation } => {
                self.answer_release(now, &request.from, row, *generation)
            }
            RequestKind::State => self.answer_state(request),
        };
        self.update_controller_since(now);
        PromiseReply {
            id: request.id,
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            answer,
        }
    }

    /// Handles the reply of a node to a request.
    pub fn on_promise_reply(&mut self, now: Instant, node: &NodeId, reply: PromiseReply) {
        self.update_controller_since(now);
        let Some(sent) = self.requests.take(reply.id, node) else { return };
        self.last_contact.insert(node.clone(), now);
        self.stamps.insert(node.clone(), (reply.stamp, now));
        match reply.answer {
            Answer::Granted { generation } => {
                if let Some(campaign) = self.campaigns.get_mut(&generation) {
                    campaign.record_grant(node.clone(), sent);
                }
            }
            Answer::Released { generation } => {
                let campaigns = self.campaigns.iter_mut();
                for (_, campaign) in campaigns.filter(|(own, _)| **own <= generation.next()) {
                    campaign.record_release(now, node.clone(), reply.incarnation, sent);
                }
            }
            Answer::Refused(Refusal::Superseded(stored)) => {
                self.learn_from_peer(now, &stored);
            }
            Answer::State { row: Some(stored), active, released } if !self.view.is_recovered() => {
                let known = self.recovery.confirm(&self.node, node, stored, active, released);
                if let Some((stored, active)) = known {
                    self.learn(now, stored);
                    self.learn_active(active);
                }
            }
            _ => {}
        }
        self.activate(now);
        self.update_controller_since(now);
    }

    /// Handles a request of another zone about its tenure and returns the reply.
    pub fn on_zone_request(&mut self, now: Instant, request: &ZoneRequest) -> ZoneReply {
        self.update_controller_since(now);
        let granted = self.witness.answer(
            now,
            self.controller_since,
            &request.zone,
            request.kind,
            &self.settings,
        );
        ZoneReply { id: request.id, by: self.zone.clone(), kind: request.kind, granted }
    }

    /// Handles the reply of another zone's controller.
    pub fn on_zone_reply(&mut self, now: Instant, reply: ZoneReply) {
        self.update_controller_since(now);
        let receiver = (reply.by, reply.kind);
        let Some(sent) = self.zone_requests.take(reply.id, &receiver) else { return };
        match (receiver, reply.granted) {
            ((zone, ZoneRequestKind::Extend), true) => {
                let active = self.view.active();
                if let Some(panel) =
                    self.view.valid_panels().find(|panel| panel.generation == active)
                {
                    self.tenure.extend(now, panel, zone, sent, &self.settings);
                }
            }
            ((zone, ZoneRequestKind::Consent), true) => self.installer.record_consent(zone, sent),
            _ => {}
        }
        self.update_controller_since(now);
    }

    /// Gives up the authority for a planned stop. The node still grants promises to others.
    pub fn resign(&mut self, now: Instant) {
        self.update_controller_since(now);
        self.resigned = true;
        self.withdraw_campaigns(now);
        self.update_controller_since(now);
    }

    /// Advances the state to the current time and returns the actions to carry out.
    pub fn tick(&mut self, now: Instant) -> Vec<LeaseAction> {
        self.update_controller_since(now);
        let mut actions = mem::take(&mut self.outbox);
        self.request_read(now, &mut actions);
        match (now >= self.ready_at, self.view.is_recovered()) {
            (true, true) if !self.resigned => {
                self.campaign(now, &mut actions);
                self.activate(now);
                self.request_write(now, &mut actions);
                self.send_zone_requests(now, &mut actions);
            }
            (true, false) => self.recover(now, &mut actions),
            _ => {}
        }
        self.update_controller_since(now);
        actions
    }

    /// Returns whether this node has unexpired promises from a quorum of the active panel. The
    /// tenure is not considered.
    pub(crate) fn holds_quorum(&self, now: Instant) -> bool {
        self.quorum_until(self.view.active()).is_some_and(|until| now < until)
    }

    /// Returns when this node began to request promises, if it has had no quorum since.
    pub(crate) fn campaigning_since(&self) -> Option<Instant> {
        self.campaigning_since
    }

    /// Returns whether a node has responded recently. Also true while this node has sent requests
    /// for less than the time after which a node counts as unresponsive.
    pub(crate) fn is_responsive(&self, now: Instant, node: &NodeId) -> bool {
        let requested_since = self.campaigns_started.max(self.view.panel_since());
        now.saturating_since(requested_since) < self.unresponsive_after()
            || self.has_recent_contact(now, node)
    }

    /// Returns whether a node has responded recently. Always true for this node.
    pub(crate) fn has_recent_contact(&self, now: Instant, node: &NodeId) -> bool {
        let recent = |last_contact: &Instant| {
            now.saturating_since(*last_contact) < self.unresponsive_after()
        };
        *node == self.node || self.last_contact.get(node).is_some_and(recent)
    }

    fn unresponsive_after(&self) -> Duration {
        Duration::from_millis(self.settings.unresponsive_after_ms)
    }

    fn quorum_until(&self, generation: Generation) -> Option<Instant> {
        self.campaigns.get(&generation)?.quorum_until(self.settings.promise())
    }

    fn has_any_quorum(&self, now: Instant) -> bool {
        self.campaigns.keys().any(|generation| self.quorum_until(*generation) > Some(now))
    }

    fn stamp(&self, now: Instant) -> Stamp {
        Stamp { incarnation: self.incarnation, since_start_us: now.as_us() }
    }

    /// Updates the start of the uninterrupted time for which this node has been controller.
    fn update_controller_since(&mut self, now: Instant) {
        if now >= self.controller_until {
            self.controller_since = None;
        }
        match self.authority(now) {
            Authority::Controller { until, .. } => {
                self.controller_since.get_or_insert(now);
                self.controller_until = until;
            }
            _ => self.controller_since = None,
        }
    }

    fn learn_from_store(&mut self, now: Instant, stored: StoredRow, write_sent: Option<Instant>) {
        if let Some(sent) = write_sent {
            for panel in stored.row.panels() {
                self.tenure.renew(panel, sent);
            }
            self.installer.record_write(sent);
        }
        self.view.mark_store_read();
        self.learn(now, stored);
    }

    /// Learns a row from another node and returns whether this node may rely on it.
    ///
    /// If this node has not read the store since its start, a previous incarnation may have
    /// released the generation of a newer row. The node then has to run the recovery again for that
    /// row.
    fn learn_from_peer(&mut self, now: Instant, stored: &StoredRow) -> bool {
        let newest = self.view.newest_panel().map(|panel| panel.generation);
        let is_newer = newest < Some(stored.row.panel.generation);
        match (self.view.is_recovered(), is_newer && !self.view.has_read_store()) {
            (true, false) => {
                self.learn(now, stored.clone());
                true
            }
            (recovered, _) => {
                self.recovery.record_hint(stored);
                if recovered {
                    self.view.require_recovery();
                    self.stop_campaigns();
                }
                false
            }
        }
    }

    fn learn(&mut self, now: Instant, stored: StoredRow) {
        let was_recovered = self.view.is_recovered();
        if self.view.learn(now, stored) {
            self.installer.clear_consents();
        }
        if let Some(newest) = self.view.newest_panel().filter(|_| !was_recovered) {
            // A previous incarnation may have released any older generation.
            self.voter.release(Generation::new(newest.generation.get().saturating_sub(1)));
        }
        self.learn_active(self.view.active());
    }

    fn learn_active(&mut self, active: Generation) {
        self.view.learn_active(active);
        let active = self.view.active();
        self.voter.release(Generation::new(active.get().saturating_sub(1)));
        self.tenure.retain(|generation| generation >= active);
        self.campaigns.retain(|generation, _| *generation >= active);
    }

    fn answer_promise(
        &mut self,
        now: Instant,
        request: &PromiseRequest,
        row: &StoredRow,
        generation: Generation,
        active: Generation,
        tenure: Option<&RemainingTenure>,
    ) -> Answer {
        if !self.learn_from_peer(now, row) {
            return Answer::Refused(Refusal::NotReady);
        }
        self.learn_active(active);
        if let Some(remaining) =
            tenure.filter(|remaining| remaining.stamp.incarnation == self.incarnation)
        {
            self.tenure.apply(remaining, &self.settings);
        }
        let from = &request.from;
        let panel = self.view.valid_panels().find(|panel| panel.generation == generation);
        match (panel, self.view.stored()) {
            (_, Some(stored)) if generation <= self.voter.released() => {
                Answer::Refused(Refusal::Superseded(stored.clone()))
            }
            (Some(panel), _) if panel.contains(&self.node) && panel.contains(from) => {
                if self.has_any_quorum(now) || !self.voter.can_promise_to(now, from) {
                    return Answer::Refused(Refusal::Promised);
                }
                self.stop_campaigns();
                self.campaigning_since = None;
                self.voter.grant(now, from, request.id, &self.settings);
                Answer::Granted { generation }
            }
            _ => Answer::Refused(Refusal::NotMember),
        }
    }

    fn answer_release(
        &mut self,
        now: Instant,
        from: &NodeId,
        row: &StoredRow,
        generation: Generation,
    ) -> Answer {
        if !self.learn_from_peer(now, row) || generation >= row.row.panel.generation {
            return Answer::Refused(Refusal::NotReady);
        }
        // The sender has a quorum of a newer generation.
        if !self.campaigns.is_empty() && self.view.active() <= generation {
            self.withdraw_campaigns(now);
        }
        if self.has_any_quorum(now) || !self.voter.can_promise_to(now, from) {
            return Answer::Refused(Refusal::Promised);
        }
        self.voter.release(generation);
        let released = self.voter.released();
        self.campaigns.retain(|generation, _| *generation > released);
        Answer::Released { generation: released }
    }

    fn answer_state(&mut self, request: &PromiseRequest) -> Answer {
        for campaign in self.campaigns.values_mut() {
            campaign.discard_stale_release(&request.from, request.id.incarnation);
        }
        match self.view.is_recovered() {
            true => Answer::State {
                row: self.view.stored().cloned(),
                active: self.view.active(),
                released: self.voter.released(),
            },
            false => Answer::Refused(Refusal::NotReady),
        }
    }

    /// Stops all campaigns and ignores replies that are still to come.
    fn stop_campaigns(&mut self) {
        self.campaigns.clear();
        self.requests.clear();
    }

    /// Stops all campaigns and tells the panel members that this node no longer relies on their
    /// promises, so that they can promise to another node at once.
    fn withdraw_campaigns(&mut self, now: Instant) {
        let panels = self.campaigns.values().flat_map(|campaign| &campaign.panel().members);
        let mut nodes: Vec<NodeId> = panels.filter(|node| **node != self.node).cloned().collect();
        nodes.sort_unstable();
        nodes.dedup();
        self.stop_campaigns();
        self.voter.withdraw_own(now, &self.node);
        for node in nodes {
            let id = self.requests.next_id();
            let request = self.build_request(id, RequestKind::Withdraw);
            self.outbox.push(LeaseAction::SendNodeRequest { node, request });
        }
    }

    /// Makes the newest generation active if this node has a quorum of it and every older panel has
    /// been released.
    fn activate(&mut self, now: Instant) {
        let Some(stored) = self.view.stored() else { return };
        let newest = stored.row.panel.generation;
        let Some(campaign) = self.campaigns.get(&newest) else { return };
        let released = |panel: &Panel| campaign.has_released(panel, &self.node);
        if self.view.active() < newest
            && self.quorum_until(newest) > Some(now)
            && self.voter.can_promise_to(now, &self.node)
            && stored.row.superseded.iter().all(released)
        {
            // From now on this node ignores promises of older generations, so other nodes may rely
            // on the new generation.
            self.learn_active(newest);
        }
    }

    fn request_read(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let interval = Duration::from_millis(self.read_interval_ms());
        let is_fresh =
            self.row_confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + interval);
        let timeout = Duration::from_millis(self.settings.renew_interval_ms);
        let is_waiting = self.read_sent.is_some_and(|sent| now < sent + timeout);
        if !is_fresh && !is_waiting {
            self.read_sent = Some(now);
            actions.push(LeaseAction::ReadRow);
        }
    }

    fn recover(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if now < self.recovery.next_request_at {
            return;
        }
        self.recovery.next_request_at =
            now + Duration::from_millis(self.settings.request_interval_ms);
        let live: Vec<NodeId> = self.members.iter().map(|member| member.node.clone()).collect();
        for node in self.recovery.receivers(&self.node, &live) {
            actions.push(self.node_request(now, node, RequestKind::State));
        }
    }

    /// Starts or continues campaigns, and requests promises and releases when they are due.
    fn campaign(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if !self.has_any_quorum(now) && now >= self.voter.promise_end() {
            self.stop_campaigns();
        }
        let released = self.voter.released();
        let may_campaign =
            |panel: &&Panel| panel.contains(&self.node) && panel.generation > released;
        let panels: Vec<Panel> = self.view.valid_panels().filter(may_campaign).cloned().collect();
        let is_start = self.campaigns.is_empty();
        if is_start && (panels.is_empty() || now < self.campaign_start(&panels)) {
            return;
        }
        if is_start {
            self.campaigns_started = now;
            self.next_request_at = now;
            self.campaigning_since.get_or_insert(now);
        }
        self.campaigns
            .retain(|generation, _| panels.iter().any(|panel| panel.generation == *generation));
        for panel in panels {
            self.campaigns.get_or_insert_with(panel.generation, || Campaign::new(panel));
        }
        if now < self.next_request_at {
            return;
        }
        let has_quorum = self.has_any_quorum(now);
        if has_quorum {
            self.campaigning_since = None;
        }
        // Without a quorum, the promise of the node to itself is not renewed. Two candidates that
        // block each other then start again, one after the other.
        if is_start || has_quorum {
            self.promise_to_self(now);
        }
        let is_pending = self.request_releases(now, actions);
        self.request_promises(now, actions);
        let interval_ms = if has_quorum && !is_pending {
            self.settings.request_interval_ms
        } else {
            self.settings.retry_interval_ms
        };
        self.next_request_at = now + Duration::from_millis(interval_ms);
    }

    /// Returns when this node may start a campaign: after the promise that it has granted, delayed
    /// by its position in the panel.
    fn campaign_start(&self, panels: &[Panel]) -> Instant {
        // The members of all panels are in one order, since two nodes that start at the same time
        // block each other.
        let newest = self.view.newest_panel().and_then(|panel| panel.index(&self.node));
        let older = || panels.iter().find_map(|panel| panel.index(&self.node)).unwrap_or_default();
        let index = newest.unwrap_or_else(|| Panel::MAX_MEMBERS + older());
        self.voter.promise_end().max(self.view.panel_since()) + self.settings.stagger(index)
    }

    fn promise_to_self(&mut self, now: Instant) {
        let id = self.requests.next_id();
        self.voter.grant(now, &self.node, id, &self.settings);
        for campaign in self.campaigns.values_mut() {
            campaign.record_grant(self.node.clone(), now);
        }
    }

    fn request_promises(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let Some(row) = self.view.stored().cloned() else { return };
        let panels: Vec<Panel> =
            self.campaigns.values().map(|campaign| campaign.panel().clone()).collect();
        for panel in panels {
            let generation = panel.generation;
            for node in panel.members {
                if node == self.node {
                    continue;
                }
                let stamp = self.stamps.get(&node);
                let tenure =
                    stamp.and_then(|&(stamp, at)| self.tenure.remaining(generation, stamp, at));
                let active = self.view.active();
                let kind = RequestKind::Promise { row: row.clone(), generation, active, tenure };
                actions.push(self.node_request(now, node, kind));
            }
        }
    }

    /// Requests releases if the newest generation is not active yet and has a quorum. Returns
    /// whether releases are missing.
    fn request_releases(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) -> bool {
        let Some(row) = self.view.stored().cloned() else { return false };
        let newest = row.row.panel.generation;
        if newest == self.view.active() || self.quorum_until(newest) <= Some(now) {
            return false;
        }
        let members = row.row.superseded.iter().flat_map(|panel| &panel.members);
        let mut nodes: Vec<NodeId> = members.filter(|node| **node != self.node).cloned().collect();
        nodes.sort_unstable();
        nodes.dedup();
        let generation = Generation::new(newest.get() - 1);
        for node in nodes {
            actions.push(self.node_request(
                now,
                node,
                RequestKind::Release { row: row.clone(), generation },
            ));
        }
        true
    }

    fn request_write(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if !self.writes.is_idle(now) {
            return;
        }
        if let Some(row) = self.next_row(now) {
            let expected = self.view.stored().map(|stored| stored.version);
            actions.push(self.writes.send(now, row, expected));
        }
    }

    fn send_zone_requests(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        for (zone, kind) in self.next_zone_requests(now) {
            let id = self.zone_requests.register(now, (zone.clone(), kind));
            let request =
                ZoneRequest { id, zone: self.zone.clone(), from: self.node.clone(), kind };
            actions.push(LeaseAction::SendZoneRequest { zone, request });
        }
    }

    fn node_request(&mut self, now: Instant, node: NodeId, kind: RequestKind) -> LeaseAction {
        let id = self.requests.register(now, node.clone());
        LeaseAction::SendNodeRequest { node, request: self.build_request(id, kind) }
    }

    fn build_request(&self, id: crate::RequestId, kind: RequestKind) -> PromiseRequest {
        PromiseRequest { id, zone: self.zone.clone(), from: self.node.clone(), kind }
    }
}
