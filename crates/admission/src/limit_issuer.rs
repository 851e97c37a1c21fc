//! Accounts for the customers' rate limits over all nodes.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, NodeId, PartsPerMillion, SortedVec};
use wagtailmoor_site::CustomerRule;

use crate::{CustomerUsage, LimitSettings, NodeAllowance, ReportTiming, UsageReport};

/// A node without a report for this long no longer counts as a node of the site and is not listed
/// to the other nodes.
const LIVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The state of a node is dropped after this long without a report.
const REPORTER_RETENTION: Duration = Duration::from_secs(20);

/// Time constant of the average demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Part of a limit that is divided equally among the nodes, in percent, so that the first requests
/// at a node are admitted.
const EQUAL_PART_PERCENT: u32 = 20;

/// Level of an account below which nodes get allowances, in percent of the burst.
const ALLOWANCE_LEVEL_PERCENT: f64 = 60.0;

/// Part of the burst in an account at the start of a term. It is low because the window of the first
/// requests contains those that were admitted before the term, and above zero because customers
/// within their rate would be refused until the account has refilled.
const START_LEVEL_PART: f64 = 0.25;

/// The same on a new site, where no issuer has granted anything before. It is recognized by the
/// number of nodes before the term, which is zero.
const FIRST_START_LEVEL_PART: f64 = 0.5;

#[derive(Debug)]
struct Reporter {
    last_report: Instant,
    /// Whether the report was found to be overdue. The accounts were charged then for requests that
    /// the node may have admitted since its last report, and its demand was taken off the total.
    overdue: bool,
    /// Average requests per second by customer.
    demand: SortedVec<CustomerId, f64>,
    /// The last report that was counted, whether or not its reply arrived.
    counted: Option<UsageReport>,
    /// What the accounts were charged when the report became overdue.
    charged: SortedVec<CustomerId, f64>,
}

impl Reporter {
    fn new(now: Instant) -> Self {
        Self {
            last_report: now,
            overdue: false,
            demand: SortedVec::new(),
            counted: None,
            charged: SortedVec::new(),
        }
    }

    /// Returns whether a report arrives after a later one that contains it.
    fn is_outdated(&self, usage: &UsageReport) -> bool {
        let counted = self.counted.as_ref();
        counted.is_some_and(|counted| usage.period.is_outdated_by(counted.period))
    }

    /// Returns the part of a report that was not in earlier ones, with the time that it covers.
    fn take_new_usage(
        &mut self,
        now: Instant,
        usage: UsageReport,
    ) -> (Duration, Vec<CustomerUsage>) {
        let period = usage.period;
        let counted = self.counted.replace(usage.clone());
        let Some(counted) = counted.filter(|counted| period.continues(counted.period)) else {
            // The node has restarted or dropped usage. What it admitted before is unknown, so the
            // charge stays.
            self.charged.clear();
            return (period.duration().min(ReportTiming::USAGE_PERIOD_MAX), usage.customers);
        };
        let elapsed = now.saturating_since(self.last_report) + ReportTiming::REPLY_LIFETIME;
        let covered = period.duration_after(counted.period).min(elapsed);
        let covered = covered.min(ReportTiming::USAGE_PERIOD_MAX);
        match period.contains(counted.period) {
            true => (covered, increments(usage.customers, &counted.customers)),
            false => (covered, usage.customers),
        }
    }

    /// Updates the average demand.
    fn update_demand(&mut self, now: Instant, used: &[CustomerUsage]) {
        let elapsed_s = now.saturating_since(self.last_report).as_secs_f64();
        let time_constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let factor = (-elapsed_s / time_constant_s).exp();
        self.last_report = now;
        self.overdue = false;
        self.demand.retain(|_, rate| {
            *rate *= factor;
            *rate > 0.01
        });
        for CustomerUsage { customer, arrived, .. } in used {
            let rate = self.demand.get_or_insert_with(customer.clone(), || 0.0);
            *rate += f64::from(*arrived) / time_constant_s;
        }
    }

    /// Adds the demand to the total. The total is kept up to date with each report, since a sum
    /// over all nodes for each of them takes time that grows with the square of their number.
    fn add_demand(&self, total_demand: &mut SortedVec<CustomerId, f64>) {
        for (customer, rate) in self.demand.iter() {
            *total_demand.get_or_insert_with(customer.clone(), || 0.0) += rate;
        }
    }

