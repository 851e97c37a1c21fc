//! Statistics for each second of a run.

use std::collections::BTreeMap;

use wagtailmoor_core::Outcome;
use wagtailmoor_derive::value;
use wagtailmoor_history::ClientRequest;

use crate::Quantiles;

/// Statistics of the requests whose planned start is in one second of a run.
#[value]
pub struct SecondStats {
    /// Start of the second, from the start of the run.
    pub at_s: u64,
    /// Requests with a complete 2xx response.
    pub succeeded: u64,
    /// Requests that were refused without being executed.
    pub refused: u64,
    /// Requests with an unknown outcome, and all other failures.
    pub failed: u64,
    /// Latency of the successful requests, measured from the planned start.
    pub latency: Quantiles,
}

/// Returns the statistics for each second with planned requests.
pub(crate) fn second_stats(requests: &[ClientRequest], started_us: u64) -> Vec<SecondStats> {
    let mut requests_by_second: BTreeMap<u64, Vec<&ClientRequest>> = BTreeMap::new();
    for request in requests {
        let at_s = request.intended_us.saturating_sub(started_us) / 1_000_000;
        requests_by_second.entry(at_s).or_default().push(request);
    }
    requests_by_second.into_iter().map(|(at_s, requests)| stats(at_s, &requests)).collect()
}

fn stats(at_s: u64, requests: &[&ClientRequest]) -> SecondStats {
    let successes: Vec<_> = requests.iter().filter(|request| request.succeeded()).collect();
    let refused = requests.iter().filter(|request| request.outcome == Outcome::NotRun).count();
    SecondStats {
        at_s,
        succeeded: successes.len() as u64,
        refused: refused as u64,
        failed: (requests.len() - successes.len() - refused) as u64,
        latency: Quantiles::of(successes.iter().map(|request| request.latency_us())),
    }
}
