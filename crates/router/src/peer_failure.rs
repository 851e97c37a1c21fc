//! Why a node could not get the store's changes from another node.

use std::fmt::{Display, Formatter, Result as FmtResult};

/// Why a node could not get the store's changes from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// The other node did not answer in time.
    Unresponsive,
    /// The other node does not receive changes itself.
    Stale,
}

impl Display for PeerFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Unresponsive => "silent",
            Self::Stale => "lacks-store",
        })
    }
}
