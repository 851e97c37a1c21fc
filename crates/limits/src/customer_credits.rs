//! Credits and demand of one customer at one node.

use std::cell::Cell;
use std::rc::Rc;

use wagtailmoor_core::{CustomerId, Instant, SortedVec, ZoneId};

use crate::credit_batch::CreditBatch;
use crate::{
    Admission, Credit, CreditRequestEntry, CreditSettings, IssuerTerm, Refusal, Settlement, Tag,
    WaitTicket,
};

/// Share of the last demand that is still expected when fewer requests arrive.
const DEMAND_DECAY: f64 = 0.7;
/// Headroom over the highest recent demand of an interval, in standard deviations of a Poisson
/// process. With less, customers of low demand run out of credit every few intervals.
const DEMAND_DEVIATIONS: f64 = 2.0;

/// Credits and demand of one customer at one node.
#[derive(Debug)]
pub(crate) struct CustomerCredits {
    pub(crate) tag: Tag,
    pub(crate) home: ZoneId,
    batches: Vec<CreditBatch>,
    waiting: Rc<Cell<u32>>,
    arrivals: u32,
    demand: f64,
    active_until: Instant,
    issuers: SortedVec<ZoneId, IssuerState>,
}

/// Last reply of one issuer for the customer, and the credits requested since.
#[derive(Debug, Default)]
struct IssuerState {
    /// Time until which the issuer is short of credit.
    short_until: Instant,
    /// Time until which the issuer does not issue credits for the customer.
    unavailable_until: Instant,
    /// Waiting requests covered by the last credit request, until its reply times out.
    requested_waiting: u32,
    requested_until: Instant,
    /// Credits requested in the last request, urgent and prefetch together.
    requested_credits: u32,
    /// The last grant was smaller than requested.
    unfilled: bool,
}

impl CustomerCredits {
    pub(crate) fn new(tag: Tag, home: ZoneId) -> Self {
        Self {
            tag,
            home,
            batches: Vec::new(),
            waiting: Rc::default(),
            arrivals: 0,
            demand: 0.0,
            active_until: Instant::default(),
            issuers: SortedVec::new(),
        }
    }

    /// Counts an arriving request and marks the customer as active.
    pub(crate) fn record_arrival(&mut self, now: Instant, settings: &CreditSettings) {
        self.arrivals += 1;
        self.active_until = now + settings.idle_timeout;
    }

