//! Permits for the targets of one zone held by one entry process.

use wagtailmoor_core::{Incarnation, Instant, NodeId, SortedVec};

use crate::resource_permits::ResourcePermits;
use crate::{
    AcquireResult, IssuerTerm, PermitReply, PermitRequest, PermitSettings, ResourceId, TokenBucket,
};

const URGENT_BURST: f64 = 4.0;

/// Holds permits for the targets of one zone and requests them from the issuer according to demand.
///
/// Call [`PermitHolder::tick`] at [`PermitHolder::next_tick`], after each result other than
/// [`AcquireResult::Granted`], after a permit was dropped and after each reply, and send the
/// request that it returns.
#[derive(Debug)]
pub struct PermitHolder {
    node: NodeId,
    incarnation: Incarnation,
    settings: PermitSettings,
    term: IssuerTerm,
    /// The issuer may not know the permits of this node, so a request that reports them is urgent.
    resync: bool,
    next_sequence: u32,
    acknowledged: u32,
    pending: Option<PendingRequest>,
    urgent_budget: TokenBucket,
    next_regular: Instant,
    next_demand_interval: Instant,
    resources: SortedVec<ResourceId, ResourcePermits>,
}

/// The latest request; replies to earlier ones are ignored.
#[derive(Debug)]
struct PendingRequest {
    sequence: u32,
    sent_at: Instant,
    resources: Vec<ResourceId>,
}

impl PermitHolder {
    /// Creates a holder without permits.
    pub fn new(
        now: Instant,
        node: NodeId,
        incarnation: Incarnation,
        settings: PermitSettings,
    ) -> Self {
        let urgent_budget = TokenBucket::full(now, f64::from(settings.urgent_per_s), URGENT_BURST);
        Self {
            node,
            incarnation,
            settings,
            term: IssuerTerm::default(),
            resync: false,
            next_sequence: 1,
            acknowledged: 0,
            pending: None,
            urgent_budget,
            next_regular: now,
            next_demand_interval: now,
            resources: SortedVec::new(),
        }
    }

    /// Adds a resource, or restores one that was removed.
    pub fn add_resource(&mut self, resource: &ResourceId) {
        let make = || ResourcePermits::new(resource.tag());
        self.resources.get_or_insert_with(resource.clone(), make).set_removed(false);
    }

    /// Removes a resource. Permits in use are reported to the issuer until their requests end.
    pub fn remove_resource(&mut self, resource: &ResourceId) {
        if let Some(permits) = self.resources.get_mut(resource) {
            permits.set_removed(true);
        }
    }

    /// Takes a permit, or counts unmet demand that the next request reports.
    pub fn acquire(&mut self, now: Instant, resource: &ResourceId) -> AcquireResult {
        let permits = self.resources.get_mut(resource);
        permits.map_or(AcquireResult::Unavailable, |permits| permits.acquire(now))
    }

    /// Records that a target responded as cold or was reset.
    ///
    /// This node gets no permit for the resource until the issuer has replied with the cold limit.
    pub fn report_cold(&mut self, resource: &ResourceId) {
        if let Some(permits) = self.resources.get_mut(resource) {
            permits.report_cold();
        }
    }

    /// Returns the number of permits that can be acquired now.
    pub fn free(&self, now: Instant, resource: &ResourceId) -> u32 {
        self.resources.get(resource).map_or(0, |permits| permits.free(now))
    }

    /// Returns the request to send now, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<PermitRequest> {
        // The reply to the pending request would be ignored once a new request is sent.
        if self.is_awaiting_reply(now) {
            return None;
        }
        let regular = now >= self.next_regular;
        let urgent = self.resync || self.resources.values().any(|permits| permits.is_urgent(now));
        if !(regular || urgent && self.urgent_budget.take(now, 1.0)) {
            return None;
        }
        // Every request reports all resources, so the next interval starts with it.
        self.next_regular = now + self.settings.interval;
        let request = self.build_request(now);
        if now >= self.next_demand_interval {
            self.next_demand_interval = now + self.settings.interval;
            self.resources.iter_mut().for_each(|(_, permits)| permits.start_demand_interval());
        }
        request
    }

    /// Returns when [`PermitHolder::tick`] is due.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let urgent = self.resources.values().any(|permits| permits.is_urgent(now));
        let next_poll = now + self.settings.reply_timeout / 5;
        let due = if urgent { self.next_regular.min(next_poll) } else { self.next_regular };
        let reply_deadline =
            self.pending.as_ref().map(|pending| pending.sent_at + self.settings.reply_timeout);
        reply_deadline.map_or(due, |reply_deadline| due.max(reply_deadline))
    }

    /// Applies a reply of the issuer.
    pub fn on_reply(&mut self, now: Instant, reply: &PermitReply) {
        let latest = self.pending.take_if(|pending| pending.sequence == reply.sequence);
        let Some(pending) = latest else { return };
        let accepted = reply.lease_10ms > 0;
        self.resync = reply.term != self.term || accepted && !reply.renewed;
        self.term = reply.term;
        if self.resync {
            self.resources.iter_mut().for_each(|(_, permits)| permits.unconfirm());
        }
        if accepted {
            self.acknowledged = reply.sequence;
            self.apply_grants(now, &pending, reply);
        }
    }

    /// Returns the request that returns all free permits, for a graceful shutdown.
    pub fn release_all(&mut self, now: Instant) -> Option<PermitRequest> {
        self.resources.iter_mut().for_each(|(_, permits)| permits.deactivate());
        self.settings.min_held = 0;
        self.build_request(now)
    }

    fn apply_grants(&mut self, now: Instant, pending: &PendingRequest, reply: &PermitReply) {
        let lease_until = pending.sent_at + reply.lease();
        let retry_at = now + self.settings.reply_timeout;
        self.resources.iter_mut().for_each(|(_, permits)| permits.renew(lease_until));
        for (resource, grant) in pending.resources.iter().zip(&reply.grants) {
            if let Some(permits) = self.resources.get_mut(resource) {
                permits.apply_grant(grant, lease_until, retry_at);
            }
        }
        for change in &reply.changes {
            let mut resources = self.resources.iter_mut().map(|(_, permits)| permits);
            if let Some(permits) = resources.find(|permits| permits.tag() == change.resource) {
                permits.apply_grant(&change.grant, lease_until, retry_at);
            }
        }
    }

    fn is_awaiting_reply(&self, now: Instant) -> bool {
        let timeout = self.settings.reply_timeout;
        self.pending.as_ref().is_some_and(|pending| now < pending.sent_at + timeout)
    }

    fn build_request(&mut self, now: Instant) -> Option<PermitRequest> {
        let mut resources = Vec::new();
        let mut entries = Vec::new();
        self.resources.retain(|_, permits| !permits.is_drained());
        let mut omitted = 0;
        let min_held = self.settings.min_held;
        for (resource, permits) in self.resources.iter_mut() {
            match permits.next_entry(now, min_held) {
                Some(entry) => {
                    resources.push(resource.clone());
                    entries.push(entry);
                }
                None => omitted += u32::from(permits.is_active()),
            }
        }
        if entries.is_empty() && omitted == 0 {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.resync = false;
        self.pending = Some(PendingRequest { sequence, sent_at: now, resources });
        let (node, incarnation, term) = (self.node.clone(), self.incarnation, self.term);
        let acknowledged = self.acknowledged;
        Some(PermitRequest { node, incarnation, sequence, term, acknowledged, omitted, entries })
    }
}
