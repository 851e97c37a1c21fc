//! Settings of the lease protocol.

use std::ops::RangeInclusive;
use std::time::Duration;

use wagtailmoor_core::{PartsPerMillion, ZoneId};
use wagtailmoor_derive::value;

/// Settings of the lease protocol. All nodes of a region use the same durations.
#[value]
pub struct LeaseSettings {
    /// Duration of a promise for the node that requested it, counted from the sending of the request.
    pub promise_ms: u64,
    /// Interval between the promise requests of a controller.
    pub request_interval_ms: u64,
    /// Interval between requests while a quorum or a release is missing.
    pub retry_interval_ms: u64,
    /// Delay between the campaign starts of successive panel members after the controller is lost.
    pub stagger_ms: u64,
    /// Maximum difference in rate between two clocks.
    pub drift_ppm: PartsPerMillion,
    /// Interval between renewals of the row, and between reads by panel members.
    pub renew_interval_ms: u64,
    /// The controller replaces a panel member that has not responded for this long.
    pub unresponsive_after_ms: u64,
    /// How long the row has to be unchanged before a node outside the panel installs a new one.
    pub non_member_delay_ms: u64,
    /// How long a panel stays valid without a renewal; written to the panels that this node
    /// installs.
    pub tenure_ms: u64,
    /// How long a zone promise extends the tenure of another zone. It has to exceed the duration of
    /// a takeover, so that the next controller can extend the tenure that it inherits.
    pub zone_promise_ms: u64,
    /// The zones of the region other than that of the lease; written to the panels that this node
    /// installs, as their witnesses.
    pub other_zones: Vec<ZoneId>,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            promise_ms: 500,
            request_interval_ms: 150,
            retry_interval_ms: 50,
            stagger_ms: 100,
            drift_ppm: PartsPerMillion::new(10_000),
            renew_interval_ms: 1_000,
            unresponsive_after_ms: 1_000,
            non_member_delay_ms: 3_000,
            tenure_ms: 60_000,
            zone_promise_ms: 5_000,
            other_zones: Vec::new(),
        }
    }
}

impl LeaseSettings {
    /// Range of [`Self::tenure_ms`]. A shorter tenure would end between two renewals.
    pub const TENURE_RANGE_MS: RangeInclusive<u64> = 1_200..=3_600_000;

    pub(crate) fn promise(&self) -> Duration {
        Duration::from_millis(self.promise_ms)
    }

    /// Returns the longest time on this node's clock during which `span_ms` can pass on the clock
    /// of another node.
    pub(crate) fn plus_drift(&self, span_ms: u64) -> Duration {
        let drift_us = span_ms * u64::from(self.drift_ppm.get()) / 1_000;
        Duration::from_millis(span_ms) + Duration::from_micros(drift_us)
    }

    /// Returns the shortest time on this node's clock during which `span_ms` can pass on the clock
    /// of another node.
    pub(crate) fn minus_drift(&self, span_ms: u64) -> Duration {
        let drift_us = span_ms * u64::from(self.drift_ppm.get()) / 1_000;
        Duration::from_millis(span_ms).saturating_sub(Duration::from_micros(drift_us))
    }

    pub(crate) fn stagger(&self, index: usize) -> Duration {
        Duration::from_millis(self.stagger_ms * u64::try_from(index).unwrap_or(u64::MAX).min(1_000))
    }
}
