//! Limits the requests of a host to a new version.

use wagtailmoor_core::PartsPerMillion;

/// Largest credit, in requests. Credit that could not be used, for instance while no target of the
/// new version was warm, must not arrive there in a burst.
const CREDIT_MAX: f64 = 2.0;

/// Limits the requests of a host to a new version to a share of its requests, without coordination
/// with other hosts.
///
/// Each request earns a share of a request as credit, and a request to the new version costs a whole
/// one. So the sum over any hosts stays below the share of all requests plus the initial credits.
#[derive(Clone, Copy, Debug)]
pub struct ExposureGate {
    credit: f64,
}

impl ExposureGate {
    /// Creates a gate with an initial credit, which is to be random between zero and one. The
    /// expected number of requests to the new version is then the share at any time; without it,
    /// hundreds of hosts with few requests each would send none for many seconds.
    pub fn new(initial_credit: f64) -> Self {
        Self { credit: initial_credit.clamp(0.0, 1.0) }
    }

    /// Returns whether the next request may be sent to the new version.
    pub fn admits(&self, share: PartsPerMillion) -> bool {
        share.get() > 0 && self.credit + share.of(1.0) >= 1.0
    }

    /// Counts a request that is sent to the back end.
    pub fn count(&mut self, share: PartsPerMillion, to_new: bool) {
        let cost = if to_new { 1.0 } else { 0.0 };
        self.credit = (self.credit + share.of(1.0) - cost).clamp(0.0, CREDIT_MAX);
    }
}
