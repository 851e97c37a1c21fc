//! Keeps the account of every customer over all nodes.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Instant, NodeId, PartsPerMillion, SortedVec};
use wagtailmoor_site::CustomerRule;

use crate::{CustomerUse, LimitSettings, NodeAllowance};

/// A node that has not reported for this long keeps only the equal share that it falls back to.
const SILENCE_MAX: Duration = Duration::from_millis(1_200);

/// A node that has not reported for this long is not listed to the others.
const LIVE_SILENCE_MAX: Duration = Duration::from_millis(4_000);

/// A node that has not reported for this long no longer exists.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Time constant with which demand is averaged.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Part of a limit that is divided equally, in percent, so that a node's first requests pass.
const EQUAL_PART_PERCENT: u32 = 20;

/// Level of an account below which nodes are given allowances, in percent of the burst.
const TIGHT_LEVEL_PERCENT: f64 = 60.0;

#[derive(Debug)]
struct Reporter {
    heard: Instant,
    /// Whether the accounts were charged for what it may have used in silence.
    charged: bool,
    /// Requests a second by customer.
    demand: SortedVec<CustomerId, f64>,
}

/// What a customer may send at once over all nodes; filled by its rate.
#[derive(Debug)]
struct Account {
    level: f64,
    updated: Instant,
}

/// Keeps the account of every customer over all nodes.
///
/// While an account is well filled, nodes admit on their own and only report. When it runs low,
/// each gets an allowance by its demand; the allowances of all nodes together are what the account
/// holds. What nodes admitted before they knew is owed by the account and repaid by its rate.
#[derive(Debug)]
pub struct LimitIssuer {
    settings: LimitSettings,
    reporters: SortedVec<NodeId, Reporter>,
    accounts: SortedVec<CustomerId, Account>,
    begun: Instant,
    /// Nodes of the site as the issuer before knew them.
    nodes_before: u32,
}

impl LimitIssuer {
    /// Creates an issuer without accounts.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            reporters: SortedVec::new(),
            accounts: SortedVec::new(),
            begun: Instant::default(),
            nodes_before: 0,
        }
    }

    /// Begins as the successor of an issuer that knew some nodes. What was admitted under earlier
    /// accounts of its own is out of date.
    pub fn begin(&mut self, now: Instant, nodes_before: u32) {
        self.reporters.clear();
        self.accounts.clear();
        self.begun = now;
        self.nodes_before = nodes_before;
    }

    /// Returns the number of nodes. Until all had time to report, those that the issuer before
    /// knew count as well: a limit divided among the few first reporters would be exceeded.
    pub fn nodes(&self, now: Instant) -> u32 {
        let live = self.reporters.values().filter(|known| is_live(known, now)).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        match now.saturating_since(self.begun) < LIVE_SILENCE_MAX {
            true => live.max(self.nodes_before),
            false => live,
        }
    }

    /// Takes what a node admitted since its last report.
    pub fn report(&mut self, now: Instant, node: &NodeId, used: &[CustomerUse]) {
        let make = || Reporter { heard: now, charged: false, demand: SortedVec::new() };
        let reporter = self.reporters.get_or_insert_with(node.clone(), make);
        let passed_s = now.saturating_since(reporter.heard).as_secs_f64();
        let constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let factor = (-passed_s / constant_s).exp();
        reporter.heard = now;
        reporter.charged = false;
        reporter.demand.retain(|_, rate| {
            *rate *= factor;
            *rate > 0.01
        });
        for CustomerUse { customer, arrived, admitted } in used {
            let rate = reporter.demand.get_or_insert_with(customer.clone(), || 0.0);
            *rate += f64::from(*arrived) / constant_s;
            if let Some(account) = self.accounts.get_mut(customer) {
                account.level -= f64::from(*admitted);
            }
        }
        self.reporters.retain(|_, known| now.saturating_since(known.heard) < FORGET_AFTER);
    }

    /// Fills the accounts of the customers up to now. Silent nodes live on equal shares, which are
    /// not filled in; a customer near its limit is charged for what they may have used before.
    pub fn fill<'c>(&mut self, now: Instant, rules: impl Iterator<Item = &'c CustomerRule>) {
        let nodes = self.reporters.len().max(1) as f64;
        let silent = self.reporters.values().filter(|known| !is_reporting(known, now));
        let filled = 1.0 - silent.count() as f64 / nodes;
        let newly_silent = self.take_newly_silent(now) as f64;
        for rule in rules.filter(|rule| rule.is_limited()) {
            let (rate_per_s, burst) = self.settings.limit(rule);
            // A new issuer does not know what was admitted before it.
            let make = || Account { level: burst / 2.0, updated: now };
            let account = self.accounts.get_or_insert_with(rule.customer.clone(), make);
            let passed_s = now.saturating_since(account.updated).as_secs_f64();
            account.level = (account.level + rate_per_s * filled * passed_s).min(burst);
            account.updated = now;
            if is_tight(account.level, burst) {
                account.level -= newly_silent * self.settings.unreported(rule, nodes);
            }
        }
    }

    fn take_newly_silent(&mut self, now: Instant) -> usize {
        let silent = self.reporters.values_mut().filter(|known| !is_reporting(known, now));
        let newly = silent.filter(|known| !known.charged);
        newly.map(|known| known.charged = true).count()
    }

    /// Returns the allowances of a node for the customers that are near their limits.
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
                is_tight(level, burst).then(|| NodeAllowance {
                    customer: rule.customer.clone(),
                    share: self.share(now, node, &rule.customer),
                    level: level as i32,
                })
            })
            .collect()
    }

    /// Returns whether a node reported recently enough to be relied on.
    pub fn is_live(&self, now: Instant, node: &NodeId) -> bool {
        self.reporters.get(node).is_some_and(|known| is_live(known, now))
    }

    fn share(&self, now: Instant, node: &NodeId, customer: &CustomerId) -> PartsPerMillion {
        let live = self.reporters.values().filter(|known| is_reporting(known, now));
        let live: Vec<&Reporter> = live.collect();
        let live_count = live.len().max(1) as f64;
        let demand = |known: &Reporter| known.demand.get(customer).copied().unwrap_or_default();
        let total: f64 = live.into_iter().map(demand).sum();
        let own = self.reporters.get(node).map_or(0.0, demand);
        let equal_part = f64::from(EQUAL_PART_PERCENT) / 100.0;
        let by_demand = match total > 0.0 {
            true => own / total,
            false => 1.0 / live_count,
        };
        PartsPerMillion::from_share(equal_part / live_count + (1.0 - equal_part) * by_demand)
    }
}

fn is_live(known: &Reporter, now: Instant) -> bool {
    now.saturating_since(known.heard) < LIVE_SILENCE_MAX
}

fn is_reporting(known: &Reporter, now: Instant) -> bool {
    now.saturating_since(known.heard) < SILENCE_MAX
}

fn is_tight(level: f64, burst: f64) -> bool {
    level < burst * TIGHT_LEVEL_PERCENT / 100.0
}
