//! Service-level objectives.

use wagtailmoor_core::PartsPerMillion;
use wagtailmoor_derive::value;

/// Service-level objectives of a template, evaluated per customer.
#[value]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of requests within rate that must be served.
    pub availability_ppm: PartsPerMillion,
    /// Latency threshold of a served request.
    pub latency_ms: u64,
    /// Share of served requests that must not exceed the threshold.
    pub latency_share_ppm: PartsPerMillion,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            availability_ppm: PartsPerMillion::new(999_000),
            latency_ms: 250,
            latency_share_ppm: PartsPerMillion::new(990_000),
        }
    }
}
