//! Where rows of the store come from.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::net::SocketAddr;

use wagtailmoor_core::Instant;

/// Who sent rows to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowSource {
    Store,
    Node(SocketAddr),
    /// The copy of this node, after a restore of the store.
    OwnCopy,
}

impl Display for RowSource {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Node(address) => address.fmt(formatter),
            Self::OwnCopy => formatter.write_str("own-copy"),
        }
    }
}

/// Where rows come from, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RowOrigin {
    pub(crate) source: RowSource,
    /// The sender's data were complete up to this instant. For `OwnCopy`, when the grace period was
    /// found to have ended; it states no age of the rows.
    pub(crate) as_of: Instant,
    /// When this node began to handle them.
    pub(crate) received_at: Instant,
}
