//! Limits on the requests and connections of clients.

use std::time::Duration;

use wagtailmoor_core::ByteCount;
use wagtailmoor_derive::value;

/// Limits on the requests and connections of clients.
#[value]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub head_max: ByteCount,
    /// Maximum size of a request body.
    pub body_max: ByteCount,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_max: ByteCount::new(16 * 1024),
            body_max: ByteCount::new(64 * 1024 * 1024),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
