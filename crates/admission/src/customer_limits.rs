//! A node's part of the customers' limits.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec};
use wagtailmoor_limits::TokenBucket;
use wagtailmoor_site::CustomerRule;

use crate::limit_settings::Part;
use crate::{CustomerUse, LimitSettings, NodeAllowance};

/// How a node may admit requests of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// The account of the customer is well filled.
    Free,
    /// The customer is near its limit.
    Tight { share: f64, level: f64 },
    /// The issuer is out of reach.
    Alone,
}

#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    mode: Mode,
    arrived: u32,
    admitted: u32,
}

/// A node's part of the customers' limits.
#[derive(Debug)]
pub struct CustomerLimits {
    settings: LimitSettings,
    accounts: SortedVec<CustomerId, Account>,
    allowances: SortedVec<CustomerId, NodeAllowance>,
    answer_until: Instant,
    /// Whether an issuer has answered since the start.
    was_answered: bool,
    nodes: u32,
}

impl CustomerLimits {
    /// Creates the limits of a node that has no word from the issuer yet.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            nodes: settings.nodes_assumed,
            settings,
            accounts: SortedVec::new(),
            allowances: SortedVec::new(),
            answer_until: Instant::default(),
            was_answered: false,
        }
    }

    /// Takes the number of nodes from another source, such as the store. Without the issuer's word a
    /// node lives on an equal share.
    pub fn assume_nodes(&mut self, now: Instant, nodes: u32) {
        if nodes > 0 && now >= self.answer_until {
            self.nodes = nodes;
        }
    }

    /// Takes the answer of the issuer: allowances for customers near their limits, and the number
    /// of nodes. Customers without an allowance are well within their limits.
    pub fn take_answer(&mut self, now: Instant, allowances: Vec<NodeAllowance>, nodes: u32) {
        self.allowances = allowances
            .into_iter()
            .map(|allowance| (allowance.customer.clone(), allowance))
            .collect();
        self.answer_until = now + self.settings.answer_lifetime;
        self.was_answered = true;
        self.nodes = nodes.max(1);
        // Each allowance replaces the one before, whether or not that was used up.
        for (customer, account) in self.accounts.iter_mut() {
            if self.allowances.contains_key(customer) {
                account.mode = Mode::Alone;
            }
        }
    }

    /// Takes one request of a customer, or returns when to come back.
    ///
    /// # Errors
    ///
    /// The time after which the customer is likely within its limit.
    pub fn admit(&mut self, now: Instant, rule: &CustomerRule) -> Result<(), Duration> {
        let mode = self.mode(now, &rule.customer);
        let (rate_per_s, _) = self.settings.limit(rule);
        let nodes = f64::from(self.nodes);
        let part = |part: Part| (part.rate_per_s, part.burst, None);
        let (rate_per_s, burst, level) = match mode {
            Mode::Free => part(self.settings.free_part(rule, nodes)),
            Mode::Alone => part(self.settings.alone_part(rule, nodes)),
            Mode::Tight { share, level } if level > 0.0 => {
                (rate_per_s * share, (level * share).max(1.0), Some(level * share))
            }
            Mode::Tight { .. } => (0.0, 1.0, Some(0.0)),
        };
        let make = || Account {
            bucket: TokenBucket::full(now, rate_per_s, burst),
            mode,
            arrived: 0,
            admitted: 0,
        };
        let account = self.accounts.get_or_insert_with(rule.customer.clone(), make);
        account.arrived += 1;
        if !rule.is_limited() {
            return Ok(());
        }
        account.bucket.set(now, rate_per_s, burst);
        if account.mode != mode {
            account.mode = mode;
            account.bucket = match level {
                Some(level) => TokenBucket::with_level(now, rate_per_s, burst, level),
                None => TokenBucket::full(now, rate_per_s, burst),
            };
        }
        match account.bucket.take(now, 1.0) {
            true => {
                account.admitted += 1;
                Ok(())
            }
            false => Err(self.wait(rule, mode)),
        }
    }

    /// Gives back a request that was admitted and has not run.
    pub fn give_back(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.bucket.give(1.0);
            account.admitted = account.admitted.saturating_sub(1);
        }
    }

    /// Returns and clears what was admitted by customer.
    pub fn take_use(&mut self) -> Vec<CustomerUse> {
        let accounts = self.accounts.iter_mut();
        accounts
            .filter(|(_, account)| account.arrived > 0)
            .map(|(customer, account)| CustomerUse {
                customer: customer.clone(),
                arrived: std::mem::take(&mut account.arrived),
                admitted: std::mem::take(&mut account.admitted),
            })
            .collect()
    }

    /// Takes back what no issuer heard of. After a start the next report repeats it: nodes that all
    /// restart at once admit before there is an issuer. Later an issuer that misses a node charges
    /// for it.
    pub fn return_use(&mut self, unheard: Vec<CustomerUse>) {
        if self.was_answered {
            return;
        }
        for CustomerUse { customer, arrived, admitted } in unheard {
            if let Some(account) = self.accounts.get_mut(&customer) {
                account.arrived += arrived;
                account.admitted += admitted;
            }
        }
    }

    fn mode(&self, now: Instant, customer: &CustomerId) -> Mode {
        match self.allowances.get(customer) {
            _ if now >= self.answer_until => Mode::Alone,
            None => Mode::Free,
            Some(allowance) => {
                Mode::Tight { share: allowance.share.of(1.0), level: f64::from(allowance.level) }
            }
        }
    }

    /// Returns how long the account takes to hold a request for each node again.
    fn wait(&self, rule: &CustomerRule, mode: Mode) -> Duration {
        let (rate_per_s, _) = self.settings.limit(rule);
        let missing = match mode {
            Mode::Tight { level, .. } => f64::from(self.nodes) - level.min(0.0),
            Mode::Free | Mode::Alone => f64::from(self.nodes),
        };
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(Duration::from_secs(1))
    }
}
