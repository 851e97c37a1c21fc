//! Evaluates a run.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailmoor_core::{Outcome, PartsPerMillion, Reason};
use wagtailmoor_derive::value;
use wagtailmoor_history::{CheckResult, Checker, ClientRequest, History};

use crate::balance::{self, Balance};
use crate::rate_refusals::{self, RateRefusals};
use crate::second_stats::{self, SecondStats};
use crate::unavailability::{self, Unavailability};
use crate::{Quantiles, RunFacts};

/// Evaluation of a run, as written to the report files.
#[value]
pub struct Report {
    /// Facts of the run that its history does not hold.
    pub facts: RunFacts,
    /// Statistics of all requests.
    pub overall: RequestStats,
    /// Statistics of each workload.
    pub workloads: Vec<RequestStats>,
    /// Statistics of each customer.
    pub customers: Vec<RequestStats>,
    /// Customer with the lowest success rate; ties are resolved by the highest p99.
    pub worst_customer: Option<String>,
    /// Rate-limit refusals of each customer.
    pub rate_refusals: Vec<RateRefusals>,
    /// Delay from the planned to the actual start at the client, which is included in latencies.
    pub start_lag: Quantiles,
    /// Load distribution of each back end.
    pub balance: Vec<Balance>,
    /// Changes of the target that executed a key, over all keys.
    pub owner_changes: u64,
    /// Number of keys with at least one such change.
    pub keys_moved: u64,
    /// Unavailability of each workload.
    pub unavailable: Vec<Unavailability>,
    /// Number of requests for each status, outcome and reason.
    pub endings: Vec<EndingCount>,
    /// Statistics for each second of the run.
    pub seconds: Vec<SecondStats>,
    /// Results of the checker; empty if no executions were read.
    pub checks: Vec<CheckResult>,
}

/// Statistics of the requests of a workload, of a customer, or of all.
#[value]
pub struct RequestStats {
    /// Name of the workload or customer, or `all`.
    pub name: String,
    /// Requests sent, except those refused as duplicates.
    pub requests: u64,
    /// Repeated requests that were refused as duplicates; not included in the other counts.
    pub duplicates: u64,
    /// Requests with a complete 2xx response.
    pub succeeded: u64,
    /// Share of `requests` that succeeded.
    pub success_ppm: PartsPerMillion,
    /// Requests that were refused without being executed.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Latency of the successful requests, measured from the planned start.
    pub latency: Quantiles,
}

/// Number of requests with the same status, outcome and reason.
#[value]
pub struct EndingCount {
    /// HTTP status; `None` if no response head was received.
    pub status: Option<u16>,
    /// Outcome of these requests.
    pub outcome: Outcome,
    /// Reason code of the response, if it has one.
    pub reason: Option<String>,
    /// Number of these requests.
    pub count: u64,
}

impl Report {
    /// Evaluates a run.
    pub fn new(facts: RunFacts, history: &History, withdrawal_bound: Duration) -> Self {
        let requests = &history.requests;
        let customers = stats_by_name(requests, |request| request.customer.as_deref());
        let (owner_changes, keys_moved) = balance::owner_changes(history);
        let start_lags_us =
            requests.iter().map(|request| request.start_us.saturating_sub(request.intended_us));
        let checks = match history.executions.is_empty() {
            true => Vec::new(),
            false => Checker { withdrawal_bound }.check(history),
        };
        Self {
            overall: RequestStats::new("all", &requests.iter().collect::<Vec<_>>()),
            workloads: stats_by_name(requests, |request| Some(&request.workload)),
            worst_customer: worst_customer(&customers),
            customers,
            rate_refusals: rate_refusals::rate_refusals(history),
            start_lag: Quantiles::of(start_lags_us),
            balance: balance::balance(history),
            owner_changes,
            keys_moved,
            unavailable: unavailability::unavailability(requests, facts.started_us),
            endings: count_endings(requests),
            seconds: second_stats::second_stats(requests, facts.started_us),
            checks,
            facts,
        }
    }

    /// Returns the number of rate-limit refusals of customers within their rate and burst.
    pub fn refused_within_rate(&self) -> u64 {
        self.rate_refusals.iter().map(|customer| customer.within_rate).sum()
    }

    /// Returns the number of findings of all checks.
    pub fn findings(&self) -> u64 {
        self.checks.iter().map(|check| check.findings).sum()
    }
}

impl RequestStats {
    pub(crate) fn new(name: &str, requests: &[&ClientRequest]) -> Self {
        let is_duplicate = |request: &&ClientRequest| request.reason == Some(Reason::Duplicate);
        let (duplicates, requests): (Vec<&ClientRequest>, Vec<_>) =
            requests.iter().copied().partition(is_duplicate);
        let count = |matches: fn(&ClientRequest) -> bool| {
            requests.iter().filter(|request| matches(request)).count() as u64
        };
        let total = requests.len() as u64;
        let succeeded = count(ClientRequest::succeeded);
        let ppm = (succeeded * 1_000_000).checked_div(total).unwrap_or_default();
        let successes = requests.iter().filter(|request| request.succeeded());
        Self {
            name: name.to_owned(),
            requests: total,
            duplicates: duplicates.len() as u64,
            succeeded,
            success_ppm: PartsPerMillion::new(ppm as u32),
            refused: count(ClientRequest::refused),
            unknown: count(|request| request.outcome == Outcome::Unknown),
            latency: Quantiles::of(successes.map(|request| request.latency_us())),
        }
    }
}

fn stats_by_name<'a>(
    requests: &'a [ClientRequest],
    name: impl Fn(&'a ClientRequest) -> Option<&'a str>,
) -> Vec<RequestStats> {
    let mut groups: BTreeMap<&str, Vec<&ClientRequest>> = BTreeMap::new();
    for request in requests {
        groups.entry(name(request).unwrap_or("-")).or_default().push(request);
    }
    groups.into_iter().map(|(name, requests)| RequestStats::new(name, &requests)).collect()
}

fn worst_customer(customers: &[RequestStats]) -> Option<String> {
    let worst = customers
        .iter()
        .min_by_key(|customer| (customer.success_ppm, std::cmp::Reverse(customer.latency.p99_us)));
    worst.map(|customer| customer.name.clone())
}

fn count_endings(requests: &[ClientRequest]) -> Vec<EndingCount> {
    let mut counts = BTreeMap::new();
    for request in requests {
        let reason = request.reason.map(|reason| reason.to_string());
        *counts.entry((request.status, request.outcome, reason)).or_default() += 1;
    }
    let count = |((status, outcome, reason), count)| EndingCount { status, outcome, reason, count };
    counts.into_iter().map(count).collect()
}
