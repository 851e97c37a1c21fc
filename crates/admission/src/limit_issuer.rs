//! Accounts for the customers' rate limits over all nodes.

use wagtailmoor_core::{CustomerId, Instant, NodeId, PartsPerMillion, SortedVec};
use wagtailmoor_site::CustomerRule;

use crate::reporter::{LIVE_TIMEOUT, Reporter};
use crate::{LimitSettings, NodeAllowance, ReportTiming, UsageReport};

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
    /// Start of the term, or of the time since this issuer last stood still.
    term_start: Instant,
    /// Number of nodes that the previous issuer knew, or this one before it stood still.
    nodes_before: u32,
    /// When the last report was handled.
    last_report: Instant,
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
            last_report: Instant::default(),
        }
    }

    /// Starts a term as issuer. `nodes_before` is the number of nodes that the previous issuer
    /// knew. Accounts from an earlier term of this process are out of date and dropped.
    pub fn start_term(&mut self, now: Instant, nodes_before: u32) {
        self.reporters.clear();
        self.accounts.clear();
        self.total_demand.clear();
        self.last_report = now;
        self.term_start = now;
        self.nodes_before = nodes_before;
    }

    /// Returns the number of nodes of the site. Until all nodes have had time to report, it is at
    /// least the number that the previous issuer knew: a limit that is divided among only the first
    /// few nodes to report would be exceeded. The same applies while no report is handled at all.
    pub fn nodes(&self, now: Instant) -> u32 {
        let counted_at = match self.is_paused(now) {
            true => self.last_report,
            false => now,
        };
        let live = self.reporters.values().filter(|reporter| reporter.is_live(counted_at)).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        live.max(self.expected_nodes(counted_at))
    }

    /// Returns whether all reports have expired, because this process stood still or reached no node.
    fn is_paused(&self, now: Instant) -> bool {
        now.saturating_since(self.last_report) >= ReportTiming::REPORT_LIFETIME
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
        self.expect_nodes_after_pause(now);
        let limited = || rules().filter(|rule| rule.is_limited());
        self.add_accounts(limited());
        self.charge_overdue(now, limited());
        let known = self.reporters.len() + usize::from(!self.reporters.contains_key(node));
        let nodes = f64::from(self.expected_nodes(now)).max(known as f64);
        let reporter = self.reporters.get_or_insert_with(node.clone(), || Reporter::new(now));
        if !reporter.overdue {
            reporter.subtract_demand(&mut self.total_demand);
        }
        let used = reporter.take_new_usage(now, usage);
        for rule in limited() {
            let (rate_per_s, burst) = self.settings.limit(rule);
            if let Some(account) = self.accounts.get_mut(&rule.customer) {
                let returned = reporter.charged.get(&rule.customer).copied().unwrap_or_default();
                let admitted = used.admitted(&rule.customer);
                let refill = used.refill(rate_per_s / nodes, admitted);
                account.level = (account.level + refill + returned).min(burst) - admitted;
            }
        }
        reporter.charged.clear();
        reporter.update_demand(now, &used.customers);
        reporter.add_demand(&mut self.total_demand);
        self.reporters.retain(|_, reporter| reporter.is_retained(now));
    }

    /// Expects all nodes of before if all reports have expired. Otherwise a limit would be divided
    /// among the first few nodes to report again.
    fn expect_nodes_after_pause(&mut self, now: Instant) {
        if self.is_paused(now) {
            self.nodes_before = self.nodes(now);
            self.term_start = now;
        }
        self.last_report = now;
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
        let overdue = self.reporters.values_mut().filter(|reporter| !reporter.is_reporting(now));
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
        self.reporters.get(node).is_some_and(|reporter| reporter.is_live(now))
    }

    fn share(&self, now: Instant, node: &NodeId, customer: &CustomerId) -> PartsPerMillion {
        let live = self.reporters.values().filter(|reporter| reporter.is_reporting(now));
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

fn is_near_limit(level: f64, burst: f64) -> bool {
    level < burst * ALLOWANCE_LEVEL_PERCENT / 100.0
}
