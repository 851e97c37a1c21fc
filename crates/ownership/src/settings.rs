//! Settings of ownership.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, PartsPerMillion, RequestsPerSecond};
use wagtailmoor_derive::{scalar, value};

/// Who refuses requests for keys that a target does not own.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The target, by its grants.
    Grants,
    /// Entry processes, by route leases; the target accepts every command.
    Unchecked,
}

/// Settings of one keyed back end.
#[value]
pub struct BackEndSettings {
    /// Its id.
    pub back_end: BackEndId,
    /// Who refuses requests for keys that a target does not own.
    pub fencing: Fencing,
    /// Number of segments.
    pub segments: u32,
    /// Longest request, ms.
    pub request_max_ms: u64,
    /// What one target of capacity 1 can handle; keys are split by it. Absent: none is split.
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
    /// Lease of a grant and of a route table, ms.
    pub lease_ms: u64,
    /// Interval between renewals of grants, ms.
    pub renew_ms: u64,
    /// Renews by the id of an earlier grant in place of its units, which saves most bytes. Every target
    /// has to know such grants.
    pub renew_by_reference: bool,
    /// A call to a target without a reply after this time is lost, ms.
    pub call_timeout_ms: u64,
    /// Interval between queries of a target that does not reply, ms.
    pub query_ms: u64,
    /// Bound on the time between emission of a grant and its receipt, ms; only used for targets
    /// whose replies carry no clock reading.
    pub transit_max_ms: u64,
    /// Bound on the difference of clock rates.
    pub drift_ppm: PartsPerMillion,
    /// A revoked unit whose row write is unresolved for this long goes to its successor, ms.
    pub write_wait_ms: u64,
    /// A segment of a zone that is out of service is revoked this long after the change, even when
    /// no receiver has capacity, ms. Leaves time for the longest request before the bound of 3 s.
    pub out_stop_ms: u64,
    /// Time for which a moved segment occupies its receiver while its own zone is out, ms.
    pub rehome_pause_ms: u64,
    /// Time for which a moved segment occupies its receiver when a zone returns, ms.
    pub return_pause_ms: u64,
    /// Interval between plans of moves within a zone, ms.
    pub plan_ms: u64,
    /// After a failover the load is not rebalanced for this long, ms, so that keys that were just
    /// interrupted are not interrupted again.
    pub settle_ms: u64,
    /// Units that move within a zone at the same time.
    pub moves: u32,
    /// Load of a target against the mean above which it gives slots away.
    pub cap_ppm: PartsPerMillion,
    /// A target that does not reply for this long no longer counts as a successor, ms.
    pub successor_patience_ms: u64,
    /// Time for which a hot key must be below the merge threshold, ms.
    pub merge_after_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            slots_per_segment: 64,
            lease_ms: 900,
            renew_ms: 200,
            renew_by_reference: false,
            call_timeout_ms: 200,
            query_ms: 100,
            transit_max_ms: 100,
            drift_ppm: PartsPerMillion::new(10_000),
            write_wait_ms: 300,
            out_stop_ms: 2_000,
            rehome_pause_ms: 100,
            return_pause_ms: 1_000,
            plan_ms: 1_000,
            settle_ms: 5_000,
            moves: 64,
            cap_ppm: PartsPerMillion::new(1_100_000),
            successor_patience_ms: 3_000,
            merge_after_ms: 300_000,
        }
    }
}

impl OwnershipSettings {
    /// Returns the longest time on this clock in which a clock within the drift bound advances by
    /// `span`.
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

    /// Returns the time after which a grant sent at time zero can have no effect.
    pub fn lapse(&self, back_end: &BackEndSettings) -> Duration {
        let span = match back_end.fencing {
            Fencing::Grants => self.lease_ms + self.transit_max_ms + back_end.request_max_ms,
            // A route lease already covers the longest request.
            Fencing::Unchecked => self.lease_ms,
        };
        self.with_drift(Duration::from_millis(span))
    }
}
