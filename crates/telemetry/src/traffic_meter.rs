//! Counts the bytes of a group of connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use wagtailmoor_core::ByteCount;

/// Counts the bytes of a group of connections. Clones count together.
///
/// The counters are atomic because the transport of calls between processes must be `Send`.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter {
    sent_bytes: Arc<AtomicU64>,
    received_bytes: Arc<AtomicU64>,
}

impl TrafficMeter {
    /// Returns the bytes sent so far.
    pub fn sent(&self) -> ByteCount {
        ByteCount::new(self.sent_bytes.load(Ordering::Relaxed))
    }

    /// Returns the bytes received so far.
    pub fn received(&self) -> ByteCount {
        ByteCount::new(self.received_bytes.load(Ordering::Relaxed))
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
