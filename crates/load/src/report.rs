//! Reports of runs.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailmoor_core::{Outcome, PartsPerMillion, Reason};
use wagtailmoor_derive::value;
use wagtailmoor_history::{CheckResult, Checker, ClientRequest, History};

use crate::balance::{self, Balance};
use crate::rate_refusals::{self, RateRefusals};
use crate::seconds::{self, Second};
use crate::unavailability::{self, Unavailability};
use crate::{Quantiles, RunFacts};

/// Report of a run.
#[value]
pub struct Report {
    /// Facts of the run.
    pub facts: RunFacts,
    /// All requests.
    pub overall: Slice,
    /// Requests of each workload.
    pub workloads: Vec<Slice>,
    /// Requests of each customer.
    pub customers: Vec<Slice>,
    /// Customer with the lowest share of successes, and among equals the highest p99.
    pub worst_customer: Option<String>,
    /// Refusals for rate of each customer.
    pub rate_refusals: Vec<RateRefusals>,
    /// Time from the planned to the real start at the client, which is part of every latency.
    pub start_lag: Quantiles,
    /// Load of each back end.
    pub balance: Vec<Balance>,
    /// Changes of the server on which a key was executed.
    pub owner_changes: u64,
    /// Keys with at least one such change.
    pub keys_moved: u64,
    /// Unavailable time of each workload.
    pub unavailable: Vec<Unavailability>,
    /// Requests by status, outcome and reason.
    pub endings: Vec<EndingCount>,
    /// Course of the run.
    pub seconds: Vec<Second>,
    /// Results of the checker; none when no executions were read.
    pub checks: Vec<CheckResult>,
}

/// Requests of one workload or customer.
#[value]
pub struct Slice {
    /// Name.
    pub name: String,
    /// Requests sent, without those refused as duplicates.
    pub requests: u64,
    /// Repeated requests that were refused as duplicates; they count nowhere else.
    pub duplicates: u64,
    /// Requests that a target answered with success.
    pub succeeded: u64,
    /// Share of them.
    pub success_ppm: PartsPerMillion,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Latency of the successes from the planned start.
    pub latency: Quantiles,
}

/// Number of requests that ended alike.
#[value]
pub struct EndingCount {
    /// Status, if an answer began.
    pub status: Option<u16>,
    /// Outcome.
    pub outcome: Outcome,
    /// Reason code.
    pub reason: Option<String>,
    /// Number.
    pub count: u64,
}

impl Report {
    /// Evaluates a run.
    pub fn new(facts: RunFacts, history: &History, withdrawal_bound: Duration) -> Self {
        let requests = &history.requests;
        let customers = slices(requests, |request| request.customer.as_deref());
        let (owner_changes, keys_moved) = balance::owner_changes(history);
        let lag =
            requests.iter().map(|request| request.start_us.saturating_sub(request.intended_us));
        let checks = match history.executions.is_empty() {
            true => Vec::new(),
            false => Checker { withdrawal_bound }.check(history),
        };
        Self {
            overall: Slice::new("all", &requests.iter().collect::<Vec<_>>()),
            workloads: slices(requests, |request| Some(&request.workload)),
            worst_customer: worst(&customers),
            customers,
            rate_refusals: rate_refusals::rate_refusals(history),
            start_lag: Quantiles::of(lag),
            balance: balance::balance(history),
            owner_changes,
            keys_moved,
            unavailable: unavailability::unavailable(requests, facts.started_us),
            endings: endings(requests),
            seconds: seconds::seconds(requests, facts.started_us),
            checks,
            facts,
        }
    }

    /// Returns the number of refusals for rate of customers that were within rate and burst.
    pub fn refused_within_rate(&self) -> u64 {
        self.rate_refusals.iter().map(|customer| customer.within_rate).sum()
    }

    /// Returns the number of findings of the checker.
    pub fn findings(&self) -> u64 {
        self.checks.iter().map(|check| check.findings).sum()
    }
}

impl Slice {
    pub(crate) fn new(name: &str, requests: &[&ClientRequest]) -> Self {
        let is_duplicate = |request: &&ClientRequest| request.reason == Some(Reason::Duplicate);
        let (duplicates, requests): (Vec<&ClientRequest>, Vec<_>) =
            requests.iter().copied().partition(is_duplicate);
        let count = |is: fn(&ClientRequest) -> bool| {
            requests.iter().filter(|request| is(request)).count() as u64
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

fn slices<'a>(
    requests: &'a [ClientRequest],
    name: impl Fn(&'a ClientRequest) -> Option<&'a str>,
) -> Vec<Slice> {
    let mut groups: BTreeMap<&str, Vec<&ClientRequest>> = BTreeMap::new();
    for request in requests {
        groups.entry(name(request).unwrap_or("-")).or_default().push(request);
    }
    groups.into_iter().map(|(name, requests)| Slice::new(name, &requests)).collect()
}

fn worst(customers: &[Slice]) -> Option<String> {
    let worst = customers
        .iter()
        .min_by_key(|customer| (customer.success_ppm, std::cmp::Reverse(customer.latency.p99_us)));
    worst.map(|customer| customer.name.clone())
}

fn endings(requests: &[ClientRequest]) -> Vec<EndingCount> {
    let mut counts = BTreeMap::new();
    for request in requests {
        let reason = request.reason.map(|reason| reason.to_string());
        *counts.entry((request.status, request.outcome, reason)).or_default() += 1;
    }
    let count = |((status, outcome, reason), count)| EndingCount { status, outcome, reason, count };
    counts.into_iter().map(count).collect()
}
