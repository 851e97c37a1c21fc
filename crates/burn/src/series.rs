//! Time series of request counts.

use std::time::Duration;

use crate::{Counts, UnixMillis};

/// Width of a bucket. At 1/30 of the shortest window, the error at the edge of a window stays below
/// 4%.
const BUCKET_MS: u64 = 10_000;

/// Request counts of one subject in time buckets, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Series {
    buckets: Vec<(u64, Counts)>,
}

impl Series {
    /// Period of an error budget; older counts are dropped.
    pub const PERIOD: Duration = Duration::from_secs(30 * 24 * 3_600);

    /// Adds counts to the bucket of a time; calls need not be in order of time.
    pub fn add(&mut self, at: UnixMillis, added: Counts) {
        let bucket = at.get() / BUCKET_MS;
        match self.buckets.binary_search_by_key(&bucket, |(bucket, _)| *bucket) {
            Ok(index) => self.buckets[index].1 += added,
            Err(index) => self.buckets.insert(index, (bucket, added)),
        }
    }

    /// Drops the buckets that are at least one period older than `now`.
    pub fn drop_expired(&mut self, now: UnixMillis) {
        let expired = self.position_after(now.before(Self::PERIOD));
        self.buckets.drain(..expired);
    }

    /// Returns the counts of the time span that ends at `end`.
    ///
    /// The bucket that contains the start of the span is excluded and the one that contains its end
    /// is included, so the counts never cover more than the length of the span.
    pub fn within(&self, end: UnixMillis, span: Duration) -> Counts {
        let (first, last) = (self.position_after(end.before(span)), self.position_after(end));
        let mut sum = Counts::default();
        self.buckets[first..last].iter().for_each(|(_, counts)| sum += *counts);
        sum
    }

    /// Returns the index of the first bucket after the one that contains a time.
    fn position_after(&self, at: UnixMillis) -> usize {
        self.buckets.partition_point(|(bucket, _)| *bucket <= at.get() / BUCKET_MS)
    }
}
