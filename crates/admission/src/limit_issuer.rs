//! Issues the tokens of customers to nodes.

use std::time::Duration;

use wagtailmoor_core::{
    CustomerId, Generation, Incarnation, Instant, NodeId, PartsPerMillion, SortedVec,
};
use wagtailmoor_site::CustomerRule;

use crate::limit_account::LimitAccount;
use crate::{
    CustomerUsage, FormerAccount, FormerTerm, LimitReport, LimitSettings, NodeAllowance,
    ReportTiming,
};

/// A node without a report for this long no longer counts as a node of the site and is not listed
/// to the other nodes.
const LIVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The state of a node is dropped after this long without a report.
const REPORTER_RETENTION: Duration = Duration::from_secs(60);

/// A restart of the whole site is assumed if at most one in so many nodes may still have tokens.
const RESTART_DIVISOR: usize = 8;

/// Interval of the check for nodes that no longer report.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Covers a reply on its way, a request that takes a token before its lease ends and is sent after
/// it, and the drift of clocks.
const LAPSE_MARGIN: Duration = Duration::from_millis(1_500);

/// Longest time between the sending of a request and the report that counts it as sent.
const LAST_REQUESTS_MARGIN: Duration = Duration::from_millis(500);

/// Time constant of the average demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Part of the tokens that is divided equally among the nodes, in percent, so that the first
/// requests at a node are admitted.
const EQUAL_PART_PERCENT: u32 = 20;

/// Tokens that a node with demand gets at least while its customer is well within its limit. The
/// second one covers the time until the node's next report.
const UNUSED_MIN: u32 = 2;

/// Tokens are scarce if less than this part of them is neither at a node nor needed for the demand of
/// a window. A node then gets one at least.
const SCARCE_PART: f64 = 0.25;

/// Requests without a token for which a node gets tokens at once, while its customer is well within its
/// limit.
const WAITING_MAX: u32 = 8;

/// Part of the tokens that are not in use that nodes have as their reserve. A new issuer knows at first
/// only of tokens that nodes have; the rest is for nodes with more demand than before.
const RESERVED_PART: f64 = 0.5;

#[derive(Debug)]
struct Reporter {
    incarnation: Incarnation,
    sequence: u64,
    last_report: Instant,
    /// Whether an issuer had replied to the process before its first report of this term.
    had_issuer: bool,
    /// Whether the report was found to be overdue, and its demand was taken off the total.
    overdue: bool,
    /// Whether the node has no more than an equal share of each customer's tokens by now.
    lapsed: bool,
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

    fn update_demand(&mut self, now: Instant, used: &[CustomerUsage]) {
        let elapsed_s = now.saturating_since(self.last_report).as_secs_f64();
        let time_constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let factor = (-elapsed_s / time_constant_s).exp();
        self.demand.retain(|_, rate| {
            *rate *= factor;
            *rate > 0.01
        });
        for CustomerUsage { customer, arrived, .. } in used.iter().filter(|used| used.arrived > 0) {
            let rate = self.demand.get_or_insert_with(customer.clone(), || 0.0);
            *rate += f64::from(*arrived) / time_constant_s;
        }
    }
}

/// Issues the tokens of customers to nodes, on the leader.
///
/// A customer has as many tokens as it may send requests in a window. Those that nodes have, those
/// that former processes have used within the window, those that nodes may have that this issuer has
/// not heard of, and those that it grants never exceed that number. So an issuer that starts grants
/// only what nodes have returned to it, until all that its predecessors granted has lapsed.
///
/// One equal share is not granted. A process that restarts while there is no issuer uses it.
#[derive(Debug)]
pub struct LimitIssuer {
    settings: LimitSettings,
    reporters: SortedVec<NodeId, Reporter>,
    accounts: SortedVec<CustomerId, LimitAccount>,
    /// Sum of the demand over all nodes whose report is not overdue.
    total_demand: SortedVec<CustomerId, f64>,
    term: Generation,
    term_start: Instant,
    /// Tokens that nodes had at the end of the previous term, if its issuer has reported them.
    former_held: Option<SortedVec<CustomerId, u64>>,
    /// Whether this issuer knew of all tokens when it answered last.
    was_settled: bool,
    /// When the tokens that earlier issuers granted to nodes without a report have lapsed.
    former_grants_until: Instant,
    /// Number of nodes that the previous issuer knew.
    nodes_before: u32,
    checked_at: Instant,
}

