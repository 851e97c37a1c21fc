//! Credits of all customers held by one entry process.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Incarnation, Instant, NodeId, SortedVec, ZoneId};

use crate::credit_batch::CreditBatch;
use crate::customer_credits::CustomerCredits;
use crate::drift::add_drift_margin;
use crate::issuer_client::IssuerClient;
use crate::{
    Admission, CreditGrant, CreditReply, CreditRequest, CreditRequestEntry, CreditSettings,
    IssuerTerm, Refusal, Tag, WaitTicket,
};

/// Admits customers' requests against unexpired credits, and requests credits from issuers
/// according to demand.
///
/// Call [`CreditHolder::tick`] at [`CreditHolder::next_tick`], after each [`Admission::Wait`] and
/// after each reply, and send the requests that it returns.
#[derive(Debug)]
pub struct CreditHolder {
    node: NodeId,
    incarnation: Incarnation,
    zone: ZoneId,
    settings: CreditSettings,
    issuers: SortedVec<ZoneId, IssuerClient>,
    customers: SortedVec<CustomerId, CustomerCredits>,
    next_demand_interval: Instant,
}

impl CreditHolder {
    /// Creates a holder without credits.
    pub fn new(
        now: Instant,
        node: NodeId,
        incarnation: Incarnation,
        zone: ZoneId,
        settings: CreditSettings,
    ) -> Self {
        Self {
            node,
            incarnation,
            zone,
            settings,
            issuers: SortedVec::new(),
            customers: SortedVec::new(),
            next_demand_interval: now,
        }
    }

