//! Compares rate-limit refusals with a single token bucket per customer.

use wagtailmoor_core::Reason;
use wagtailmoor_derive::value;
use wagtailmoor_history::{ClientRequest, CustomerLimit, History};

/// Refusals of a customer with the reason `rate-exceeded` or `credit-unavailable`.
#[value]
pub struct RateRefusals {
    /// Identifier of the customer.
    pub customer: String,
    /// Refused requests that a single token bucket for all hosts would have admitted.
    pub within_rate: u64,
    /// Refused requests that a single token bucket would have refused as well.
    pub above_rate: u64,
}

/// Counts the rate-limit refusals of each customer.
///
/// A token bucket is replayed over the requests of each customer, ordered by their start at the
/// client. Refused requests take no token.
pub(crate) fn rate_refusals(history: &History) -> Vec<RateRefusals> {
    history.customers.iter().map(|limit| customer_refusals(history, limit)).collect()
}

fn customer_refusals(history: &History, limit: &CustomerLimit) -> RateRefusals {
    let mut requests: Vec<&ClientRequest> = history
        .requests
        .iter()
        .filter(|request| request.customer.as_deref() == Some(&limit.customer))
        .collect();
    requests.sort_by_key(|request| request.start_us);
    let (rate, burst) = (f64::from(limit.rate.get()), f64::from(limit.burst.get()));
    let mut tokens = burst;
    let mut last_us = requests.first().map_or(0, |request| request.start_us);
    let (mut within_rate, mut above_rate) = (0, 0);
    for request in requests {
        let elapsed_s = (request.start_us - last_us) as f64 / 1_000_000.0;
        last_us = request.start_us;
        tokens = (tokens + elapsed_s * rate).min(burst);
        match request.reason {
            Some(Reason::RateExceeded | Reason::CreditUnavailable) => {
                within_rate += u64::from(tokens >= 1.0);
                above_rate += u64::from(tokens < 1.0);
            }
            _ if request.refused() => {}
            _ => tokens -= 1.0,
        }
    }
    RateRefusals { customer: limit.customer.clone(), within_rate, above_rate }
}