impl LimitIssuer {
    /// Creates an issuer without accounts. Its term starts with [`LimitIssuer::start_term`].
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            reporters: SortedVec::new(),
            accounts: SortedVec::new(),
            total_demand: SortedVec::new(),
            term: Generation::default(),
            term_start: Instant::default(),
            former_held: None,
            was_settled: false,
            former_grants_until: Instant::default(),
            nodes_before: 0,
            checked_at: Instant::default(),
        }
    }

    /// Starts the first term of a site, before which no issuer has granted tokens.
    pub fn start_first_term(&mut self, now: Instant, term: Generation) {
        self.start_term(now, term, now, 0);
        self.former_grants_until = now;
    }

    /// Starts a term as issuer. No earlier issuer grants tokens from `sole_from` on; `nodes_before`
    /// is the number of nodes that it knew, or zero. Accounts from an earlier term of this process
    /// are out of date and dropped.
    pub fn start_term(
        &mut self,
        now: Instant,
        term: Generation,
        sole_from: Instant,
        nodes_before: u32,
    ) {
        self.reporters.clear();
        self.accounts.clear();
        self.total_demand.clear();
        self.term = term;
        self.term_start = now;
        self.former_held = None;
        self.was_settled = false;
        self.former_grants_until = self.settings.lapses_at(sole_from.max(now) + LAPSE_MARGIN);
        self.nodes_before = nodes_before;
    }

    /// Returns the accounts of a term that has ended, for the next issuer; `None` if they are not
    /// complete.
    pub fn former_term(&self) -> Option<FormerTerm> {
        let tokens = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let accounts = self.accounts.iter().map(|(customer, account)| FormerAccount {
            customer: customer.clone(),
            held: tokens(account.held()),
            retired: tokens(account.retired()),
        });
        self.was_settled.then(|| FormerTerm { term: self.term, accounts: accounts.collect() })
    }

    /// Drops the accounts of a term that has ended, which another issuer knows by now.
    pub fn clear(&mut self) {
        self.reporters.clear();
        self.accounts.clear();
        self.total_demand.clear();
        self.was_settled = false;
    }

    /// Records the accounts of the previous term.
    fn record_former<'c>(
        &mut self,
        now: Instant,
        former: &FormerTerm,
        rule: &impl Fn(&CustomerId) -> Option<&'c CustomerRule>,
    ) {
        if former.term.next() != self.term || self.former_held.is_some() {
            return;
        }
        let until = now + self.settings.window;
        let mut held = SortedVec::new();
        for FormerAccount { customer, held: tokens, retired } in &former.accounts {
            held.insert(customer.clone(), u64::from(*tokens));
            if let Some(rule) = rule(customer) {
                self.account(now, rule).add_retired(until, *retired);
            }
        }
        self.former_held = Some(held);
    }

    /// Returns the number of nodes that may have tokens. It includes those that have been silent for
    /// less than a minute and, as long as that, those that the previous issuer knew.
    pub fn nodes(&self, now: Instant) -> u32 {
        let known = u32::try_from(self.reporters.len()).unwrap_or(u32::MAX);
        match now.saturating_since(self.term_start) < REPORTER_RETENTION {
            true => known.max(self.nodes_before),
            false => known,
        }
    }

    /// Returns the number of nodes that the next issuer should know, zero if this one may not know of
    /// all nodes that have tokens.
    pub fn stored_nodes(&self, now: Instant) -> u32 {
        match self.nodes_before > 0 || self.is_settled(now) {
            true => self.nodes(now),
            false => 0,
        }
    }

    /// Returns whether this issuer knows of all tokens that exceed equal shares. Before that, it
    /// grants only tokens that nodes have returned to it.
    pub fn is_settled(&self, now: Instant) -> bool {
        let with_issuer = self.reporters.values().filter(|reporter| reporter.had_issuer).count();
        let before = self.nodes_before as usize;
        // After a restart of nearly all processes, hardly any of them has tokens of an earlier issuer.
        let silent = before.saturating_sub(self.reporters.len());
        let is_restart = (with_issuer + silent) * RESTART_DIVISOR <= before;
        now >= self.former_grants_until || (before > 0 && (with_issuer >= before || is_restart))
    }

    /// Records the tokens and requests of a node and grants it further tokens. `rule` returns the
    /// limit of a customer.
    pub fn answer<'c>(
        &mut self,
        now: Instant,
        report: &LimitReport,
        rule: impl Fn(&CustomerId) -> Option<&'c CustomerRule>,
    ) -> Vec<NodeAllowance> {
        let Some(is_first) = self.record_reporter(now, report) else { return Vec::new() };
        self.check_silent(now, &rule);
        if let Some(former) = &report.former {
            self.record_former(now, former, &rule);
        }
        for (customer, account) in self.accounts.iter_mut() {
            account.expire(now);
            let is_listed = |used: &CustomerUsage| used.customer == *customer;
            let is_unlisted = || !report.customers.iter().any(is_listed);
            if report.is_full && account.has_tokens_at(&report.node) && is_unlisted() {
                account.record(&report.node, 0, 0, 0, false);
            }
        }
        self.was_settled = self.is_settled(now);
        let rules = report.customers.iter().filter_map(|used| Some((used, rule(&used.customer)?)));
        rules
            .filter(|(_, rule)| rule.is_limited())
            .filter_map(|(used, rule)| {
                self.record_usage(now, &report.node, used, rule, is_first);
                let allowance = self.grant(now, &report.node, used, rule);
                (!allowance.is_needless(used)).then_some(allowance)
            })
            .collect()
    }

    /// Returns whether this issuer has had a full report of a process.
    pub fn is_known(&self, node: &NodeId, process: Incarnation) -> bool {
        self.reporters.get(node).is_some_and(|reporter| reporter.incarnation == process)
    }

    /// Returns whether a node has reported recently enough to count as a node of the site.
    pub fn is_live(&self, now: Instant, node: &NodeId) -> bool {
        self.reporters.get(node).is_some_and(|reporter| is_live(reporter, now))
    }

    /// Records the report itself. Returns whether it is the first one of this term that states tokens
    /// of an earlier issuer; `None` if a later report of the process was handled before.
    fn record_reporter(&mut self, now: Instant, report: &LimitReport) -> Option<bool> {
        let known = self.reporters.get(&report.node);
        let is_first = known.is_none();
        let is_same = known.is_some_and(|known| known.incarnation == report.incarnation);
        if !is_same && !report.is_full {
            return None;
        }
        let reporter = self.reporters.get_or_insert_with(report.node.clone(), || Reporter {
            incarnation: report.incarnation,
            sequence: 0,
            last_report: now,
            had_issuer: report.has_issuer,
            overdue: true,
            lapsed: false,
            demand: SortedVec::new(),
        });
        match report.incarnation.cmp(&reporter.incarnation) {
            std::cmp::Ordering::Less => return None,
            std::cmp::Ordering::Equal if report.sequence <= reporter.sequence => return None,
            std::cmp::Ordering::Equal => {}
            std::cmp::Ordering::Greater => {
                let until = now + self.settings.window;
                // A process without replies uses its tokens again and again.
                let stated_until = match now < reporter.last_report + ReportTiming::REPLY_LIFETIME {
                    true => reporter.last_report + LAST_REQUESTS_MARGIN + self.settings.window,
                    false => until,
                };
                let accounts = self.accounts.values_mut();
                accounts.for_each(|account| account.retire(&report.node, stated_until, until));
            }
        }
        if !reporter.overdue {
            reporter.subtract_demand(&mut self.total_demand);
        }
        reporter.update_demand(now, &report.customers);
        reporter.incarnation = report.incarnation;
        reporter.sequence = report.sequence;
        reporter.last_report = now;
        (reporter.overdue, reporter.lapsed) = (false, false);
        reporter.add_demand(&mut self.total_demand);
        // What a process without an issuer uses was not granted by one.
        Some(is_first && report.has_issuer)
    }

    /// Takes the demand of nodes that no longer report off the total, and limits the tokens that
    /// they may still have.
    fn check_silent<'c>(
        &mut self,
        now: Instant,
        rule: &impl Fn(&CustomerId) -> Option<&'c CustomerRule>,
    ) {
        if now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        let nodes = self.nodes(now);
        let settings = self.settings;
        for (node, reporter) in self.reporters.iter_mut() {
            if !reporter.overdue && !is_reporting(reporter, now) {
                reporter.overdue = true;
                reporter.subtract_demand(&mut self.total_demand);
            }
            let lapses_at = settings.lapses_at(reporter.last_report + LAPSE_MARGIN);
            if !reporter.lapsed && now >= lapses_at {
                reporter.lapsed = true;
                for (customer, account) in self.accounts.iter_mut() {
                    let share = rule(customer).map_or(0, |rule| settings.equal_share(rule, nodes));
                    account.limit(node, share);
                }
            }
        }
        let accounts = &mut self.accounts;
        self.reporters.retain(|node, reporter| {
            let is_kept = now.saturating_since(reporter.last_report) < REPORTER_RETENTION;
            if !is_kept {
                accounts.values_mut().for_each(|account| account.limit(node, 0));
            }
            is_kept
        });
    }

    /// Returns the account of a customer. A new issuer does not know what was admitted before its
    /// term.
    fn account(&mut self, now: Instant, rule: &CustomerRule) -> &mut LimitAccount {
        let (_, burst) = self.settings.limit(rule);
        let new_account = || LimitAccount::new(now, burst / 2.0);
        self.accounts.get_or_insert_with(rule.customer.clone(), new_account)
    }

    fn record_usage(
        &mut self,
        now: Instant,
        node: &NodeId,
        used: &CustomerUsage,
        rule: &CustomerRule,
        is_first: bool,
    ) {
        let (rate_per_s, burst) = self.settings.limit(rule);
        let account = self.account(now, rule);
        let elapsed_s = now.saturating_since(account.updated).as_secs_f64();
        account.level = (account.level + rate_per_s * elapsed_s).min(burst);
        account.updated = now;
        account.level -= f64::from(used.admitted);
        account.record(node, used.unused, used.reserve, used.recent, is_first);
    }

    /// Grants a node tokens of a customer, as far as some are left.
    fn grant(
        &mut self,
        now: Instant,
        node: &NodeId,
        used: &CustomerUsage,
        rule: &CustomerRule,
    ) -> NodeAllowance {
        let free = u32::try_from(self.free_tokens(now, rule)).unwrap_or(u32::MAX);
        let has_base = self.settings.base(rule, self.nodes(now)) > 0;
        let share = self.share(now, node, &rule.customer);
        let demand_per_s = self.total_demand.get(&rule.customer).copied().unwrap_or_default();
        let settings = self.settings;
        let account = self.account(now, rule);
        let (missing, unused_max) = match settings.is_near_limit(rule, account.level) {
            true => missing_near_limit(account, share, used.arrived > 0),
            false => {
                let burst = share * settings.limit(rule).1;
                let tokens = f64::from(settings.tokens(rule));
                let in_window = demand_per_s * settings.window.as_secs_f64();
                let spare = tokens - in_window - account.unused() as f64;
                let unused_min = match spare < tokens * SCARCE_PART {
                    // Most nodes have requests of a small customer now and then. Tokens that wait
                    // there would be missing where requests arrive.
                    _ if !has_base => 0,
                    true => 1,
                    false => UNUSED_MIN,
                };
                let waiting = used.arrived.saturating_sub(used.admitted).min(WAITING_MAX);
                let wanted = (burst as u32).max(unused_min).max(waiting);
                (wanted.saturating_sub(account.unused_at(node)), wanted)
            }
        };
        let from_reserve = missing.min(used.reserve);
        let tokens = (missing - from_reserve).min(free);
        let (reserved, reserve_max) = match has_base {
            true => reserve(account, share, used.reserve - from_reserve, free, free - tokens),
            // A small customer's are all needed where its requests arrive.
            false => (0, 0),
        };
        account.grant(node, from_reserve.saturating_add(tokens), reserved);
        NodeAllowance {
            customer: rule.customer.clone(),
            tokens,
            from_reserve,
            reserved,
            unused_max,
            reserve_max,
            may_ask: account.level >= 1.0,
            level: account.level as i32,
        }
    }

    /// Returns the tokens of a customer that no node can have.
    fn free_tokens(&self, now: Instant, rule: &CustomerRule) -> u64 {
        let nodes = self.nodes(now);
        let share = u64::from(self.settings.equal_share(rule, nodes));
        let granted_max = u64::from(self.settings.tokens(rule)).saturating_sub(share);
        let Some(account) = self.accounts.get(&rule.customer) else { return 0 };
        let unknown = match self.is_settled(now) {
            true => self.silent_nodes() * share,
            false => {
                let granted = match &self.former_held {
                    Some(held) => held.get(&rule.customer).copied().unwrap_or_default(),
                    None => granted_max,
                };
                granted.saturating_sub(account.first_stated())
            }
        };
        let base = self.settings.base(rule, nodes);
        granted_max.saturating_sub(account.outstanding(nodes, base)).saturating_sub(unknown)
    }

    /// Returns the number of nodes that the previous issuer knew and that this one has not heard of.
    fn silent_nodes(&self) -> u64 {
        u64::from(self.nodes_before).saturating_sub(self.reporters.len() as u64)
    }

    /// Returns the part of the tokens of a customer that suits the demand at a node.
    fn share(&self, now: Instant, node: &NodeId, customer: &CustomerId) -> f64 {
        let nodes = f64::from(self.nodes(now).max(1));
        let total = self.total_demand.get(customer).copied().unwrap_or_default();
        let reporter = self.reporters.get(node);
        let own = reporter.and_then(|reporter| reporter.demand.get(customer)).copied();
        let own = own.unwrap_or_default().min(total);
        let equal_part = f64::from(EQUAL_PART_PERCENT) / 100.0;
        let demand_share = match total > 0.0 {
            true => own / total,
            false => 1.0 / nodes,
        };
        let share = equal_part / nodes + (1.0 - equal_part) * demand_share;
        PartsPerMillion::from_share(share).of(1.0)
    }
}

