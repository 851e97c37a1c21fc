//! Unavailability of workloads and keys.

use std::collections::BTreeMap;

use wagtailmoor_core::Reason;
use wagtailmoor_derive::value;
use wagtailmoor_history::ClientRequest;

/// A window with planned requests is unavailable if none of them succeeds.
const WINDOW_US: u64 = 100_000;

/// Unavailability of a workload.
#[value]
pub struct Unavailability {
    /// Name of the workload.
    pub workload: String,
    /// Total time of the 100 ms windows in which requests were planned and all of them failed.
    pub unavailable_ms: u64,
    /// Longest time from the planned start of the first of consecutive failed requests on a key to
    /// the end of the next successful one, or of the last failed one if none succeeds.
    pub longest_key_gap_ms: u64,
    /// Key with the longest gap; `None` if no request on a key failed.
    pub key: Option<String>,
}

/// Returns the unavailability of each workload. Refusals for the rate limit and of duplicates are
/// left out.
pub(crate) fn unavailability(requests: &[ClientRequest], started_us: u64) -> Vec<Unavailability> {
    let mut workloads: BTreeMap<&str, Vec<&ClientRequest>> = BTreeMap::new();
    for request in requests.iter().filter(|request| !is_excluded_refusal(request)) {
        workloads.entry(&request.workload).or_default().push(request);
    }
    let unavailabilities = workloads.into_iter().map(|(workload, mut requests)| {
        requests.sort_by_key(|request| request.intended_us);
        let (gap_us, key) = longest_key_gap(&requests);
        Unavailability {
            workload: workload.to_owned(),
            unavailable_ms: failed_windows(&requests, started_us) * WINDOW_US / 1_000,
            longest_key_gap_ms: gap_us / 1_000,
            key,
        }
    });
    unavailabilities.collect()
}

fn is_excluded_refusal(request: &ClientRequest) -> bool {
    matches!(request.reason, Some(Reason::RateExceeded | Reason::Duplicate))
}

fn failed_windows(requests: &[&ClientRequest], started_us: u64) -> u64 {
    let mut windows: BTreeMap<u64, bool> = BTreeMap::new();
    for request in requests {
        let window = request.intended_us.saturating_sub(started_us) / WINDOW_US;
        *windows.entry(window).or_default() |= request.succeeded();
    }
    windows.values().filter(|succeeded| !**succeeded).count() as u64
}

fn longest_key_gap(requests: &[&ClientRequest]) -> (u64, Option<String>) {
    let mut failing_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut longest = (0, None);
    for request in requests {
        let Some(key) = request.key.as_deref() else { continue };
        let failing_since_us = match request.succeeded() {
            true => failing_since.remove(key),
            false => Some(*failing_since.entry(key).or_insert(request.intended_us)),
        };
        let gap_us = failing_since_us.map_or(0, |since_us| request.end_us.saturating_sub(since_us));
        if gap_us > longest.0 {
            longest = (gap_us, Some(key.to_owned()));
        }
    }
    longest
}
