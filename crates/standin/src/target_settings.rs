//! Settings of one target.

use std::net::{Ipv4Addr, SocketAddr};

use wagtailmoor_core::{BackEndId, PartsPerMillion, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::{ColdSettings, LoadReport, ServiceTime};

/// Whether a target owns keys and checks grants.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Owns no keys and runs any request.
    Pooled,
    /// Owns keys and runs only requests that an unexpired grant covers.
    KeyedChecked,
    /// Owns keys but does not check grants: runs any request.
    KeyedUnchecked,
}

/// Settings of one target. While it runs, the control interface can change all but the first five.
#[value]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Id of the target.
    pub target: TargetId,
    /// Back end that the target belongs to.
    pub back_end: BackEndId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Pooled or keyed, and whether the target checks grants.
    pub kind: TargetKind,
    /// Address to listen on.
    #[serde(default = "loopback")]
    pub listen: SocketAddr,
    /// Index of the path segment that is the key; 1 selects `42` in `/threads/42/replies`.
    #[serde(default = "one")]
    pub key_segment: u32,
    /// Maximum number of concurrent requests.
    #[serde(default = "two")]
    pub slots: u32,
    /// Maximum number of connections; further ones are closed and recorded as violations.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Setup time of a new connection.
    #[serde(default = "millisecond_us")]
    pub connection_cost_us: u64,
    /// Maximum number of waiting requests; further ones are shed.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Share of requests that are shed even if there is room for them.
    #[serde(default)]
    pub shed_ppm: PartsPerMillion,
    /// Value of `retry-after-ms` on shed requests.
    #[serde(default = "default_retry_after_ms")]
    pub retry_after_ms: u64,
    /// Service time of requests without the query parameter `service_us`.
    #[serde(default = "default_service")]
    pub service: ServiceTime,
    /// Factor on the service time, to simulate a slow target.
    #[serde(default = "default_slow_ppm")]
    pub slow_ppm: PartsPerMillion,
    /// Behaviour after a cold start.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Whether a request is cancelled when its connection closes.
    #[serde(default = "yes")]
    pub cancel: bool,
    /// Whether requests that arrive during a freeze run after it even if their connections were
    /// closed in the meantime. Keyed targets that do not check grants cannot be protected from this.
    #[serde(default)]
    pub runs_after_freeze: bool,
    /// Whether a request ends at its deadline.
    #[serde(default = "yes")]
    pub deadlines: bool,
    /// Whether a draining target answers new requests with 503 and the outcome `not-run`.
    #[serde(default)]
    pub draining_refuses: bool,
    /// Delay of load reports in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// A load report to send in place of the true one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub false_report: Option<LoadReport>,
    /// A request with this text in its path, query or body crashes the target.
    #[serde(default = "default_marker")]
    pub crash_marker: Option<String>,
    /// Downtime after a crash that a request causes.
    #[serde(default = "default_away_ms")]
    pub crash_away_ms: u64,
    /// Share of responses that are delayed by `late_ms`.
    #[serde(default)]
    pub late_ppm: PartsPerMillion,
    /// Delay of such a response.
    #[serde(default)]
    pub late_ms: u64,
    /// Share of responses that are truncated to half of their body.
    #[serde(default)]
    pub cut_ppm: PartsPerMillion,
    /// Size of the chunks of a body whose length is set by the query parameter `bytes`.
    #[serde(default = "default_chunk")]
    pub chunk_bytes: u32,
    /// Delay before each chunk.
    #[serde(default)]
    pub chunk_delay_us: u64,
}

impl TargetSettings {
    /// Returns default settings with an ephemeral loopback port.
    pub fn new(target: TargetId, back_end: BackEndId, zone: ZoneId, kind: TargetKind) -> Self {
        Self {
            target,
            back_end,
            zone,
            kind,
            listen: loopback(),
            key_segment: one(),
            slots: two(),
            connections: default_connections(),
            connection_cost_us: millisecond_us(),
            queue: default_queue(),
            shed_ppm: PartsPerMillion::default(),
            retry_after_ms: default_retry_after_ms(),
            service: default_service(),
            slow_ppm: default_slow_ppm(),
            cold: ColdSettings::default(),
            cancel: true,
            runs_after_freeze: false,
            deadlines: true,
            draining_refuses: false,
            report_lag_ms: 0,
            false_report: None,
            crash_marker: default_marker(),
            crash_away_ms: default_away_ms(),
            late_ppm: PartsPerMillion::default(),
            late_ms: 0,
            cut_ppm: PartsPerMillion::default(),
            chunk_bytes: default_chunk(),
            chunk_delay_us: 0,
        }
    }

    /// Returns whether the target checks grants and has the paths that manage them.
    pub fn checks_grants(&self) -> bool {
        self.kind == TargetKind::KeyedChecked
    }

    /// Returns whether the target owns keys.
    pub fn is_keyed(&self) -> bool {
        self.kind != TargetKind::Pooled
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn one() -> u32 {
    1
}

fn two() -> u32 {
    2
}

fn yes() -> bool {
    true
}

fn default_slow_ppm() -> PartsPerMillion {
    PartsPerMillion::ONE
}

// Defaults of `connections` and `connection_cost_us`, as at the Resena Austral site.
fn default_connections() -> u32 {
    130
}

fn millisecond_us() -> u64 {
    1_000
}

fn default_queue() -> u32 {
    64
}

fn default_retry_after_ms() -> u64 {
    100
}

fn default_service() -> ServiceTime {
    ServiceTime::Fixed { us: 2_000 }
}

fn default_marker() -> Option<String> {
    Some("crash-the-target".to_owned())
}

fn default_away_ms() -> u64 {
    1_000
}

fn default_chunk() -> u32 {
    16 * 1_024
}
