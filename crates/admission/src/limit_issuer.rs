//! Accounts for the customers' rate limits over all nodes.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, NodeId, PartsPerMillion, SortedVec};
use wagtailmoor_site::CustomerRule;

use crate::{CustomerUsage, LimitSettings, NodeAllowance, ReportTiming};

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
}

impl Reporter {
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
    updated: Instant,
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

    /// Records the requests that a node received and admitted since its last report.
    pub fn record_usage(&mut self, now: Instant, node: &NodeId, used: &[CustomerUsage]) {
        let new_entry = || Reporter { last_report: now, overdue: false, demand: SortedVec::new() };
        let reporter = self.reporters.get_or_insert_with(node.clone(), new_entry);
        if !reporter.overdue {
            reporter.subtract_demand(&mut self.total_demand);
        }
        let elapsed_s = now.saturating_since(reporter.last_report).as_secs_f64();
        let time_constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let factor = (-elapsed_s / time_constant_s).exp();
        reporter.last_report = now;
        reporter.overdue = false;
        reporter.demand.retain(|_, rate| {
            *rate *= factor;
            *rate > 0.01
        });
        for CustomerUsage { customer, arrived, admitted } in used {
            let rate = reporter.demand.get_or_insert_with(customer.clone(), || 0.0);
            *rate += f64::from(*arrived) / time_constant_s;
            if let Some(account) = self.accounts.get_mut(customer) {
                account.level -= f64::from(*admitted);
            }
        }
        reporter.add_demand(&mut self.total_demand);
        self.reporters
            .retain(|_, reporter| now.saturating_since(reporter.last_report) < REPORTER_RETENTION);
    }

    /// Refills the accounts of the customers up to `now`. The equal shares of nodes whose report is
    /// overdue are omitted from the refill. The account of a customer near its limit is also
    /// charged for what such nodes may have admitted before they fell back to their equal shares.
    pub fn refill<'c>(&mut self, now: Instant, rules: impl Iterator<Item = &'c CustomerRule>) {
        let nodes = self.reporters.len().max(1) as f64;
        let overdue = self.reporters.values().filter(|reporter| !is_reporting(reporter, now));
        let refill_ratio = 1.0 - overdue.count() as f64 / nodes;
        let newly_overdue = self.mark_newly_overdue(now) as f64;
        let start_part = match self.nodes_before {
            0 => FIRST_START_LEVEL_PART,
            _ => START_LEVEL_PART,
        };
        for rule in rules.filter(|rule| rule.is_limited()) {
            let (rate_per_s, burst) = self.settings.limit(rule);
            // A new issuer does not know what was admitted before its term.
            let new_entry = || Account { level: burst * start_part, updated: now };
            let account = self.accounts.get_or_insert_with(rule.customer.clone(), new_entry);
            let elapsed_s = now.saturating_since(account.updated).as_secs_f64();
            account.level = (account.level + rate_per_s * refill_ratio * elapsed_s).min(burst);
            account.updated = now;
            if is_near_limit(account.level, burst) {
                account.level -= newly_overdue * self.settings.unreported_max(rule, nodes);
            }
        }
    }

    /// Marks the nodes whose report became overdue, and returns their number.
    fn mark_newly_overdue(&mut self, now: Instant) -> usize {
        let overdue = self.reporters.values_mut().filter(|reporter| !is_reporting(reporter, now));
        let mut count = 0;
        for reporter in overdue.filter(|reporter| !reporter.overdue) {
            reporter.overdue = true;
            reporter.subtract_demand(&mut self.total_demand);
            count += 1;
        }
        count
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

fn is_live(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < LIVE_TIMEOUT
}

fn is_reporting(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < ReportTiming::REPORT_LIFETIME
}

fn is_near_limit(level: f64, burst: f64) -> bool {
    level < burst * ALLOWANCE_LEVEL_PERCENT / 100.0
}
