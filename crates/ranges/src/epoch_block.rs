//! Reserved fencing tokens of a back end.

use wagtailmoor_core::{Epoch, StoreEra};

/// Fencing tokens of a back end that only one term of a leader issues.
///
/// The end of the last block of an era is stored in a row whose name contains the era. A write of a
/// former era that the store performs late never names that row, so the row cannot go back within
/// its era. The row with the owners can: versions are issued again after a restore, so the condition
/// of a late write may hold again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpochBlock {
    after: Epoch,
    end: Epoch,
}

impl EpochBlock {
    /// Number of tokens in a block. An era has room for 16,384 blocks; a leader reserves one for each
    /// back end when its term begins, and another one when half of them are used.
    pub const LEN: u64 = 1 << 18;

    /// Returns the block that follows the stored end of the last one, `None` if none is stored for
    /// the era. Tokens up to `used` are left out; they were issued without a reservation. Returns
    /// `None` if the era has no tokens left.
    pub fn next(era: StoreEra, reserved: Option<Epoch>, used: Epoch) -> Option<Self> {
        let after = reserved.unwrap_or_default().max(used).max(Epoch::base_of(era));
        let end = Epoch::new(after.get().checked_add(Self::LEN)?);
        (end < Epoch::base_of(era.next())).then_some(Self { after, end })
    }

    /// Returns the token before the first one of the block.
    pub fn after(&self) -> Epoch {
        self.after
    }

    /// Returns the last token of the block.
    pub fn end(&self) -> Epoch {
        self.end
    }
}
