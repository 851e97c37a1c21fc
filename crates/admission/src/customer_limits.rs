//! A node's share of the customers' rate limits.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec};
use wagtailmoor_limits::TokenBucket;
use wagtailmoor_site::CustomerRule;

use crate::limit_settings::LocalLimit;
use crate::{CustomerUsage, LimitSettings, NodeAllowance, ReportTiming};

/// How a node admits requests of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// The customer is well within its limit.
    Independent,
    /// The customer is near its limit, and the issuer has assigned an allowance to this node.
    Allowance { share: f64, level: f64 },
    /// The node has no recent reply from the issuer and uses an equal share of the limit.
    Disconnected,
}

#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    mode: Mode,
    arrived: u32,
    admitted: u32,
}

/// A node's share of the customers' rate limits.
#[derive(Debug)]
pub struct CustomerLimits {
    settings: LimitSettings,
    accounts: SortedVec<CustomerId, Account>,
    allowances: SortedVec<CustomerId, NodeAllowance>,
    reply_valid_until: Instant,
    /// Whether an issuer has replied since this node started.
    issuer_has_replied: bool,
    nodes: u32,
}

impl CustomerLimits {
    /// Creates the limits of a node that has not received a reply from the issuer yet.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            nodes: settings.nodes_assumed,
            settings,
            accounts: SortedVec::new(),
            allowances: SortedVec::new(),
            reply_valid_until: Instant::default(),
            issuer_has_replied: false,
        }
    }

    /// Sets the number of nodes from another source, such as the store. Ignored while a reply of
    /// the issuer is valid. Without one, the number determines the equal share of this node.
    pub fn assume_nodes(&mut self, now: Instant, nodes: u32) {
        if nodes > 0 && now >= self.reply_valid_until {
            self.nodes = nodes;
        }
    }

    /// Applies a reply of the issuer: allowances for customers near their limits, and the number of
    /// nodes. Customers without an allowance are well within their limits.
    pub fn apply_reply(&mut self, sent_at: Instant, allowances: Vec<NodeAllowance>, nodes: u32) {
        self.allowances = allowances
            .into_iter()
            .map(|allowance| (allowance.customer.clone(), allowance))
            .collect();
        self.reply_valid_until = sent_at + ReportTiming::REPLY_LIFETIME;
        self.issuer_has_replied = true;
        self.nodes = nodes.max(1);
        // A new allowance replaces the previous one even if that was not used up. The mode is reset
        // so that the next request starts a new bucket.
        for (customer, account) in self.accounts.iter_mut() {
            if self.allowances.contains_key(customer) {
                account.mode = Mode::Disconnected;
            }
        }
    }

    /// Admits one request of a customer if its limit allows that.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the customer is likely to be within its limit.
    pub fn admit(&mut self, now: Instant, rule: &CustomerRule) -> Result<(), Duration> {
        let mode = self.mode(now, &rule.customer);
        let (rate_per_s, _) = self.settings.limit(rule);
        let nodes = f64::from(self.nodes);
        let full_bucket = |limit: LocalLimit| (limit.rate_per_s, limit.burst, None);
        let (rate_per_s, burst, level) = match mode {
            Mode::Independent => full_bucket(self.settings.independent_limit(rule, nodes)),
            Mode::Disconnected => full_bucket(self.settings.disconnected_limit(rule, nodes)),
            Mode::Allowance { share, level } if level > 0.0 => {
                (rate_per_s * share, (level * share).max(1.0), Some(level * share))
            }
            Mode::Allowance { .. } => (0.0, 1.0, Some(0.0)),
        };
        let new_account = || Account {
            bucket: TokenBucket::full(now, rate_per_s, burst),
            mode,
            arrived: 0,
            admitted: 0,
        };
        let account = self.accounts.get_or_insert_with(rule.customer.clone(), new_account);
        account.arrived += 1;
        if !rule.is_limited() {
            return Ok(());
        }
        account.bucket.set(now, rate_per_s, burst);
        if account.mode != mode {
            let before = std::mem::replace(&mut account.mode, mode);
            account.bucket = match (level, before) {
                (Some(level), _) => TokenBucket::with_level(now, rate_per_s, burst, level),
                // What the issuer granted last is part of the limit of the window.
                (None, Mode::Allowance { .. }) if mode == Mode::Disconnected => {
                    TokenBucket::empty(now, rate_per_s, burst)
                }
                (None, _) => TokenBucket::full(now, rate_per_s, burst),
            };
        }
        match account.bucket.take(now, 1.0) {
            true => {
                account.admitted += 1;
                Ok(())
            }
            false => Err(self.retry_delay(rule, mode)),
        }
    }

    /// Refunds a request that was admitted but did not run.
    pub fn refund(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.bucket.add(1.0);
            account.admitted = account.admitted.saturating_sub(1);
        }
    }

    /// Returns and resets the counts of requests per customer.
    pub fn take_usage(&mut self) -> Vec<CustomerUsage> {
        let accounts = self.accounts.iter_mut();
        accounts
            .filter(|(_, account)| account.arrived > 0)
            .map(|(customer, account)| CustomerUsage {
                customer: customer.clone(),
                arrived: std::mem::take(&mut account.arrived),
                admitted: std::mem::take(&mut account.admitted),
            })
            .collect()
    }

    /// Adds counts that could not be reported to an issuer to the next report. This is done only
    /// until the first reply: after a restart of all nodes they admit requests before there is an
    /// issuer. Later, the issuer charges the accounts for nodes that do not report.
    pub fn restore_usage(&mut self, unreported: Vec<CustomerUsage>) {
        if self.issuer_has_replied {
            return;
        }
        for CustomerUsage { customer, arrived, admitted } in unreported {
            if let Some(account) = self.accounts.get_mut(&customer) {
                account.arrived += arrived;
                account.admitted += admitted;
            }
        }
    }

    fn mode(&self, now: Instant, customer: &CustomerId) -> Mode {
        match self.allowances.get(customer) {
            _ if now >= self.reply_valid_until => Mode::Disconnected,
            None => Mode::Independent,
            Some(allowance) => Mode::Allowance {
                share: allowance.share.of(1.0),
                level: f64::from(allowance.level),
            },
        }
    }

    /// Returns the time until the account contains one request per node again.
    fn retry_delay(&self, rule: &CustomerRule, mode: Mode) -> Duration {
        let (rate_per_s, _) = self.settings.limit(rule);
        let missing = match mode {
            Mode::Allowance { level, .. } => f64::from(self.nodes) - level.min(0.0),
            Mode::Independent | Mode::Disconnected => f64::from(self.nodes),
        };
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(Duration::from_secs(1))
    }
}
