//! Settings of the ownership of keys.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, PartsPerMillion, RequestsPerSecond};
use wagtailmoor_derive::{scalar, value};

/// Who refuses requests for keys that a target does not own.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The target refuses them by its grants.
    Grants,
    /// Entry processes refuse them by route leases; the target accepts every command.
    Unchecked,
}

/// Settings of one keyed back end.
#[value]
pub struct BackEndSettings {
    /// Id of the back end.
    pub back_end: BackEndId,
    /// Who refuses requests for keys that a target does not own.
    pub fencing: Fencing,
    /// Number of segments.
    pub segments: u32,
    /// Longest duration of a request, ms.
    pub request_max_ms: u64,
    /// Load that one target of capacity 1 can handle, which sets the thresholds for splits and
    /// merges; `None` disables splits.
    pub target_capacity: Option<RequestsPerSecond>,
}

impl BackEndSettings {
    /// Settings of a back end with 64 segments and requests of up to 500 ms.
    pub fn new(back_end: BackEndId, fencing: Fencing) -> Self {
        Self { back_end, fencing, segments: 64, request_max_ms: 500, target_capacity: None }
    }
}

/// Settings shared by all back ends.
#[value]
pub struct OwnershipSettings {
    /// Slots in a segment.
    pub slots_per_segment: u32,
    /// Length of the lease of a grant and of a route table, ms.
    pub lease_ms: u64,
    /// Interval between renewals of the grants of a target, ms.
    pub renew_interval_ms: u64,
    /// Renew by the id of an earlier grant instead of listing its units, which saves most bytes.
    /// Every target must support such grants.
    pub renew_by_reference: bool,
    /// A call to a target without a reply after this time counts as lost, ms.
    pub call_timeout_ms: u64,
    /// Interval between queries of a target that does not reply, ms.
    pub query_interval_ms: u64,
    /// Bound on the time between the emission of a grant and its receipt, ms; only used for targets
    /// whose replies contain no clock reading.
    pub transit_max_ms: u64,
    /// Bound on the difference of clock rates.
    pub drift_ppm: PartsPerMillion,
    /// A revoked unit whose row write is unresolved for this long goes to its successor, ms.
    pub write_wait_ms: u64,
    /// When a zone goes out of service, its remaining segments are revoked after this time, ms,
    /// even if no receiver has capacity. This leaves time for the longest request before the bound
    /// of 3 s.
    pub zone_out_revoke_ms: u64,
    /// Time during which a moved segment occupies its receiver, while the sending zone is out of
    /// service, ms.
    pub rehome_pause_ms: u64,
    /// Time during which a moved segment occupies its receiver, while the sending zone is in
    /// service, as when another zone returns, ms.
    pub return_pause_ms: u64,
    /// Interval at which moves within a zone are planned, ms.
    pub plan_interval_ms: u64,
    /// Load is not rebalanced for this long after a failover, ms, so that the interrupted keys are
    /// not interrupted again.
    pub settle_ms: u64,
    /// Maximum number of units that move within a zone at the same time.
    pub max_moves: u32,
    /// Load of a target, relative to its share, above which it releases units.
    pub cap_ppm: PartsPerMillion,
    /// A target that has not replied for this long cannot be a successor, ms.
    pub successor_timeout_ms: u64,
    /// A hot key is merged back after it has been below the merge threshold for this long, ms.
    pub merge_after_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            slots_per_segment: 64,
            lease_ms: 900,
            renew_interval_ms: 200,
            renew_by_reference: false,
            call_timeout_ms: 200,
            query_interval_ms: 100,
            transit_max_ms: 100,
            drift_ppm: PartsPerMillion::new(10_000),
            write_wait_ms: 300,
            zone_out_revoke_ms: 2_000,
            rehome_pause_ms: 100,
            return_pause_ms: 1_000,
            plan_interval_ms: 1_000,
            settle_ms: 5_000,
            max_moves: 64,
            cap_ppm: PartsPerMillion::new(1_100_000),
            successor_timeout_ms: 3_000,
            merge_after_ms: 300_000,
        }
    }
}

impl OwnershipSettings {
    /// Returns the longest time on this clock during which a clock within the drift bound advances
    /// by `span`.
    pub fn with_drift(&self, span: Duration) -> Duration {
        let whole = u64::from(PartsPerMillion::ONE.get());
        let slowest = whole.saturating_sub(u64::from(self.drift_ppm.get())).max(1);
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(span_us.saturating_mul(whole).div_ceil(slowest))
    }

    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }

    /// Returns the time after which a grant or route lease sent at time zero can have no effect.
    pub fn lapse(&self, back_end: &BackEndSettings) -> Duration {
        let span = match back_end.fencing {
            Fencing::Grants => self.lease_ms + self.transit_max_ms + back_end.request_max_ms,
            // A route lease already covers the longest request.
            Fencing::Unchecked => self.lease_ms,
        };
        self.with_drift(Duration::from_millis(span))
    }
}