    /// Sets the zones from whose issuers credits may be requested.
    pub fn set_zones(&mut self, now: Instant, zones: &[ZoneId]) {
        self.issuers.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            let make = || IssuerClient::new(now, &self.settings);
            self.issuers.get_or_insert_with(zone.clone(), make);
        }
    }

    /// Adds a customer or changes its home zone.
    pub fn set_customer(&mut self, customer: &CustomerId, home: &ZoneId) {
        let make = || CustomerCredits::new(Tag::of(customer.as_str()), home.clone());
        self.customers.get_or_insert_with(customer.clone(), make).home = home.clone();
    }

    /// Removes a customer. Its unused credits are not returned and expire.
    pub fn remove_customer(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
    }

    /// Admits a request, makes it wait for credit, or refuses it.
    pub fn admit(&mut self, now: Instant, customer: &CustomerId) -> Admission {
        let deadline = now + self.settings.wait_max;
        let Some(credits) = self.customers.get_mut(customer) else {
            return Admission::Refused(Refusal::CreditUnavailable);
        };
        credits.record_arrival(now, &self.settings);
        // Free credits are reserved for requests that already wait.
        let credit = match credits.waiting() {
            0 => credits.take(now),
            waiting if credits.free_at(now) > waiting => credits.take(now),
            _ => None,
        };
        match credit {
            Some(credit) => Admission::Admitted(credit),
            None => self.wait_or_refuse(now, customer, deadline),
        }
    }

    /// Retries the admission of a waiting request.
    ///
    /// Call it in order of arrival, so that the oldest request gets the first credit.
    pub fn readmit(&mut self, now: Instant, ticket: WaitTicket) -> Admission {
        let (customer, deadline) = (ticket.customer().clone(), ticket.deadline());
        drop(ticket);
        let Some(credits) = self.customers.get_mut(&customer) else {
            return Admission::Refused(Refusal::CreditUnavailable);
        };
        match credits.take(now) {
            Some(credit) => Admission::Admitted(credit),
            None if now >= deadline => Admission::Refused(credits.refusal(now)),
            None => self.wait_or_refuse(now, &customer, deadline),
        }
    }

    /// Returns the requests to send now, each with the zone of its issuer.
    pub fn tick(&mut self, now: Instant) -> Vec<(ZoneId, CreditRequest)> {
        if now >= self.next_demand_interval {
            self.next_demand_interval = now + self.settings.interval;
            self.customers.iter_mut().for_each(|(_, credits)| credits.start_demand_interval());
        }
        self.issuers.iter_mut().for_each(|(_, issuer)| issuer.check_timeouts(now, &self.settings));
        let zones: Vec<ZoneId> = self.issuers.keys().cloned().collect();
        zones
            .into_iter()
            .filter_map(|zone| self.build_request(now, &zone).map(|request| (zone, request)))
            .collect()
    }

    /// Returns when [`CreditHolder::tick`] is due.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let next_requests = self.issuers.values().map(IssuerClient::next_regular);
        let due = next_requests.fold(self.next_demand_interval, Instant::min);
        let waiting = self.customers.values().any(|credits| credits.waiting() > 0);
        if waiting { due.min(now + self.settings.reply_timeout / 5) } else { due }
    }

    /// Applies a reply of the issuer of a zone.
    pub fn on_reply(&mut self, now: Instant, zone: &ZoneId, reply: &CreditReply) {
        let Some(issuer) = self.issuers.get_mut(zone) else { return };
        let Some(pending) = issuer.take_pending(reply.sequence) else { return };
        issuer.term = reply.term;
        for (customer, grant) in pending.customers.iter().zip(&reply.grants) {
            self.apply_grant(now, zone, reply, customer, grant, pending.sent_at);
        }
    }

    /// Returns the requests that return all free credits, for a graceful shutdown.
    pub fn release_all(&mut self, now: Instant) -> Vec<(ZoneId, CreditRequest)> {
        self.customers.iter_mut().for_each(|(_, credits)| credits.deactivate());
        self.issuers.iter_mut().for_each(|(_, issuer)| issuer.expedite(now));
        self.tick(now)
    }

    fn wait_or_refuse(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        deadline: Instant,
    ) -> Admission {
        let credits = self.customers.get(customer).expect("the caller has looked up the customer");
        let may_provide = |(zone, issuer): (&ZoneId, &IssuerClient)| {
            !issuer.is_unresponsive(now) && credits.may_provide(now, zone)
        };
        match self.issuers.iter().any(may_provide) {
            true => credits.wait(customer, deadline),
            false => Admission::Refused(credits.refusal(now)),
        }
    }

    fn build_request(&mut self, now: Instant, zone: &ZoneId) -> Option<CreditRequest> {
        let urgent = self.customers.values().any(|credits| self.is_urgent(now, credits, zone));
        let issuer = self.issuers.get_mut(zone)?;
        if !issuer.try_begin_request(now, urgent, &self.settings) {
            return None;
        }
        let term = issuer.term;
        let should_request: Vec<bool> = self
            .customers
            .values()
            .map(|credits| self.should_request(now, credits, zone))
            .collect();
        let mut customers = Vec::new();
        let mut entries = Vec::new();
        for ((customer, credits), request_credits) in self.customers.iter_mut().zip(should_request)
        {
            if let Some(entry) =
                Self::build_entry(now, zone, term, credits, &self.settings, request_credits)
            {
                customers.push(customer.clone());
                entries.push(entry);
            }
        }
        if entries.is_empty() {
            return None;
        }
        let sequence = self.issuers.get_mut(zone)?.record_sent(now, customers);
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        Some(CreditRequest { node, incarnation, sequence, term, entries })
    }

    /// Returns whether to send this issuer an urgent request: some waiting requests have no credit
    /// requested yet, this issuer may provide it, and no preferred issuer may.
    fn is_urgent(&self, now: Instant, credits: &CustomerCredits, zone: &ZoneId) -> bool {
        let may_provide = |zone| {
            let unresponsive =
                self.issuers.get(zone).is_none_or(|issuer| issuer.is_unresponsive(now));
            !unresponsive && credits.may_provide(now, zone)
        };
        credits.unrequested(now, zone) > 0
            && may_provide(zone)
            && !self.preferred_over(credits, zone).any(may_provide)
    }

    /// Returns whether to request credits from this issuer, as no preferred one meets all demand.
    fn should_request(&self, now: Instant, credits: &CustomerCredits, zone: &ZoneId) -> bool {
        let provides = |zone| {
            let unresponsive =
                self.issuers.get(zone).is_none_or(|issuer| issuer.is_unresponsive(now));
            !unresponsive && credits.may_provide(now, zone) && !credits.is_unfilled(zone)
        };
        !self.preferred_over(credits, zone).any(provides)
    }

    /// Returns the zones whose issuers are preferred over that of `zone`. The home zone ranks
    /// first, followed by the zone of this node.
    fn preferred_over<'a>(
        &'a self,
        credits: &'a CustomerCredits,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = &'a ZoneId> {
        let rank = |zone: &'a ZoneId| (*zone != credits.home, *zone != self.zone, zone);
        self.issuers.keys().filter(move |other| rank(other) < rank(zone))
    }

    fn build_entry(
        now: Instant,
        zone: &ZoneId,
        term: IssuerTerm,
        credits: &mut CustomerCredits,
        settings: &CreditSettings,
        request_credits: bool,
    ) -> Option<CreditRequestEntry> {
        let horizon = now + add_drift_margin(settings.interval + settings.reply_timeout);
        let desired = credits.desired(now, settings);
        let settlements = credits.settle(zone, term, horizon, desired);
        let urgent = if request_credits { credits.unrequested(now, zone) } else { 0 };
        let missing = desired.saturating_sub(credits.free_at(horizon));
        let entry = CreditRequestEntry {
            customer: credits.tag,
            urgent,
            prefetch: if request_credits { missing } else { 0 },
            settlements,
        };
        if request_credits {
            credits.record_request(zone, &entry, now + settings.reply_timeout);
        }
        let idle = entry.urgent == 0 && entry.prefetch == 0 && entry.settlements.is_empty();
        (!idle).then_some(entry)
    }

    fn apply_grant(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        reply: &CreditReply,
        customer: &CustomerId,
        grant: &CreditGrant,
        sent_at: Instant,
    ) {
        let Some(credits) = self.customers.get_mut(customer) else { return };
        let retry_after = Duration::from_millis(u64::from(grant.retry_ms));
        match grant.validity_10ms {
            0 => {
                let max_retry_after = self.settings.interval * 2;
                credits.record_unavailable(
                    zone,
                    now + retry_after.min(max_retry_after).max(max_retry_after / 2),
                );
            }
            _ => credits.record_grant(zone, grant.credits, now + retry_after),
        }
        let expires = sent_at + grant.validity();
        if grant.credits > 0 && now < expires {
            credits.add_batch(CreditBatch::new(
                zone,
                reply.term,
                reply.issue_slot,
                expires,
                grant.credits,
            ));
        }
    }
}
