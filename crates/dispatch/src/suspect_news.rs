//! What the leader tells a node of requests that crash targets.

use wagtailmoor_derive::{scalar, value};

use crate::SuspectReport;

/// How far the changes of one ledger are known.
#[scalar]
#[derive(Default)]
pub struct LedgerVersion {
    /// The ledger; each process has one of its own.
    pub ledger: u64,
    /// Number of the last change that is known.
    pub change: u64,
}

impl LedgerVersion {
    /// Returns the number of the next change.
    pub(crate) fn advance(&mut self) -> u64 {
        self.change += 1;
        self.change
    }
}

/// Fingerprints that the leader refuses, as far as a node lacks them.
#[value]
pub struct SuspectNews {
    /// What the node knows with them.
    pub version: LedgerVersion,
    /// The fingerprints with their losses.
    pub suspects: Vec<SuspectReport>,
}
