//! Feed of the changes to a table.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use wagtailmoor_core::{RowVersion, StoreTime};
use wagtailmoor_derive::value;

/// A row of a table at one version.
#[value]
pub struct FeedRow {
    /// Name of the row in its table.
    pub key: Arc<str>,
    /// Version that the store gave this content, or the removal.
    pub version: RowVersion,
    /// `None` if the row was removed.
    pub content: Option<Bytes>,
}

/// Rows of a table and the version up to which they are complete.
#[value]
pub struct FeedPage {
    /// The rows, in the order of their changes.
    pub rows: Vec<FeedRow>,
    /// Version after which the next page starts.
    pub version: RowVersion,
    /// When the store made the page; `None` if it does not say so.
    pub store_time: Option<StoreTime>,
}

/// An error of a feed request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// The store has discarded some changes after the requested version, or was restored from a copy
    /// that does not have this version; the caller must read a snapshot.
    #[snafu(display("the store no longer keeps the changes after the requested version"))]
    HistoryLost,
    /// The store is down, overloaded or unreachable.
    #[snafu(display("the store is unavailable: {cause}"))]
    Unavailable {
        /// The status or transport error.
        cause: String,
    },
}

/// Reads whole tables and long-polls for their changes.
pub trait ChangeFeed {
    /// Returns all rows of a table.
    fn snapshot(&self, table: &str) -> impl Future<Output = Result<FeedPage, FeedError>>;

    /// Returns the changes after a version: at once if there are any, otherwise when the next one
    /// is written. Returns an empty page if `wait` passes without a change.
    fn changes(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, FeedError>>;
}
