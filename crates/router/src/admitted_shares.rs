//! Load shedding on ranges whose owners are overloaded.

use rand::{Rng, RngExt};
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, ShardKey, SortedVec};
use wagtailmoor_ranges::RangeShare;

/// Admitted shares of ranges that get more requests than their owners can run in time. Only that
/// share of the requests is sent to the owners. The others are refused at once: in the queue of an
/// owner they would be late, and delay all requests behind them.
#[derive(Debug, Default)]
pub(crate) struct AdmittedShares {
    shares: SortedVec<BackEndId, Vec<RangeShare>>,
    valid_until: Instant,
}

impl AdmittedShares {
    /// Replaces the shares by those that the leader sent.
    pub(crate) fn replace(&mut self, now: Instant, shares: Vec<(BackEndId, Vec<RangeShare>)>) {
        self.shares = shares.into_iter().collect();
        self.valid_until = now + ReportTiming::REPLY_LIFETIME;
    }

    /// Decides at random whether a request on a key is withheld from its owner, and returns the
    /// admitted share if it is.
    pub(crate) fn withheld<R: Rng>(
        &self,
        now: Instant,
        back_end: &BackEndId,
        key: ShardKey,
        random: &mut R,
    ) -> Option<PartsPerMillion> {
        let shares = self.shares.get(back_end).filter(|_| now < self.valid_until)?;
        let share = share_of(shares, key)?;
        (random.random_range(0..PartsPerMillion::ONE.get()) >= share.get()).then_some(share)
    }
}

/// Looks up the share of a key; the ranges are sorted.
fn share_of(shares: &[RangeShare], key: ShardKey) -> Option<PartsPerMillion> {
    let index = shares.partition_point(|share| share.range.last() < key);
    let share = shares.get(index)?;
    share.range.contains(key).then_some(share.admitted)
}
