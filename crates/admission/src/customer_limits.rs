//! A node's tokens for requests of customers.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Incarnation, Instant, NodeId, SortedVec};
use wagtailmoor_limits::TokenBucket;
use wagtailmoor_site::CustomerRule;

use crate::window_count::WindowCount;
use crate::{CustomerUsage, LimitReport, LimitSettings, NodeAllowance, ReportTiming};

/// A new process waits this long for the first reply of an issuer before it assumes an equal share.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Tokens that return while no requests arrive are stated once in this time. Until then the issuer
/// counts them as still here.
const RESTATE_INTERVAL: Duration = Duration::from_millis(600);

/// A request that exceeds the limit of its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time after which the customer is likely to be within its limit.
    pub retry_after: Duration,
    /// Whether the issuer may have tokens for the request.
    pub may_ask: bool,
}

#[derive(Debug, Default)]
struct Account {
    /// Tokens that requests may take.
    available: u32,
    /// Tokens that requests may take only while no issuer answers.
    reserve: u32,
    /// Tokens of requests that were admitted and not sent yet.
    taken: u32,
    /// Tokens of requests that were sent within the window.
    recent: WindowCount,
    /// Tokens that can be used again, while reports fail. They return to the issuer with the next report
    /// that it answers; until then the node keeps them.
    returning: u32,
    /// Those of them that the last report stated.
    stated_returning: u32,
    /// Rate at which a process without an issuer uses an equal share, or its reserve.
    unaided: Option<TokenBucket>,
    /// Level that the issuer stated last.
    level: i32,
    /// Whether the customer was near its limit at the last reply, so that asking for tokens before
    /// the next report is of no use.
    must_wait: bool,
    last_arrival: Instant,
    /// Tokens that the last report with this customer stated, and when.
    stated: (u32, Instant),
    arrived: u32,
    admitted: u32,
}

impl Account {
    fn unused(&self) -> u32 {
        self.available + self.taken
    }

    fn recent(&self) -> u32 {
        self.recent.total() + self.returning
    }

    /// Returns whether the next report states this customer.
    fn must_state(&self, now: Instant) -> bool {
        let (tokens, stated_at) = self.stated;
        let is_due = tokens == 0 || self.tokens() == 0 || now >= stated_at + RESTATE_INTERVAL;
        self.arrived > 0 || (tokens != self.tokens() && is_due)
    }

    /// Returns all tokens of the node.
    fn tokens(&self) -> u32 {
        self.unused() + self.reserve + self.recent()
    }

    /// Makes a token of the reserve available, at the rate at which the tokens of the node can be used
    /// again and again.
    fn use_reserve(&mut self, now: Instant, window: Duration) {
        let rate_per_s = f64::from(self.tokens()) / window.as_secs_f64();
        let bucket = self.unaided.get_or_insert_with(|| TokenBucket::full(now, rate_per_s, 1.0));
        if self.available == 0 && self.reserve > 0 && bucket.take(now, 1.0) {
            self.reserve -= 1;
            self.available = 1;
        }
    }

    /// Makes a token of an equal share available, which this process uses from `from` on.
    fn assume_share(&mut self, now: Instant, from: Instant, share: u32, window: Duration) {
        let rate_per_s = f64::from(share) / window.as_secs_f64();
        let bucket = self
            .unaided
            .get_or_insert_with(|| TokenBucket::with_level(now, rate_per_s, f64::from(share), 1.0));
        bucket.set(now, rate_per_s, f64::from(share));
        let has_room = self.recent.total() + self.taken < share;
        if now >= from && self.available == 0 && has_room && bucket.take(now, 1.0) {
            self.available = 1;
        }
    }

    fn apply(&mut self, allowance: &NodeAllowance) {
        let from_reserve = allowance.from_reserve.min(self.reserve);
        let tokens = allowance.tokens.saturating_add(from_reserve);
        self.available = self.available.saturating_add(tokens).min(allowance.unused_max);
        let reserve = (self.reserve - from_reserve).saturating_add(allowance.reserved);
        self.reserve = reserve.min(allowance.reserve_max);
        self.level = allowance.level;
        self.must_wait = !allowance.may_ask;
        self.unaided = None;
    }
}

