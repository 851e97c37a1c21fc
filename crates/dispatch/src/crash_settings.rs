//! Settings of the crash ledger.

use std::time::Duration;

/// Settings of the crash ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Losses on distinct targets after which a fingerprint is refused.
    pub losses_to_refuse: usize,
    /// The same for a fingerprint that was answered within the window. A frequent harmless request
    /// is often in flight at a target that another request crashes.
    pub losses_to_refuse_answered: usize,
    /// Time after which a loss is forgotten.
    pub window: Duration,
    /// Fingerprints kept; beyond it the one with the oldest loss is dropped, refused ones last.
    pub fingerprints_max: usize,
    /// Fingerprints in one report to a peer. A report takes about 110 bytes, and a node exchanges
    /// twice a second within a budget of 8 KB/s for control.
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
