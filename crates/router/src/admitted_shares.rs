//! Ranges of which only a part of the requests is sent to their owners.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{BackEndId, Instant, PartsPerMillion, ShardKey, SortedVec};
use wagtailmoor_ranges::RangeShare;

/// Time for which the word of the leader is used without a newer one.
const LIFETIME: Duration = Duration::from_millis(1_200);

/// Ranges of which only a part of the requests is sent to their owners, because more arrive than
/// the owners can run in time. The rest is refused at once: in the queue of its target it would
/// end late, and make all behind it late.
#[derive(Debug, Default)]
pub(crate) struct AdmittedShares {
    shares: SortedVec<BackEndId, Vec<RangeShare>>,
    until: Instant,
}

impl AdmittedShares {
    /// Takes the word of the leader.
    pub(crate) fn take(&mut self, now: Instant, shares: Vec<(BackEndId, Vec<RangeShare>)>) {
        self.shares = shares.into_iter().collect();
        self.until = now + LIFETIME;
    }

    /// Returns the part that is sent to the owner of a key, if this request is not in it.
    pub(crate) fn withheld<R: Rng>(
        &self,
        now: Instant,
        back_end: &BackEndId,
        key: ShardKey,
        random: &mut R,
    ) -> Option<PartsPerMillion> {
        let shares = self.shares.get(back_end).filter(|_| now < self.until)?;
        let share = share_of(shares, key)?;
        (random.random_range(0..PartsPerMillion::ONE.get()) >= share.get()).then_some(share)
    }
}

/// Looks up the share of a key in ranges that are sorted.
fn share_of(shares: &[RangeShare], key: ShardKey) -> Option<PartsPerMillion> {
    let index = shares.partition_point(|share| share.range.last() < key);
    let share = shares.get(index)?;
    share.range.contains(key).then_some(share.admitted)
}
