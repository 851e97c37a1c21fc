//! Moves ranges for balance, and merges them.

use wagtailmoor_core::Instant;

use crate::load_averages::LoadAverages;
use crate::member_set::MemberSet;
use crate::range_entry::RangeState;
use crate::range_list::RangeList;
use crate::{AssignerSettings, Balancer};

/// Number of ranges per member above which adjacent ranges are merged. Each range costs renewals
/// and takes space in every copy of the table.
const RANGES_PER_MEMBER_MAX: usize = 2;

/// Number of ranges above which adjacent ranges are merged on a large site. A row of the store must
/// have room for them and for the parts of a hot range.
const RANGES_LARGE_SITE_MAX: usize = 2_400;

/// Number of members per range that may be moving for balance. A hot range on a large site is
/// spread over many targets; with few moves at a time that takes longer than the range is hot.
const MEMBERS_PER_MOVE: usize = 2;

/// Decides when ranges are moved for balance, and when they are merged.
#[derive(Debug)]
pub(crate) struct Rebalancing {
    balance_at: Instant,
    /// When the next check for lasting imbalance is due.
    slow_balance_at: Instant,
    merge_at: Instant,
}

impl Rebalancing {
    pub(crate) fn new(now: Instant) -> Self {
        Self { balance_at: now, slow_balance_at: now, merge_at: now }
    }

    /// Starts moves that spread hot ranges or, if there are none, correct a lasting imbalance.
    pub(crate) fn start_moves(
        &mut self,
        now: Instant,
        settings: &AssignerSettings,
        load: &mut LoadAverages,
        members: &MemberSet,
        ranges: &mut RangeList,
    ) {
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + settings.balance_interval;
        load.decay(now);
        let moving = ranges
            .iter()
            .filter(|entry| matches!(entry.state, RangeState::Releasing(_) | RangeState::Storing));
        let moving = moving.count();
        // A hot range is spread at once; a lasting imbalance is corrected with fewer moves at a
        // time.
        let (base, hot) = (settings.concurrent_moves_min, members.len() / MEMBERS_PER_MOVE);
        let budget = base.max(hot).saturating_sub(moving);
        let member_ranges = members.eligible_with_ranges(ranges);
        let mut moves = Balancer::new(load.fast(), member_ranges).moves(budget);
        if moves.is_empty() && now >= self.slow_balance_at {
            self.slow_balance_at = now + settings.slow_balance_interval;
            let budget = base.saturating_sub(moving);
            let member_ranges = members.eligible_with_ranges(ranges);
            moves = Balancer::new(load.slow(), member_ranges).moves(budget);
        }
        for next in moves {
            ranges.start_move(now, &next);
        }
    }

    /// Merges adjacent ranges of the same owner if there are too many ranges.
    pub(crate) fn merge_ranges(
        &mut self,
        now: Instant,
        settings: &AssignerSettings,
        members: &MemberSet,
        ranges: &mut RangeList,
    ) {
        let members = members.len();
        let ranges_max = (members * RANGES_PER_MEMBER_MAX).min(members.max(RANGES_LARGE_SITE_MAX));
        if now < self.merge_at || ranges.len() <= ranges_max {
            return;
        }
        self.merge_at = now + settings.merge_interval;
        ranges.merge_adjacent(settings.merges_max);
    }
}
