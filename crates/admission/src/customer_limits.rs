//! A node's share of the customers' rate limits.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, SortedVec};
use wagtailmoor_limits::TokenBucket;
use wagtailmoor_site::CustomerRule;

use crate::limit_settings::LocalLimit;
use crate::{CustomerUsage, LimitSettings, NodeAllowance, ReportTiming, UsagePeriod, UsageReport};

/// Upper bound of what a node deducts from its equal share when the replies of the issuer end, as the
/// time in which the equal share makes up for it.
const DEDUCTION_MAX: Duration = Duration::from_millis(2_000);

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
    /// Requests admitted, and not refunded, since the last reply of the issuer.
    since_reply: u32,
}

/// A node's share of the customers' rate limits.
#[derive(Debug)]
pub struct CustomerLimits {
    settings: LimitSettings,
    accounts: SortedVec<CustomerId, Account>,
    allowances: SortedVec<CustomerId, NodeAllowance>,
    reply_valid_until: Instant,
    /// Start of the period of the next report.
    usage_since: Option<Instant>,
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
            usage_since: None,
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
        self.usage_since = Some(sent_at);
        self.reply_valid_until = sent_at + ReportTiming::REPLY_LIFETIME;
        self.nodes = nodes.max(1);
        // A new allowance replaces the previous one even if that was not used up. The mode is reset
        // so that the next request starts a new bucket.
        for (customer, account) in self.accounts.iter_mut() {
            account.since_reply = 0;
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
        let replied_at = self.replied_at();
        self.usage_since.get_or_insert(now);
        let full_bucket = |limit: LocalLimit| (limit.rate_per_s, limit.burst, None);
        let (rate_per_s, burst, level) = match mode {
            Mode::Independent if self.is_reply_late(now) => {
                full_bucket(self.settings.late_reply_limit(rule, nodes))
            }
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
            since_reply: 0,
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
                // Requests above the equal share since the last reply are deducted, so that the node
                // makes up for them.
                (None, Mode::Independent) if mode == Mode::Disconnected => {
                    let elapsed = now.saturating_since(replied_at);
                    let share = rate_per_s * elapsed.as_secs_f64();
                    let level = burst + share - f64::from(account.since_reply);
                    let level_min = -rate_per_s * DEDUCTION_MAX.as_secs_f64();
                    TokenBucket::with_level(now, rate_per_s, burst, level.max(level_min))
                }
                (None, _) => TokenBucket::full(now, rate_per_s, burst),
            };
        }
        match account.bucket.take(now, 1.0) {
            true => {
                account.admitted += 1;
                account.since_reply = account.since_reply.saturating_add(1);
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
            account.since_reply = account.since_reply.saturating_sub(1);
        }
    }

    /// Returns and resets the usage since the last report that was answered.
    pub fn take_usage(&mut self, now: Instant) -> UsageReport {
        let since = *self.usage_since.get_or_insert(now);
        let accounts = self.accounts.iter_mut();
        let customers = accounts
            .filter(|(_, account)| account.arrived > 0)
            .map(|(customer, account)| CustomerUsage {
                customer: customer.clone(),
                arrived: std::mem::take(&mut account.arrived),
                admitted: std::mem::take(&mut account.admitted),
            })
            .collect();
        UsageReport { period: UsagePeriod::new(since, now), customers }
    }

    /// Adds usage that could not be reported to an issuer to the next report. Usage of a period longer
    /// than [`ReportTiming::USAGE_PERIOD_MAX`] is dropped.
    pub fn restore_usage(&mut self, unreported: UsageReport) {
        let UsageReport { period, customers } = unreported;
        if period.duration() > ReportTiming::USAGE_PERIOD_MAX {
            self.usage_since = Some(period.end());
            return;
        }
        for CustomerUsage { customer, arrived, admitted } in customers {
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

    /// Returns when the report was sent that the issuer answered last.
    fn replied_at(&self) -> Instant {
        self.reply_valid_until - ReportTiming::REPLY_LIFETIME
    }

    /// Returns whether a report was not answered: the issuer may have failed.
    fn is_reply_late(&self, now: Instant) -> bool {
        let interval = ReportTiming::interval(self.nodes as usize);
        now.saturating_since(self.replied_at()) > 2 * interval
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
