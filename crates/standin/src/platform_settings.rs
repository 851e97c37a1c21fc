//! Settings of the platform.

use std::net::{Ipv4Addr, SocketAddr};

use wagtailmoor_core::{PartsPerMillion, RequestsPerSecond};
use wagtailmoor_derive::{scalar, value};

use crate::ServiceTime;

/// Simulated outage of a platform service.
#[scalar]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Requests are answered 503 and have no effect.
    Refuse,
    /// Requests wait until the mode changes, and are then handled in the new mode.
    Hang,
}

/// Settings of the platform, which the control interface can change while the platform runs.
#[value]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on; a change has no effect on a running platform.
    pub listen: SocketAddr,
    /// Latency of the table and the object store, half of it before the operation takes effect.
    pub latency: ServiceTime,
    /// Outage of the table and the object store.
    pub outage: Outage,
    /// Outage of the host list.
    pub hosts_outage: Outage,
    /// Share of table and object writes that take effect but whose response is lost.
    pub lost_answers_ppm: PartsPerMillion,
    /// Share of lost responses that are a closed connection; the others are a 503.
    pub lost_by_close_ppm: PartsPerMillion,
    /// Cap on table transactions and object writes per second; zero means no cap.
    pub writes_per_s: RequestsPerSecond,
    /// Cap on table and object reads per second; zero means no cap.
    pub reads_per_s: RequestsPerSecond,
    /// Delay in milliseconds with which changes appear in the host list.
    pub hosts_lag_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: ServiceTime::Fixed { us: 0 },
            outage: Outage::None,
            hosts_outage: Outage::None,
            lost_answers_ppm: PartsPerMillion::default(),
            lost_by_close_ppm: PartsPerMillion::default(),
            writes_per_s: RequestsPerSecond::default(),
            reads_per_s: RequestsPerSecond::default(),
            hosts_lag_ms: 0,
        }
    }
}
