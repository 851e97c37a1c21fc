//! Checks that no customer exceeds its rate and burst in any window of time.

use std::collections::HashMap;

use crate::segment_tree::MaxSegmentTree;
use crate::{CheckResult, CustomerLimit, History};

/// A rate in requests per second equals the same number of micro-requests per microsecond.
const MICRO_REQUESTS_PER_REQUEST: i64 = 1_000_000;

/// Reports customers for whom more than rate × W + burst requests were admitted in a window of some
/// length W.
///
/// The time of admission is not recorded: it lies between the start at the client and the start of
/// the execution. A request counts in a window only if both lie within it, so there are no false
/// findings. A request with several attempts counts once.
pub(crate) fn check(history: &History) -> CheckResult {
    let mut result = CheckResult::new("rate");
    let sent_at_us: HashMap<&str, u64> = history
        .requests
        .iter()
        .map(|request| (request.load_id.as_str(), request.start_us))
        .collect();
    for limit in &history.customers {
        let intervals = admission_intervals(history, &sent_at_us, &limit.customer);
        result.examined += intervals.len() as u64;
        if let Some((from_us, excess)) = worst_window(&intervals, limit) {
            result.add_finding(format!(
                "customer {}: a window from {from_us} us has {:.2} requests more than rate {} and \
                 burst {} allow",
                limit.customer,
                excess as f64 / MICRO_REQUESTS_PER_REQUEST as f64,
                limit.rate,
                limit.burst
            ));
        }
    }
    result
}

/// Returns the earliest and latest possible time of admission of each executed request.
fn admission_intervals(
    history: &History,
    sent_at_us: &HashMap<&str, u64>,
    customer: &str,
) -> Vec<(u64, u64)> {
    let mut without_id = Vec::new();
    let mut by_load_id: HashMap<&str, (u64, u64)> = HashMap::new();
    let is_of_customer = |name: &Option<String>| name.as_deref() == Some(customer);
    for execution in
        history.executions.iter().filter(|execution| is_of_customer(&execution.customer))
    {
        let start_us = execution.start_us;
        match execution.load_id.as_deref() {
            Some(id) => {
                let from_us = sent_at_us.get(id).copied().unwrap_or(start_us).min(start_us);
                let interval = by_load_id.entry(id).or_insert((from_us, start_us));
                interval.1 = interval.1.min(start_us);
            }
            None => without_id.push((start_us, start_us)),
        }
    }
    without_id.extend(by_load_id.into_values());
    without_id
}

/// Returns the start of the window with the greatest excess over the limit, and the excess in
/// micro-requests; `None` if no window exceeds the limit.
///
/// Iterates over the starts of windows from the latest to the earliest. The tree holds, for each
/// possible end, the number of requests in the window minus the number that the rate allows.
fn worst_window(intervals: &[(u64, u64)], limit: &CustomerLimit) -> Option<(u64, i64)> {
    let origin_us = intervals.iter().map(|interval| interval.0).min()?;
    let rate = i64::from(limit.rate.get());
    let allowed = |at_us: u64| (at_us - origin_us) as i64 * rate;
    let mut ends: Vec<(u64, usize)> =
        intervals.iter().enumerate().map(|(index, interval)| (interval.1, index)).collect();
    ends.sort_unstable();
    let mut rank_by_end = vec![0; intervals.len()];
    ends.iter().enumerate().for_each(|(rank, &(_, index))| rank_by_end[index] = rank);
    let mut starts: Vec<usize> = (0..intervals.len()).collect();
    starts.sort_unstable_by_key(|&index| std::cmp::Reverse(intervals[index].0));
    let mut tree = MaxSegmentTree::new(intervals.len());
    let mut worst = None;
    for index in starts {
        let (from_us, until_us) = intervals[index];
        tree.activate(rank_by_end[index], -allowed(until_us));
        tree.add(rank_by_end[index], intervals.len(), MICRO_REQUESTS_PER_REQUEST);
        let excess = tree.max() + allowed(from_us)
            - i64::from(limit.burst.get()) * MICRO_REQUESTS_PER_REQUEST;
        if excess > 0 && worst.is_none_or(|(_, worst_excess)| excess > worst_excess) {
            worst = Some((from_us, excess));
        }
    }
    worst
}
