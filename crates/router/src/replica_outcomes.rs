//! What follows from the results of calls for rows.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_store::CompressedRow;

/// What follows from an answer of the store.
#[derive(Debug)]
pub struct FeedAnswer {
    /// Rows that take effect now.
    pub rows: Vec<CompressedRow>,
    /// The store's rows are complete up to this instant.
    pub as_of: Instant,
    /// Time until the next call.
    pub pause: Duration,
    /// Whether the store was unreachable before, and how old the data were then.
    pub recovered_after: Option<Duration>,
    /// Whether the data of this node are younger than before.
    pub confirms: bool,
    /// Whether the answer is older than what this node knew when it called, and confirms nothing.
    pub is_outdated: bool,
}

/// What follows from a call of the store that failed.
#[derive(Clone, Copy, Debug)]
pub struct FeedFailure {
    /// Time until the next call.
    pub pause: Duration,
    /// Whether this node can no longer relay changes to others.
    pub stops_relaying: bool,
    /// Whether the store counts as unreachable from now on.
    pub store_lost: bool,
}

/// What follows from an answer of another node.
#[derive(Debug)]
pub struct PeerRows {
    /// Rows of each table that take effect now, in the order of [`ReplicaTable::ALL`](crate::ReplicaTable::ALL).
    pub rows: [Vec<CompressedRow>; 3],
    /// The rows are complete up to this instant.
    pub as_of: Instant,
    /// Whether the answering node follows the store, itself or through others.
    pub confirms: bool,
}
