//! Requests of a credit holder to the issuer of one zone.

use wagtailmoor_core::{CustomerId, Instant};

use crate::{CreditSettings, IssuerTerm, TokenBucket};

/// Number of requests whose replies are still accepted; replies to older ones are dropped.
const MAX_PENDING: usize = 4;
const URGENT_BURST: f64 = 4.0;

/// Schedule and pending requests of a credit holder for the issuer of one zone.
#[derive(Debug)]
pub(crate) struct IssuerClient {
    pub(crate) term: IssuerTerm,
    next_regular: Instant,
    /// Time until which the issuer counts as unresponsive because of an unanswered request. The
    /// state expires, so that a node that was idle sends a request instead of refusing because of
    /// an old timeout.
    unresponsive_until: Instant,
    next_sequence: u32,
    pending: Vec<PendingRequest>,
    urgent_budget: TokenBucket,
}

/// A request that has no reply yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    sequence: u32,
    pub(crate) sent_at: Instant,
    pub(crate) customers: Vec<CustomerId>,
}

impl IssuerClient {
    pub(crate) fn new(now: Instant, settings: &CreditSettings) -> Self {
        Self {
            term: IssuerTerm::default(),
            next_regular: now,
            unresponsive_until: Instant::default(),
            next_sequence: 1,
            pending: Vec::new(),
            urgent_budget: TokenBucket::full(now, f64::from(settings.urgent_per_s), URGENT_BURST),
        }
    }

    /// Marks the issuer as unresponsive if a request was not answered in time.
    pub(crate) fn check_timeouts(&mut self, now: Instant, settings: &CreditSettings) {
        let is_late = |pending: &&PendingRequest| now >= pending.sent_at + settings.reply_timeout;
        if let Some(sent_at) =
            self.pending.iter().filter(is_late).map(|pending| pending.sent_at).max()
        {
            self.unresponsive_until = sent_at + settings.interval * 2;
        }
    }

    /// Returns whether a recent request was not answered in time.
    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        now < self.unresponsive_until
    }

    /// Returns when the next regular request is due.
    pub(crate) fn next_regular(&self) -> Instant {
        self.next_regular
    }

    /// Returns whether a request may be sent now, and charges an urgent one to the urgent budget.
    ///
    /// An urgent request carries everything that a regular one does, so it restarts the regular
    /// interval. It is held back while a reply is pending, because it could overtake that request.
    pub(crate) fn try_begin_request(
        &mut self,
        now: Instant,
        urgent: bool,
        settings: &CreditSettings,
    ) -> bool {
        let in_time = |pending: &PendingRequest| now < pending.sent_at + settings.reply_timeout;
        let in_flight = self.pending.iter().any(in_time);
        let due =
            now >= self.next_regular || urgent && !in_flight && self.urgent_budget.take(now, 1.0);
        if due {
            self.next_regular = now + settings.interval;
        }
        due
    }

    /// Makes the next regular request due.
    pub(crate) fn expedite(&mut self, now: Instant) {
        self.next_regular = now;
    }

    /// Records a request that is sent now and returns its sequence number.
    pub(crate) fn record_sent(&mut self, now: Instant, customers: Vec<CustomerId>) -> u32 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(PendingRequest { sequence, sent_at: now, customers });
        sequence
    }

    /// Removes and returns the pending request with this sequence number.
    pub(crate) fn take_pending(&mut self, sequence: u32) -> Option<PendingRequest> {
        let index = self.pending.iter().position(|pending| pending.sequence == sequence)?;
        let answered = self.pending.remove(index);
        // The issuer has replied, so earlier requests without a reply are no sign that it is
        // unresponsive: their messages were reordered or lost.
        self.pending
            .retain(|pending| pending.sequence > sequence || pending.sent_at >= answered.sent_at);
        self.unresponsive_until = Instant::default();
        Some(answered)
    }
}
