//! Update from the leader about requests that crash targets.

use wagtailmoor_derive::{scalar, value};

use crate::SuspectReport;

/// Position in the sequence of changes of one ledger.
#[scalar]
#[derive(Default)]
pub struct LedgerVersion {
    /// Id of the ledger, which differs between processes.
    pub ledger: u64,
    /// Number of the last change.
    pub change: u64,
}

impl LedgerVersion {
    /// Increments the change number and returns it.
    pub(crate) fn advance(&mut self) -> u64 {
        self.change += 1;
        self.change
    }
}

/// Fingerprints that the leader refuses and a node has not received yet.
#[value]
pub struct SuspectUpdate {
    /// Version of the leader's ledger up to which the node is current after applying the update.
    pub version: LedgerVersion,
    /// Refused fingerprints with their losses, in order of change.
    pub suspects: Vec<SuspectReport>,
}
