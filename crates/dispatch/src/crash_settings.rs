//! Settings of the crash ledger.

use std::time::Duration;

/// Settings of the crash ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Number of losses, on distinct targets or incarnations, at which a fingerprint is refused.
    pub losses_to_refuse: usize,
    /// Same threshold for a fingerprint that was answered within the window. It is higher because a
    /// frequent harmless request is often in flight at a target that another request crashes.
    pub losses_to_refuse_answered: usize,
    /// Age at which a loss expires.
    pub window: Duration,
    /// Capacity of the ledger. When it is full, the fingerprint with the oldest loss is evicted,
    /// refused ones last.
    pub fingerprints_max: usize,
    /// Maximum number of fingerprints in one report to a peer. Each takes about 110 bytes, and a
    /// node sends two reports per second within a control-traffic budget of 8 KB/s.
    pub report_max: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            losses_to_refuse: 2,
            losses_to_refuse_answered: 4,
            window: Duration::from_secs(600),
            fingerprints_max: 1024,
            report_max: 16,
        }
    }
}
