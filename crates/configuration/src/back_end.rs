//! Parameters of a back end.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, RequestsPerSecond};
use wagtailmoor_derive::{scalar, value};

use crate::ChangeError;

/// Upper limit of `request_max_ms` for keyed back ends. With longer requests, a key would not be
/// served again within 2 s of the loss of its owner.
const KEYED_REQUEST_MAX_MS: u64 = 500;

/// Default in-flight limit per slot; lets a dozen nodes keep a permit each while the target works
/// at full capacity.
const IN_FLIGHT_PER_SLOT: u32 = 8;

/// One hour; longer requests would delay every graceful shutdown.
const POOLED_REQUEST_MAX_MS: u64 = 3_600_000;

/// Whether each key of a back end has one owner.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum BackEndKind {
    /// Each key has one owning target.
    Keyed,
    /// Any target serves any request.
    Pooled,
}

/// Whether the targets of a keyed back end check grants.
#[scalar]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum GrantCheck {
    /// Targets accept fenced grants and refuse requests for keys without one.
    #[default]
    Checked,
    /// Targets run every request that they receive; the entry processes do the fencing.
    Unchecked,
}

/// Whether a target is trusted when it states that it did not run a request.
#[scalar]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalTrust {
    /// A request that the target refused as `not-run` counts as not run.
    #[default]
    Trusted,
    /// The outcome of a refused request is unknown.
    Untrusted,
}

/// Limits on the requests in flight at a cold target.
#[value]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Initial limit of requests in flight at a cold target, in total over all nodes.
    pub concurrency: u32,
    /// Duration of successful service after which the limit doubles.
    pub step_ms: u64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self { concurrency: 1, step_ms: 1_000 }
    }
}

/// Parameters of a back end.
#[value]
#[serde(deny_unknown_fields)]
pub struct BackEndTemplate {
    /// Id of the back end.
    pub back_end: BackEndId,
    /// Whether each key has one owner.
    pub kind: BackEndKind,
    /// Whether targets check grants.
    #[serde(default)]
    pub grants: GrantCheck,
    /// Requests that one target runs concurrently.
    pub slots: u32,
    /// Maximum requests in flight at one target, running or queued there, in total over all nodes.
    ///
    /// The default is eight per slot. With one permit per slot, nearly every request would need a
    /// permit from another node, and a permit would spend most of its time in transfer.
    #[serde(default)]
    pub in_flight_max: Option<u32>,
    /// Maximum connections to one target, in total over all nodes.
    pub connections_max: u32,
    /// Maximum duration of a request.
    pub request_max_ms: u64,
    /// Limits on the requests in flight at a cold target.
    #[serde(default)]
    pub cold: ColdStart,
    /// Whether a target is trusted when it states that it did not run a request.
    #[serde(default)]
    pub refusals: RefusalTrust,
    /// Whether idempotent requests may be hedged.
    #[serde(default)]
    pub hedge: bool,
    /// Requests per second that one target of a keyed back end serves; determines which hot keys
    /// are split off.
    #[serde(default)]
    pub server_capacity_per_s: Option<RequestsPerSecond>,
    /// Maximum pause within a response body. If set, a body may take longer than `request_max_ms`,
    /// as large downloads do.
    #[serde(default)]
    pub body_pause_max_ms: Option<u64>,
}

impl BackEndTemplate {
    /// Returns the maximum duration of a request.
    pub fn request_max(&self) -> Duration {
        Duration::from_millis(self.request_max_ms)
    }

    /// Returns the maximum number of requests in flight at one target.
    pub fn in_flight_limit(&self) -> u32 {
        let default = self.slots.saturating_mul(IN_FLIGHT_PER_SLOT);
        self.in_flight_max.unwrap_or(default).min(self.connections_max)
    }

    pub(crate) fn check(&self) -> Result<(), ChangeError> {
        let limit_ms = match self.kind {
            BackEndKind::Keyed => KEYED_REQUEST_MAX_MS,
            BackEndKind::Pooled => POOLED_REQUEST_MAX_MS,
        };
        let field = |name: &str| format!("back_ends[{}].{name}", self.back_end);
        ChangeError::check_range(&field("slots"), u64::from(self.slots), 1, 1_024)?;
        let connections = u64::from(self.connections_max);
        ChangeError::check_range(&field("connections_max"), connections, 1, 65_536)?;
        if let Some(in_flight) = self.in_flight_max.map(u64::from) {
            let lowest = u64::from(self.slots);
            ChangeError::check_range(&field("in_flight_max"), in_flight, lowest, connections)?;
        }
        ChangeError::check_range(&field("request_max_ms"), self.request_max_ms, 1, limit_ms)?;
        let concurrency = u64::from(self.cold.concurrency);
        ChangeError::check_range(&field("cold.concurrency"), concurrency, 1, 1_024)?;
        ChangeError::check_range(&field("cold.step_ms"), self.cold.step_ms, 1, 600_000)
    }
}