/// Returns the tokens that a node misses while its customer is near its limit, and those that it keeps
/// at most. Tokens are short then, so that a node without requests returns its own.
fn missing_near_limit(account: &LimitAccount, share: f64, has_requests: bool) -> (u32, u32) {
    let ungranted = account.level - account.unused() as f64;
    let by_level = (share * account.level).ceil();
    // The conversions saturate, so that a negative level grants nothing.
    let kept = if has_requests { (by_level as u32).saturating_add(1) } else { 0 };
    (ungranted.min(by_level) as u32, kept)
}

/// Returns the tokens that go to the reserve of a node, which has `reserve` there, and those that it
/// keeps at most. The reserves of all nodes have part of what is not in use, for the time in which no
/// issuer answers. `available` tokens can be granted.
fn reserve(
    account: &LimitAccount,
    share: f64,
    reserve: u32,
    free: u32,
    available: u32,
) -> (u32, u32) {
    let reservable = u64::from(free) + account.reserve();
    let wanted = (share * reservable as f64 * RESERVED_PART) as u32;
    // Small changes of the demand do not move the reserves.
    let is_low = reserve < wanted / 4 * 3 || wanted < 4;
    let reserved = if is_low { wanted.saturating_sub(reserve).min(available) } else { 0 };
    (reserved, wanted.saturating_add(wanted / 4))
}

fn is_live(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < LIVE_TIMEOUT
}

fn is_reporting(reporter: &Reporter, now: Instant) -> bool {
    now.saturating_since(reporter.last_report) < ReportTiming::REPORT_LIFETIME
}