    /// Takes the demand off the total.
    fn subtract_demand(&self, total_demand: &mut SortedVec<CustomerId, f64>) {
        for (customer, rate) in self.demand.iter() {
            if let Some(total) = total_demand.get_mut(customer) {
                *total = (*total - rate).max(0.0);
            }
        }
    }
}

/// A token bucket over all nodes: the requests that a customer may send at once, refilled at its
/// rate.
#[derive(Debug)]
struct Account {
    level: f64,
}

/// Accounts for the customers' rate limits over all nodes.
///
/// While the level of an account is high, nodes admit requests independently and only report them.
/// When it is low, each node gets an allowance by its demand, and the allowances of all nodes add
/// up to the level. Requests that nodes admitted before they received their allowances make the
/// level negative until the refill has made up for them.
#[derive(Debug)]
pub struct LimitIssuer {
    settings: LimitSettings,
    reporters: SortedVec<NodeId, Reporter>,
    accounts: SortedVec<CustomerId, Account>,
    /// Sum of the demand over all nodes whose report is not overdue.
    total_demand: SortedVec<CustomerId, f64>,
    term_start: Instant,
    /// Number of nodes that the previous issuer knew.
    nodes_before: u32,
}

impl LimitIssuer {
    /// Creates an issuer without accounts. Its term starts with [`LimitIssuer::start_term`].
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            reporters: SortedVec::new(),
            accounts: SortedVec::new(),
            total_demand: SortedVec::new(),
            term_start: Instant::default(),
            nodes_before: 0,
        }
    }

    /// Starts a term as issuer. `nodes_before` is the number of nodes that the previous issuer
    /// knew. Accounts from an earlier term of this process are out of date and dropped.
    pub fn start_term(&mut self, now: Instant, nodes_before: u32) {
        self.reporters.clear();
        self.accounts.clear();
        self.total_demand.clear();
        self.term_start = now;
        self.nodes_before = nodes_before;
    }

    /// Returns the number of nodes of the site. Until all nodes have had time to report, it is at
    /// least the number that the previous issuer knew: a limit that is divided among only the first
    /// few nodes to report would be exceeded.
    pub fn nodes(&self, now: Instant) -> u32 {
        let live = self.reporters.values().filter(|reporter| is_live(reporter, now)).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        live.max(self.expected_nodes(now))
    }

    /// Returns the number of nodes that the previous issuer knew, as long as some of them may not have
    /// reported to this one yet; zero after that.
    fn expected_nodes(&self, now: Instant) -> u32 {
        match now.saturating_since(self.term_start) < LIVE_TIMEOUT {
            true => self.nodes_before,
            false => 0,
        }
    }

    /// Records the requests that a node received and admitted since its last report, and refills the
    /// accounts by its equal share for the time that the report covers.
    ///
    /// So the equal share of a node that does not report is left out of the refill until it reports
    /// what it admitted meanwhile. The account of a customer near its limit is also charged for what
    /// such a node may have admitted, until it reports.
    pub fn record_usage<'c, R: Iterator<Item = &'c CustomerRule>>(
        &mut self,
        now: Instant,
        node: &NodeId,
        usage: UsageReport,
        rules: impl Fn() -> R,
    ) {
        if self.reporters.get(node).is_some_and(|reporter| reporter.is_outdated(&usage)) {
            return;
        }
        let limited = || rules().filter(|rule| rule.is_limited());
        self.add_accounts(limited());
        self.charge_overdue(now, limited());
        let known = self.reporters.len() + usize::from(!self.reporters.contains_key(node));
        let nodes = f64::from(self.expected_nodes(now)).max(known as f64);
        let reporter = self.reporters.get_or_insert_with(node.clone(), || Reporter::new(now));
        if !reporter.overdue {
            reporter.subtract_demand(&mut self.total_demand);
        }
        let (covered, used) = reporter.take_new_usage(now, usage);
        let covered_s = covered.as_secs_f64();
        for CustomerUsage { customer, admitted, .. } in &used {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.level -= f64::from(*admitted);
            }
        }
        for rule in limited() {
            let (rate_per_s, burst) = self.settings.limit(rule);
            if let Some(account) = self.accounts.get_mut(&rule.customer) {
                let returned = reporter.charged.get(&rule.customer).copied().unwrap_or_default();
                let refill = rate_per_s / nodes * covered_s;
                account.level = (account.level + refill + returned).min(burst);
            }
        }
        reporter.charged.clear();
        reporter.update_demand(now, &used);
        reporter.add_demand(&mut self.total_demand);
        self.reporters
            .retain(|_, reporter| now.saturating_since(reporter.last_report) < REPORTER_RETENTION);
    }

    /// Adds the missing accounts.
    fn add_accounts<'c>(&mut self, limited: impl Iterator<Item = &'c CustomerRule>) {
        let start_part = match self.nodes_before {
            0 => FIRST_START_LEVEL_PART,
            _ => START_LEVEL_PART,
        };
        for rule in limited {
            let (_, burst) = self.settings.limit(rule);
            // A new issuer does not know all that was admitted before its term.
            let new_entry = || Account { level: burst * start_part };
            self.accounts.get_or_insert_with(rule.customer.clone(), new_entry);
        }
    }

    /// Takes the demand of nodes whose report became overdue off the total, and charges the accounts
    /// of customers near their limits for what such nodes may have admitted.
    fn charge_overdue<'c>(
        &mut self,
        now: Instant,
        limited: impl Iterator<Item = &'c CustomerRule>,
    ) {
        let nodes = self.reporters.len().max(1) as f64;
        let overdue = self.reporters.values_mut().filter(|reporter| !is_reporting(reporter, now));
        let mut newly_overdue: Vec<_> = overdue.filter(|reporter| !reporter.overdue).collect();
        for reporter in &mut newly_overdue {
            reporter.overdue = true;
            reporter.subtract_demand(&mut self.total_demand);
        }
        if newly_overdue.is_empty() {
            return;
        }
        for rule in limited {
            let (_, burst) = self.settings.limit(rule);
            match self.accounts.get_mut(&rule.customer) {
                Some(account) if is_near_limit(account.level, burst) => {
                    let charge = self.settings.unreported_max(rule, nodes);
                    for reporter in &mut newly_overdue {
                        account.level -= charge;
                        reporter.charged.insert(rule.customer.clone(), charge);
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns the allowances of a node for all customers near their limits.
    pub fn allowances<'c>(
        &self,
        now: Instant,
        node: &NodeId,
        rules: impl Iterator<Item = &'c CustomerRule>,
    ) -> Vec<NodeAllowance> {
        rules
            .filter_map(|rule| {
                let level = self.accounts.get(&rule.customer)?.level;
                let (_, burst) = self.settings.limit(rule);
                is_near_limit(level, burst).then(|| NodeAllowance {
                    customer: rule.customer.clone(),
                    share: self.share(now, node, &rule.customer),
                    level: level as i32,
                })
            })
            .collect()
    }

    /// Returns whether a node has reported recently enough to count as a node of the site.
    pub fn is_live(&self, now: Instant, node: &NodeId) -> bool {
        self.reporters.get(node).is_some_and(|reporter| is_live(reporter, now))
    }

    fn share(&self, now: Instant, node: &NodeId, customer: &CustomerId) -> PartsPerMillion {
        let live = self.reporters.values().filter(|reporter| is_reporting(reporter, now));
        let reporting = live.count().max(1) as f64;
        // Until all nodes of the previous issuer have reported, the others may have as much demand.
        let live_count = reporting.max(f64::from(self.expected_nodes(now)));
        let total = self.total_demand.get(customer).copied().unwrap_or_default();
        let reporter = self.reporters.get(node);
        let own = reporter.and_then(|reporter| reporter.demand.get(customer)).copied();
        let own = own.unwrap_or_default().min(total);
        let equal_part = f64::from(EQUAL_PART_PERCENT) / 100.0;
        let demand_share = match total > 0.0 {
            true => own / total * (reporting / live_count),
            false => 1.0 / live_count,
        };
        PartsPerMillion::from_share(equal_part / live_count + (1.0 - equal_part) * demand_share)
    }
}

/// Returns the usage of a period without that of an earlier part of it. Both are sorted by customer.
fn increments(mut used: Vec<CustomerUsage>, counted: &[CustomerUsage]) -> Vec<CustomerUsage> {
    for usage in &mut used {
        let position = counted.binary_search_by(|entry| entry.customer.cmp(&usage.customer));
        if let Ok(position) = position {
            usage.arrived = usage.arrived.saturating_sub(counted[position].arrived);
            usage.admitted = usage.admitted.saturating_sub(counted[position].admitted);
        }
    }
    used
}

fn is_live(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < LIVE_TIMEOUT
}

fn is_reporting(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < ReportTiming::REPORT_LIFETIME
}

fn is_near_limit(level: f64, burst: f64) -> bool {
    level < burst * ALLOWANCE_LEVEL_PERCENT / 100.0
}