/// A node's tokens for requests of customers.
///
/// A customer has as many tokens as it may send requests in a window. A token is at one node or at
/// the issuer. A request takes one, and the token can be used again when the window has passed since
/// the request was sent. So the requests of a window never exceed the tokens, whoever issued them
/// and however many issuers there have been.
///
/// Each node has a few tokens without a grant, and further ones by grants of the issuer. With an
/// issuer, tokens that can be used again return to it. Without one, the node keeps them: all for the
/// time of the lease, and then an equal share. A process that never had an issuer uses an equal share
/// at the customer's rate.
#[derive(Debug)]
pub struct CustomerLimits {
    settings: LimitSettings,
    accounts: SortedVec<CustomerId, Account>,
    started_at: Instant,
    last_reply: Option<Instant>,
    /// Whether an issuer that knew of the tokens of all nodes has replied. Until then this process
    /// uses an equal share, which issuers keep for processes that restart.
    has_joined: bool,
    last_report_answered: bool,
    /// Whether the issuer has had a full report of this process.
    is_known: bool,
    /// Zero while it is not known: at the first start of a site, a process does not know how many
    /// others assume a share as well.
    nodes: u32,
    reports: u64,
}

impl CustomerLimits {
    /// Creates the limits of a process that starts and has no reply of an issuer yet.
    pub fn new(now: Instant, settings: LimitSettings) -> Self {
        Self {
            settings,
            accounts: SortedVec::new(),
            started_at: now,
            last_reply: None,
            has_joined: false,
            last_report_answered: false,
            is_known: false,
            nodes: 0,
            reports: 0,
        }
    }

    /// Sets the number of nodes from another source, such as the store. Ignored while a reply of
    /// the issuer is valid. Without one, the number determines the equal share of this node.
    pub fn assume_nodes(&mut self, now: Instant, nodes: u32) {
        if nodes > 0 && !self.has_issuer(now) {
            self.nodes = nodes;
        }
    }

    /// Applies a reply of the issuer: tokens in addition to those stated in the report, and the
    /// number of nodes, or zero if the issuer may not know it. `is_settled` states whether the issuer knows of the tokens of all nodes, `is_known` whether it
    /// knows those of this one.
    pub fn apply_reply(
        &mut self,
        now: Instant,
        allowances: Vec<NodeAllowance>,
        nodes: u32,
        is_settled: bool,
        is_known: bool,
    ) {
        self.is_known = is_known;
        self.last_reply = Some(now);
        self.last_report_answered = true;
        if nodes > 0 {
            self.nodes = nodes;
        }
        self.has_joined |= is_settled;
        let window = self.settings.window;
        for account in self.accounts.values_mut() {
            account.returning -= std::mem::take(&mut account.stated_returning);
            // Clients that have moved to other nodes need the tokens there.
            if now.saturating_since(account.last_arrival) >= window {
                (account.available, account.reserve) = (0, 0);
            }
        }
        for allowance in allowances {
            let customer = allowance.customer.clone();
            self.accounts.get_or_insert_with(customer, Account::default).apply(&allowance);
        }
    }

    /// Admits one request of a customer if a token is available.
    ///
    /// # Errors
    ///
    /// No token is available.
    pub fn admit(&mut self, now: Instant, rule: &CustomerRule) -> Result<(), LimitExceeded> {
        if !rule.is_limited() {
            return Ok(());
        }
        self.settle(now, rule);
        let has_issuer = self.has_issuer(now);
        let retry_after = self.retry_delay(rule);
        let (has_joined, base) = (self.has_joined, self.settings.base(rule, self.nodes));
        let account = self.accounts.get_or_insert_with(rule.customer.clone(), Account::default);
        account.arrived += 1;
        account.last_arrival = now;
        if has_joined && account.available == 0 && account.tokens() < base {
            account.available = 1;
        }
        match account.available.checked_sub(1) {
            Some(left) => {
                account.available = left;
                account.taken += 1;
                account.admitted += 1;
                Ok(())
            }
            None => {
                let may_ask = has_issuer && !account.must_wait;
                Err(LimitExceeded { retry_after, may_ask })
            }
        }
    }