    /// Takes the free credit that expires first.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Credit> {
        self.drop_expired(now);
        self.batches.iter().find_map(CreditBatch::take)
    }

    /// Starts or continues the wait of a request.
    pub(crate) fn wait(&self, customer: &CustomerId, deadline: Instant) -> Admission {
        Admission::Wait(WaitTicket::new(customer, deadline, &self.waiting))
    }

    /// Marks the customer as inactive, so that its free credits are returned.
    pub(crate) fn deactivate(&mut self) {
        self.active_until = Instant::default();
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.get()
    }

    /// Returns whether the issuer may have credit now, according to its last reply.
    pub(crate) fn may_provide(&self, now: Instant, zone: &ZoneId) -> bool {
        match self.issuers.get(zone) {
            Some(issuer) => issuer.unavailable_until.max(issuer.short_until) <= now,
            None => true,
        }
    }

    /// Returns the refusal according to the last reply of the home zone's issuer.
    pub(crate) fn refusal(&self, now: Instant) -> Refusal {
        let home = self.issuers.get(&self.home);
        match home.map(|issuer| issuer.short_until.saturating_since(now)) {
            Some(retry_after) if !retry_after.is_zero() => Refusal::RateExceeded { retry_after },
            _ => Refusal::CreditUnavailable,
        }
    }

    /// Updates the expected demand and starts a new interval.
    pub(crate) fn start_demand_interval(&mut self) {
        self.demand = f64::from(self.arrivals).max(self.demand * DEMAND_DECAY);
        self.arrivals = 0;
    }

    /// Returns the number of credits to hold until the next regular request.
    pub(crate) fn desired(&self, now: Instant, settings: &CreditSettings) -> u32 {
        match now < self.active_until {
            true => {
                let headroom = DEMAND_DEVIATIONS * self.demand.sqrt();
                (self.demand + headroom).round() as u32 + settings.reserve
            }
            false => 0,
        }
    }

    /// Returns the number of free credits that are still valid at `instant`.
    pub(crate) fn free_at(&self, instant: Instant) -> u32 {
        let valid = self.batches.iter().filter(|batch| batch.expires > instant);
        valid.map(CreditBatch::free).sum()
    }

    /// Returns the number of waiting requests for which no credit was requested from the issuer
    /// yet.
    pub(crate) fn unrequested(&self, now: Instant, zone: &ZoneId) -> u32 {
        let issuer = self.issuers.get(zone).filter(|issuer| now < issuer.requested_until);
        self.waiting().saturating_sub(issuer.map_or(0, |issuer| issuer.requested_waiting))
    }

    /// Returns whether the last grant of the issuer was smaller than requested.
    pub(crate) fn is_unfilled(&self, zone: &ZoneId) -> bool {
        self.issuers.get(zone).is_some_and(|issuer| issuer.unfilled)
    }

    /// Records a request to the issuer that covers all waiting requests; its reply times out at
    /// `deadline`.
    pub(crate) fn record_request(
        &mut self,
        zone: &ZoneId,
        entry: &CreditRequestEntry,
        deadline: Instant,
    ) {
        let waiting = self.waiting();
        let issuer = self.issuers.get_or_insert_with(zone.clone(), IssuerState::default);
        issuer.requested_credits = entry.urgent + entry.prefetch;
        if entry.urgent > 0 {
            issuer.requested_waiting = waiting;
            issuer.requested_until = deadline;
        }
    }

    /// Records a grant of the issuer, which is short of credit until `short_until`.
    pub(crate) fn record_grant(&mut self, zone: &ZoneId, credits: u32, short_until: Instant) {
        let requested = self.issuers.get(zone).map_or(0, |issuer| issuer.requested_credits);
        let unfilled = credits < requested;
        let issuer = IssuerState { short_until, unfilled, ..IssuerState::default() };
        self.issuers.insert(zone.clone(), issuer);
    }

    /// Records that the issuer does not issue for the customer until `unavailable_until`.
    pub(crate) fn record_unavailable(&mut self, zone: &ZoneId, unavailable_until: Instant) {
        let issuer = IssuerState { unavailable_until, unfilled: true, ..IssuerState::default() };
        self.issuers.insert(zone.clone(), issuer);
    }

    /// Adds granted credits, in order of expiry.
    pub(crate) fn add_batch(&mut self, batch: CreditBatch) {
        let after = |other: &CreditBatch| other.expires > batch.expires;
        let index = self.batches.iter().position(after).unwrap_or(self.batches.len());
        self.batches.insert(index, batch);
    }

    /// Settles credits of one issuer: reports the used ones, returns all free ones that expire by
    /// `instant`, and of the other free ones those in excess of `keep`.
    pub(crate) fn settle(
        &mut self,
        zone: &ZoneId,
        term: IssuerTerm,
        instant: Instant,
        keep: u32,
    ) -> Vec<Settlement> {
        let mut surplus = self.free_at(instant).saturating_sub(keep);
        let mut settlements = Vec::new();
        let from_issuer = |batch: &&CreditBatch| batch.zone == *zone && batch.term == term;
        for batch in self.batches.iter().filter(from_issuer) {
            let max_returned = if batch.expires <= instant { u32::MAX } else { surplus };
            let settlement = batch.settle(max_returned);
            if batch.expires > instant {
                surplus -= settlement.as_ref().map_or(0, |settlement| settlement.returned);
            }
            settlements.extend(settlement);
        }
        settlements
    }

    fn drop_expired(&mut self, now: Instant) {
        self.batches.retain(|batch| batch.expires > now);
    }
}
