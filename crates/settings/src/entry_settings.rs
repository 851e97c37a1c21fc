//! Settings of an entry process.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use wagtailmoor_core::{ByteCount, HostId, NodeId, RackId, RegionId, ZoneId};
use wagtailmoor_derive::value;

use crate::SettingsError;

/// Valid range of `tenure_ms`. With a shorter tenure, a slow store would interrupt the service of a
/// zone; with a longer one, a lost zone would stay unserved for hours.
const TENURE_RANGE_MS: RangeInclusive<u64> = 1_200..=3_600_000;

/// Settings of an entry process.
#[value]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Id of this process.
    pub node: NodeId,
    /// Host on which the process runs.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Rack of the host.
    pub rack: RackId,
    /// Listen address for clients; the processes of one host may share it.
    pub listen: SocketAddr,
    /// Listen address for other entry processes and for operators; unique per process.
    pub control: SocketAddr,
    /// Address of the platform's table, object store and host list.
    pub platform: SocketAddr,
    /// Control addresses of other entry processes, used to join the membership.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address to which metrics are sent in statsd format; `None` disables metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How long a controller of this zone keeps its authority without the store and the other
    /// zones, and after which they may take over the zone. Equal on all processes of a region.
    #[serde(default)]
    pub tenure_ms: Option<u64>,
    /// Limits for clients, queues and the graceful shutdown.
    #[serde(default)]
    pub front: FrontSettings,
}

/// Limits for clients, queues and the graceful shutdown.
#[value]
#[serde(deny_unknown_fields, default)]
pub struct FrontSettings {
    /// Maximum client connections.
    pub connections_max: u32,
    /// Maximum size of a request head.
    pub head_max_bytes: ByteCount,
    /// Maximum time for a request head to arrive.
    pub head_timeout_ms: u64,
    /// Maximum time without progress before a body counts as stalled.
    pub body_idle_timeout_ms: u64,
    /// Maximum requests in a queue for a back end.
    pub queue_max: u32,
    /// Maximum requests of one customer in a queue for a back end.
    pub queue_customer_max: u32,
    /// Maximum time for which a graceful shutdown waits for requests in flight.
    pub drain_max_ms: u64,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            connections_max: 4_096,
            head_max_bytes: ByteCount::new(16_384),
            head_timeout_ms: 5_000,
            body_idle_timeout_ms: 30_000,
            queue_max: 1_024,
            queue_customer_max: 256,
            drain_max_ms: 3_600_000,
        }
    }
}

impl EntrySettings {
    /// Checks constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// The first field that is out of range or contradicts another. `path` is only for the message.
    pub fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let invalid = |field: &str, problem: &str| {
            Err(SettingsError::Invalid {
                path: path.into(),
                field: field.into(),
                problem: problem.into(),
            })
        };
        let front = &self.front;
        match () {
            () if self.listen == self.control => invalid("control", "equals listen"),
            () if self.peers.contains(&self.control) => invalid("peers", "names this process"),
            () if self.tenure_ms.is_some_and(|tenure_ms| !TENURE_RANGE_MS.contains(&tenure_ms)) => {
                invalid("tenure_ms", "is not between 1200 and 3600000")
            }
            () if front.connections_max == 0 => invalid("front.connections_max", "is 0"),
            () if front.head_max_bytes < ByteCount::new(8_192) => {
                invalid("front.head_max_bytes", "is below 8192")
            }
            () if front.head_timeout_ms == 0 => invalid("front.head_timeout_ms", "is 0"),
            () if front.body_idle_timeout_ms == 0 => invalid("front.body_idle_timeout_ms", "is 0"),
            () if front.queue_max == 0 => invalid("front.queue_max", "is 0"),
            () if front.queue_customer_max > front.queue_max => {
                invalid("front.queue_customer_max", "is above front.queue_max")
            }
            () => Ok(()),
        }
    }
}
