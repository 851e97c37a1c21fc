//! Plans the requests of a run.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::key_chooser::KeyChooser;
use crate::{Scenario, Workload};

/// Delay after which a client sends a repeated request again.
const REPEAT_AFTER_US: u64 = 20_000;

/// A request with a fixed send time, which does not depend on the responses to earlier requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Planned start, from the start of the run.
    pub at_us: u64,
    /// Index of the workload in the scenario.
    pub workload: usize,
    /// Index of the customer in the scenario.
    pub customer: usize,
    /// Application key, for workloads with keys.
    pub key: Option<String>,
    /// Number for `{n}` in the path; a repeated request has the same number as the first one.
    pub number: usize,
    /// Number in the idempotency key; `None` if the workload sends no idempotency keys.
    pub idempotency_number: Option<usize>,
}

/// Plans the requests of a scenario, ordered by planned start.
pub fn plan(scenario: &Scenario) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for workload_index in 0..scenario.workloads.len() {
        plan_workload(scenario, workload_index, &mut planned);
    }
    planned.sort_by_key(|request| request.at_us);
    planned.truncate(scenario.max_requests.get() as usize);
    planned
}

fn plan_workload(scenario: &Scenario, workload_index: usize, planned: &mut Vec<PlannedRequest>) {
    let workload = &scenario.workloads[workload_index];
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ ((workload_index as u64 + 1) << 32));
    let keys = workload.keys.as_ref().map(KeyChooser::new);
    let name = workload.keys.as_ref().and_then(|keys| keys.name.as_ref());
    let name = name.unwrap_or(&workload.name.value);
    let shares = shares(scenario, workload);
    let total: u64 = shares.iter().map(|(_, share)| share).sum();
    let end_ms = workload.until_ms.unwrap_or(u64::MAX).min(scenario.duration_ms.value);
    let end_us = end_ms.saturating_mul(1_000) as f64;
    let mean_interarrival_us = 1_000_000.0 / f64::from(workload.rate.get());
    let mut at_us = workload.from_ms as f64 * 1e3;
    loop {
        at_us += -(1.0 - rng.random::<f64>()).ln() * mean_interarrival_us;
        if at_us >= end_us || total == 0 {
            return;
        }
        let number = planned.len();
        let request = PlannedRequest {
            at_us: at_us as u64,
            workload: workload_index,
            customer: pick_customer(&shares, rng.random_range(0..total)),
            key: keys
                .as_ref()
                .map(|keys| format!("{name}-{}", keys.choose(at_us as u64, rng.random()))),
            number,
            idempotency_number: workload.idempotency_keys.then_some(number),
        };
        let repeated =
            workload.idempotency_keys && rng.random::<f64>() < workload.repeated_ppm.of(1.0);
        if repeated {
            let at_us = request.at_us + REPEAT_AFTER_US;
            planned.push(PlannedRequest { at_us, ..request.clone() });
        }
        planned.push(request);
    }
}

fn shares(scenario: &Scenario, workload: &Workload) -> Vec<(usize, u64)> {
    if workload.customers.is_empty() {
        let customers = scenario.customers.iter().enumerate();
        return customers
            .map(|(index, customer)| (index, u64::from(customer.share.get())))
            .collect();
    }
    let shares = workload.customers.iter();
    shares
        .filter_map(|share| {
            Some((scenario.customer_index(&share.customer.value)?, u64::from(share.share.get())))
        })
        .collect()
}

fn pick_customer(shares: &[(usize, u64)], mut point: u64) -> usize {
    for &(customer, share) in shares {
        match point.checked_sub(share) {
            Some(remainder) => point = remainder,
            None => return customer,
        }
    }
    shares.last().map_or(0, |&(customer, _)| customer)
}
