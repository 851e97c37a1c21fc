//! A node that may become controller of a zone.

use std::mem;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, ZoneId};

use crate::campaigner::Campaigner;
use crate::controller_span::ControllerSpan;
use crate::install::Installer;
use crate::knowledge::Knowledge;
use crate::pending_requests::PendingRequests;
use crate::pending_writes::PendingWrites;
use crate::responder::Responder;
use crate::row_reads::RowReads;
use crate::witness::Witness;
use crate::{
    Answer, Authority, LeaseAction, LeaseSettings, Member, PromiseReply, PromiseRequest, Refusal,
    RequestKind, Stamp, StoredRow, WriteOutcome, WriteResult, ZoneReply, ZoneRequest,
    ZoneRequestKind,
};

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
    pub(crate) knowledge: Knowledge,
    campaigner: Campaigner,
    zone_requests: PendingRequests<(ZoneId, ZoneRequestKind)>,
    witness: Witness,
    controller_span: ControllerSpan,
    writes: PendingWrites,
    pub(crate) installer: Installer,
    pub(crate) reads: RowReads,
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
            knowledge: Knowledge::new(now),
            campaigner: Campaigner::new(now, node.clone(), zone.clone(), incarnation, &settings),
            zone_requests: PendingRequests::new(incarnation),
            witness: Witness::default(),
            controller_span: ControllerSpan::new(now),
            writes: PendingWrites::new(&node, incarnation, now),
            installer: Installer::new(now),
            reads: RowReads::default(),
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
        self.update_controller_span(now);
        members.sort_unstable_by(|left, right| left.node.cmp(&right.node));
        self.home_members = members;
    }

    /// Returns whether this node may act as controller.
    pub fn authority(&self, now: Instant) -> Authority {
        let active = self.knowledge.view.active();
        let quorum_until = self.campaigner.campaigns.quorum_until(active);
        let until = quorum_until.min(self.knowledge.tenure.end(active));
        match until {
            Some(until) if now < until => Authority::Controller { generation: active, until },
            _ if self.knowledge.view.valid_panels().any(|panel| panel.contains(&self.node)) => {
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
        let active = self.knowledge.view.active();
        let panel = self.knowledge.view.valid_panels().find(|panel| panel.generation == active);
        let until = panel.and_then(|panel| self.knowledge.tenure.promised_until(panel));
        self.authority(now).is_controller() && until.is_some_and(|until| now < until)
    }

    /// Returns the newest row known to this node.
    pub fn row(&self) -> Option<&StoredRow> {
        self.knowledge.view.stored()
    }

    /// Sets the live nodes of the zone of this node, including this node.
    pub fn on_members(&mut self, now: Instant, mut members: Vec<Member>) {
        self.update_controller_span(now);
        members.sort_unstable_by(|left, right| left.node.cmp(&right.node));
        self.members = members;
    }

    /// Handles the result of a read of the row; `None` if the store has no row.
    pub fn on_row(&mut self, now: Instant, stored: Option<StoredRow>) {
        self.update_controller_span(now);
        self.reads.on_read(now);
        match stored {
            None => self.knowledge.view.learn_absent(now),
            Some(stored) => {
                let sent = self.writes.resolve(&stored);
                self.learn_from_store(now, stored, sent);
            }
        }
        self.update_controller_span(now);
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, now: Instant, result: WriteResult) {
        self.update_controller_span(now);
        match result.outcome {
            WriteOutcome::Done(version) => {
                if let Some((stored, sent)) = self.writes.on_success(now, result.write, version) {
                    self.reads.on_written(now);
                    self.learn_from_store(now, stored, Some(sent));
                }
            }
            WriteOutcome::Conflict => {
                self.writes.on_conflict(now, result.write);
                self.reads.on_write_failed();
            }
            WriteOutcome::Unknown => {
                self.writes.on_unknown(now);
                self.reads.on_write_failed();
            }
        }
        self.update_controller_span(now);
    }

    /// Handles a request of another node and returns the reply.
    pub fn on_promise_request(&mut self, now: Instant, request: &PromiseRequest) -> PromiseReply {
        self.update_controller_span(now);
        let responder = Responder {
            node: &self.node,
            incarnation: self.incarnation,
            settings: &self.settings,
            knowledge: &mut self.knowledge,
            campaigner: &mut self.campaigner,
            outbox: &mut self.outbox,
        };
        let answer = match &request.kind {
            _ if request.zone != self.zone => Answer::Refused(Refusal::NotMember),
            RequestKind::Withdraw => {
                self.knowledge.voter.withdraw(now, &request.from, request.id);
                Answer::Withdrawn
            }
            _ if now < self.ready_at => Answer::Refused(Refusal::NotReady),
            RequestKind::Promise { row, generation, active, tenure } => {
                responder.promise(now, request, row, *generation, *active, tenure.as_ref())
            }
            RequestKind::Release { row, generation } => {
                responder.release(now, &request.from, row, *generation)
            }
            RequestKind::State => responder.state(request),
        };
        self.update_controller_span(now);
        PromiseReply {
            id: request.id,
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            answer,
        }
    }

    /// Handles the reply of a node to a request.
    pub fn on_promise_reply(&mut self, now: Instant, node: &NodeId, reply: PromiseReply) {
        self.update_controller_span(now);
        let Some(sent) = self.campaigner.contacts.on_reply(now, node, &reply) else { return };
        match reply.answer {
            Answer::Granted { generation } => {
                self.campaigner.campaigns.record_grant(generation, node, sent);
            }
            Answer::Released { generation } => {
                let (campaigns, incarnation) = (&mut self.campaigner.campaigns, reply.incarnation);
                campaigns.record_release(now, generation, node, incarnation, sent);
            }
            Answer::Refused(Refusal::Superseded(stored)) => {
                self.campaigner.learn_from_peer(now, &mut self.knowledge, &stored);
            }
            Answer::State { row: Some(stored), active, released }
                if !self.knowledge.view.is_recovered() =>
            {
                let own = &self.node;
                self.knowledge.learn_from_state(now, own, node, stored, active, released);
                self.campaigner.end_old(&self.knowledge);
            }
            _ => {}
        }
        self.activate(now);
        self.update_controller_span(now);
    }

    /// Handles a request of another zone about its tenure and returns the reply.
    pub fn on_zone_request(&mut self, now: Instant, request: &ZoneRequest) -> ZoneReply {
        self.update_controller_span(now);
        let granted = self.witness.answer(
            now,
            self.controller_span.since(),
            &request.zone,
            request.kind,
            &self.settings,
        );
        ZoneReply { id: request.id, by: self.zone.clone(), kind: request.kind, granted }
    }

    /// Handles the reply of another zone's controller.
    pub fn on_zone_reply(&mut self, now: Instant, reply: ZoneReply) {
        self.update_controller_span(now);
        let receiver = (reply.by, reply.kind);
        let Some(sent) = self.zone_requests.take(reply.id, &receiver) else { return };
        match (receiver, reply.granted) {
            ((zone, ZoneRequestKind::Extend), true) => {
                let active = self.knowledge.view.active();
                if let Some(panel) =
                    self.knowledge.view.valid_panels().find(|panel| panel.generation == active)
                {
                    self.knowledge.tenure.extend(now, panel, zone, sent, &self.settings);
                }
            }
            ((zone, ZoneRequestKind::Consent), true) => self.knowledge.record_consent(zone, sent),
            _ => {}
        }
        self.update_controller_span(now);
    }

    /// Gives up the authority for a planned stop. The node still grants promises to others.
    pub fn resign(&mut self, now: Instant) {
        self.update_controller_span(now);
        self.resigned = true;
        self.outbox.extend(self.campaigner.withdraw(now, &mut self.knowledge.voter));
        self.update_controller_span(now);
    }

    /// Advances the state to the current time and returns the actions to carry out.
    pub fn tick(&mut self, now: Instant) -> Vec<LeaseAction> {
        self.update_controller_span(now);
        let mut actions = mem::take(&mut self.outbox);
        self.request_read(now, &mut actions);
        match (now >= self.ready_at, self.knowledge.view.is_recovered()) {
            (true, true) if !self.resigned => {
                let (settings, knowledge) = (&self.settings, &mut self.knowledge);
                self.campaigner.campaign(now, settings, knowledge, &mut actions);
                self.activate(now);
                self.request_write(now, &mut actions);
                self.send_zone_requests(now, &mut actions);
            }
            (true, false) => self.recover(now, &mut actions),
            _ => {}
        }
        self.update_controller_span(now);
        actions
    }

    /// Returns whether this node has unexpired promises from a quorum of the active panel. The
    /// tenure is not considered.
    pub(crate) fn holds_quorum(&self, now: Instant) -> bool {
        let until = self.campaigner.campaigns.quorum_until(self.knowledge.view.active());
        until.is_some_and(|until| now < until)
    }

    /// Returns when this node began to request promises, if it has had no quorum since.
    pub(crate) fn campaigning_since(&self) -> Option<Instant> {
        self.campaigner.campaigns.requesting_since()
    }

    /// Returns whether a node has responded recently. Also true while this node has sent requests
    /// for less than the time after which a node counts as unresponsive.
    pub(crate) fn is_responsive(&self, now: Instant, node: &NodeId) -> bool {
        let started_at = self.campaigner.campaigns.started_at();
        let requested_since = started_at.max(self.knowledge.view.panel_since());
        now.saturating_since(requested_since) < self.unresponsive_after()
            || self.has_recent_contact(now, node)
    }

    /// Returns whether a node has responded recently. Always true for this node.
    pub(crate) fn has_recent_contact(&self, now: Instant, node: &NodeId) -> bool {
        let span = self.unresponsive_after();
        *node == self.node || self.campaigner.contacts.has_responded_within(now, node, span)
    }

    fn unresponsive_after(&self) -> Duration {
        Duration::from_millis(self.settings.unresponsive_after_ms)
    }

    fn stamp(&self, now: Instant) -> Stamp {
        Stamp { incarnation: self.incarnation, since_start_us: now.as_us() }
    }

    /// Updates the uninterrupted time for which this node has been controller.
    fn update_controller_span(&mut self, now: Instant) {
        self.controller_span.update(now, self.authority(now));
    }

    fn learn_from_store(&mut self, now: Instant, stored: StoredRow, write_sent: Option<Instant>) {
        if let Some(sent) = write_sent {
            self.installer.record_write(sent);
        }
        self.knowledge.learn_from_store(now, stored, write_sent);
        self.campaigner.end_old(&self.knowledge);
    }

    /// Makes the newest generation active if this node has a quorum of it and every older panel has
    /// been released.
    fn activate(&mut self, now: Instant) {
        if let Some(newest) = self.campaigner.activated(now, &self.knowledge) {
            // From now on this node ignores promises of older generations, so other nodes may rely
            // on the new generation.
            self.knowledge.learn_active(newest);
            self.campaigner.end_old(&self.knowledge);
        }
    }

    fn request_read(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let interval = Duration::from_millis(self.read_interval_ms());
        let timeout = Duration::from_millis(self.settings.renew_interval_ms);
        if self.reads.start(now, interval, timeout) {
            actions.push(LeaseAction::ReadRow);
        }
    }

    fn recover(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if now < self.knowledge.recovery.next_request_at {
            return;
        }
        self.knowledge.recovery.next_request_at =
            now + Duration::from_millis(self.settings.request_interval_ms);
        let live: Vec<NodeId> = self.members.iter().map(|member| member.node.clone()).collect();
        for node in self.knowledge.recovery.receivers(&self.node, &live) {
            actions.push(self.campaigner.request(now, node, RequestKind::State));
        }
    }

    fn request_write(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if !self.writes.is_idle(now) {
            return;
        }
        if let Some(row) = self.next_row(now) {
            let expected = self.knowledge.view.stored().map(|stored| stored.version);
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
}
