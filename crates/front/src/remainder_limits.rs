//! Limits on the remainder of a request's body that is sent after the response.

use std::time::Duration;

use wagtailmoor_core::ByteCount;

/// Limits on the remainder of a request's body that is sent after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainderLimits {
    /// Time from the end of the response to the end of the body.
    pub timeout: Duration,
    /// Size of the remainder.
    pub size_max: ByteCount,
}

impl Default for RemainderLimits {
    /// Operators allow bodies of 64 MiB unless they set another limit.
    fn default() -> Self {
        Self { timeout: Duration::from_secs(30), size_max: ByteCount::new(64 * 1024 * 1024) }
    }
}
