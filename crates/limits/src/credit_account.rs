//! The issuer's account of one customer.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailmoor_core::Instant;

use crate::drift::{add_drift_margin, reduce_for_drift};
use crate::{CreditTerms, Settlement};

/// Length of the issue slots: credits issued within one slot are accounted for together.
pub(crate) const ISSUE_SLOT: Duration = Duration::from_millis(50);

/// Credits that can be issued, and outstanding credits that holders may still use.
///
/// Their sum never exceeds the capacity C. Credits that admit a request in a window of W seconds
/// were issuable or outstanding at its start or refilled within it. At most `C + rate × W` credits
/// are therefore used in any window, however often credits are returned and issued again.
#[derive(Clone, Debug)]
pub(crate) struct CreditAccount {
    terms: CreditTerms,
    next_terms: Option<(Instant, CreditTerms)>,
    level: f64,
    outstanding: VecDeque<IssueSlot>,
    issue_from: Instant,
    updated_at: Instant,
}

/// Outstanding credits that were issued within one [`ISSUE_SLOT`].
#[derive(Clone, Debug)]
struct IssueSlot {
    number: u32,
    credits: u32,
    expires: Instant,
}

impl CreditAccount {
    /// Creates an empty account that refills from `issue_from`.
    pub(crate) fn new(issue_from: Instant, terms: CreditTerms) -> Self {
        let outstanding = VecDeque::new();
        Self {
            terms,
            next_terms: None,
            level: 0.0,
            outstanding,
            issue_from,
            updated_at: issue_from,
        }
    }

    /// Changes the terms: a lower share at once, a higher one from `issue_from`.
    ///
    /// A share grows when the customer's home zone changes to this zone. Until `issue_from`,
    /// credits of the previous home's issuer may still be used.
    pub(crate) fn set_terms(&mut self, now: Instant, issue_from: Instant, terms: CreditTerms) {
        self.advance(now);
        if terms.share > self.terms.share {
            let interim = CreditTerms { share: self.terms.share, ..terms };
            self.next_terms = Some((issue_from, terms));
            self.terms = interim;
        } else {
            self.next_terms = None;
            self.terms = terms;
        }
        self.level = self.level.min(self.max_level());
    }

    /// Returns the time until credits of previous issuers have expired and this account may issue.
    pub(crate) fn time_until_issue(&self, now: Instant) -> Duration {
        self.issue_from.saturating_since(now)
    }

    /// Returns how long credits that are issued now are valid.
    pub(crate) fn validity(&self) -> Duration {
        self.terms.validity()
    }

    /// Applies refills, expiries and changes of terms up to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.refill(at);
            self.outstanding.retain(|issue_slot| issue_slot.expires > at);
            if let Some((_, terms)) = self.next_terms.take_if(|(issue_from, _)| *issue_from <= at) {
                self.terms = terms;
            }
        }
        self.refill(now);
    }

    /// Applies a report of used and returned credits.
    pub(crate) fn settle(&mut self, settlement: &Settlement) {
        let position = self
            .outstanding
            .iter()
            .position(|issue_slot| issue_slot.number == settlement.issue_slot);
        let Some(issue_slot) = position.map(|index| &mut self.outstanding[index]) else {
            return; // Expired: credits that the holder did not use are lost.
        };
        let returned = settlement.returned.min(issue_slot.credits);
        issue_slot.credits -= returned;
        issue_slot.credits = issue_slot.credits.saturating_sub(settlement.used);
        self.level += f64::from(returned);
    }

    /// Issues up to `credits` credits, which expire [`Self::validity`] after `now`, and returns
    /// their number.
    pub(crate) fn issue(&mut self, now: Instant, issue_slot: u32, credits: f64) -> u32 {
        let issued = credits.min(self.level).max(0.0).floor();
        self.level -= issued;
        let count = issued as u32;
        let expires = now + add_drift_margin(self.terms.validity());
        match self.outstanding.back_mut() {
            _ if count == 0 => {}
            Some(last) if last.number == issue_slot => {
                last.credits += count;
                last.expires = last.expires.max(expires);
            }
            _ => self.outstanding.push_back(IssueSlot {
                number: issue_slot,
                credits: count,
                expires,
            }),
        }
        count
    }

    /// Returns the credits that can be issued, with fractions.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until the next whole credit can be issued.
    pub(crate) fn time_to_next_credit(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let rate = reduce_for_drift(self.terms.rate_per_s());
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::from_secs(60))
    }

    fn next_event(&self) -> Option<Instant> {
        let expiry = self.outstanding.iter().map(|issue_slot| issue_slot.expires).min();
        let change = self.next_terms.as_ref().map(|(issue_from, _)| *issue_from);
        expiry.into_iter().chain(change).min()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        let gain = reduce_for_drift(self.terms.rate_per_s()) * elapsed;
        self.level = (self.level + gain).min(self.max_level()).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    fn max_level(&self) -> f64 {
        let outstanding: u32 = self.outstanding.iter().map(|issue_slot| issue_slot.credits).sum();
        (self.terms.capacity() - f64::from(outstanding)).max(0.0)
    }
}