    /// Takes back the arrival of a request that is admitted again after the issuer was asked.
    pub fn forget_arrival(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.arrived = account.arrived.saturating_sub(1);
        }
    }

    /// Records that an admitted request was sent; its token can be used again when the window has
    /// passed.
    pub fn record_sent(&mut self, now: Instant, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer)
            && let Some(left) = account.taken.checked_sub(1)
        {
            account.taken = left;
            account.recent.add(now);
        }
    }

    /// Refunds a request that was admitted but not sent.
    pub fn refund(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer)
            && let Some(left) = account.taken.checked_sub(1)
        {
            account.taken = left;
            account.available += 1;
            account.admitted = account.admitted.saturating_sub(1);
        }
    }

    /// Returns the reserve with the next report. A process that stops needs none.
    pub fn release_reserve(&mut self) {
        self.accounts.values_mut().for_each(|account| account.reserve = 0);
    }

    /// Returns the tokens at this node, and resets the counts of requests.
    pub fn take_report(&mut self, now: Instant, node: NodeId, process: Incarnation) -> LimitReport {
        let has_issuer = self.has_issuer(now);
        let window = self.settings.window;
        let is_full = !self.is_known;
        let mut customers = Vec::new();
        for (customer, account) in self.accounts.iter_mut() {
            if has_issuer && self.has_joined {
                let usable_again = account.recent.expire(now, window);
                // Kept once a report has failed: its issuer may have gone.
                account.returning += if self.last_report_answered { 0 } else { usable_again };
            }
            if is_full || account.must_state(now) {
                account.stated_returning = account.returning;
                account.stated = (account.tokens(), now);
                // The reply names the customers that are near their limits.
                account.must_wait = false;
                customers.push(CustomerUsage {
                    customer: customer.clone(),
                    arrived: std::mem::take(&mut account.arrived),
                    admitted: std::mem::take(&mut account.admitted),
                    unused: account.unused(),
                    reserve: account.reserve,
                    recent: account.recent(),
                });
            }
        }
        self.accounts.retain(|_, account| {
            account.tokens() > 0
                || account.stated.0 > 0
                || account.unaided.is_some()
                || now.saturating_since(account.last_arrival) < window
        });
        self.reports += 1;
        self.last_report_answered = false;
        LimitReport {
            node,
            incarnation: process,
            sequence: self.reports,
            has_issuer: self.has_joined,
            is_full,
            customers,
            former: None,
        }
    }

    /// Adds counts of requests that could not be reported to an issuer to the next report, which is
    /// full.
    pub fn restore_counts(&mut self, unreported: Vec<CustomerUsage>) {
        self.is_known = false;
        for CustomerUsage { customer, arrived, admitted, .. } in unreported {
            if let Some(account) = self.accounts.get_mut(&customer) {
                account.arrived += arrived;
                account.admitted += admitted;
            }
        }
    }

    /// Returns whether a reply of the issuer is valid.
    fn has_issuer(&self, now: Instant) -> bool {
        self.last_reply.is_some_and(|last| now < last + ReportTiming::REPLY_LIFETIME)
    }

    /// Makes tokens available that a node without an issuer may use.
    fn settle(&mut self, now: Instant, rule: &CustomerRule) {
        if self.has_joined && self.has_issuer(now) {
            return;
        }
        let share = self.settings.equal_share(rule, self.nodes);
        let window = self.settings.window;
        let account = self.accounts.get_or_insert_with(rule.customer.clone(), Account::default);
        let usable_again = account.recent.expire(now, window) + account.returning;
        (account.returning, account.stated_returning) = (0, 0);
        match self.last_reply {
            Some(last) if self.has_joined => {
                account.available += usable_again;
                if now >= last + LimitSettings::LEASE {
                    let room = share.saturating_sub(account.recent.total() + account.taken);
                    account.available = account.available.min(room);
                    account.reserve = account.reserve.min(room - account.available);
                }
                account.use_reserve(now, window);
            }
            // The number of processes that assume a share is not known.
            _ if self.nodes == 0 => {}
            _ => account.assume_share(now, self.started_at + FIRST_REPLY_TIMEOUT, share, window),
        }
    }

    /// Returns the time until the customer may send one request per node again.
    fn retry_delay(&self, rule: &CustomerRule) -> Duration {
        let (rate_per_s, _) = self.settings.limit(rule);
        let level = self.accounts.get(&rule.customer).map_or(0, |account| account.level);
        let missing = f64::from(self.nodes) - f64::from(level.min(0));
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(Duration::from_secs(1))
    }
}
