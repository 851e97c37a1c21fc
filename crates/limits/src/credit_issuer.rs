//! Issuer of customers' credits; runs in the controller of a zone.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec};

use crate::credit_account::{CreditAccount, ISSUE_SLOT};
use crate::credit_terms::MAX_VALIDITY;
use crate::drift::add_drift_margin;
use crate::replay_filter::ReplayFilter;
use crate::{
    CreditGrant, CreditReply, CreditRequest, CreditRequestEntry, CreditTerms, Issuer, IssuerTerm,
    Tag,
};

/// Divisor of the issuable credits that bounds the prefetch of one request.
///
/// Prefetch covers expected demand only, so most of a scarce bucket is left to requests that wait
/// at other nodes. With a divisor of 2, nodes wrongly refuse several times as many requests at 80%
/// of the rate.
const PREFETCH_DIVISOR: f64 = 4.0;

/// Issues credits for the customers homed in a zone, and the zone's static share of all others.
///
/// A new issuer starts with empty accounts, and issues once the credits of previous issuers have
/// expired.
#[derive(Clone, Debug)]
pub struct CreditIssuer {
    term: IssuerTerm,
    created: Instant,
    accounts: SortedVec<Tag, CreditAccount>,
    replay_filter: ReplayFilter,
}

impl CreditIssuer {
    /// Creates an issuer; `now` is the time at which the controller gained authority.
    pub fn new(now: Instant, term: IssuerTerm) -> Self {
        Self {
            term,
            created: now,
            accounts: SortedVec::new(),
            replay_filter: ReplayFilter::default(),
        }
    }

    /// Adds a customer or changes its terms.
    ///
    /// The credits of a new customer or of an increased share are issued once the previous issuer's
    /// credits have expired. The caller increases a share only after the previous issuer has
    /// reduced its own or has lost its authority.
    pub fn set_customer(&mut self, now: Instant, customer: &CustomerId, terms: CreditTerms) {
        let tag = Tag::of(customer.as_str());
        let issue_from = now + add_drift_margin(MAX_VALIDITY);
        match self.accounts.get_mut(&tag) {
            Some(account) => account.set_terms(now, issue_from, terms),
            None => {
                self.accounts.insert(tag, CreditAccount::new(issue_from, terms));
            }
        }
    }

    /// Removes a customer.
    pub fn remove_customer(&mut self, customer: &CustomerId) {
        self.accounts.remove(&Tag::of(customer.as_str()));
    }

    /// Returns the number of customers.
    pub fn customers(&self) -> usize {
        self.accounts.len()
    }

    fn issue_slot(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_since(self.created).as_micros() / ISSUE_SLOT.as_micros();
        u32::try_from(elapsed).unwrap_or(u32::MAX)
    }

    fn grant(
        account: &mut CreditAccount,
        now: Instant,
        issue_slot: u32,
        entry: &CreditRequestEntry,
    ) -> CreditGrant {
        let time_until_issue = account.time_until_issue(now);
        if !time_until_issue.is_zero() {
            let retry_ms = at_least_1_ms(time_until_issue);
            return CreditGrant { retry_ms, ..CreditGrant::default() };
        }
        let urgent = account.issue(now, issue_slot, f64::from(entry.urgent));
        let prefetchable =
            (account.level() / PREFETCH_DIVISOR).max((account.level() - 1.0).min(1.0));
        let prefetch = account.issue(now, issue_slot, f64::from(entry.prefetch).min(prefetchable));
        let is_short = urgent < entry.urgent || (entry.prefetch > 0 && account.level() < 1.0);
        CreditGrant {
            credits: urgent + prefetch,
            validity_10ms: in_10ms(account.validity()),
            retry_ms: if is_short { at_least_1_ms(account.time_to_next_credit()) } else { 0 },
        }
    }

    fn on_entry(
        &mut self,
        now: Instant,
        issue_slot: u32,
        entry: &CreditRequestEntry,
        settle: bool,
    ) -> CreditGrant {
        let Some(account) = self.accounts.get_mut(&entry.customer) else {
            return CreditGrant::default();
        };
        account.advance(now);
        if settle {
            entry.settlements.iter().for_each(|settlement| account.settle(settlement));
        }
        Self::grant(account, now, issue_slot, entry)
    }
}

impl Issuer for CreditIssuer {
    type Request = CreditRequest;
    type Reply = CreditReply;

    fn term(&self) -> IssuerTerm {
        self.term
    }

    fn on_request(&mut self, now: Instant, request: &CreditRequest) -> CreditReply {
        let issue_slot = self.issue_slot(now);
        let is_new =
            self.replay_filter.accept(now, &request.node, request.incarnation, request.sequence);
        let settle = request.term == self.term;
        let grants = match is_new {
            true => request
                .entries
                .iter()
                .map(|entry| self.on_entry(now, issue_slot, entry, settle))
                .collect(),
            false => Vec::new(),
        };
        CreditReply { sequence: request.sequence, term: self.term, issue_slot, grants }
    }
}

fn in_10ms(duration: Duration) -> u8 {
    u8::try_from(duration.as_millis() / 10).unwrap_or(u8::MAX)
}

fn at_least_1_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1)
}
