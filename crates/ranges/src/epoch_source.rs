//! Issues the fencing tokens of a back end.

use wagtailmoor_core::Epoch;

use crate::EpochBlock;

/// Issues the fencing tokens of a back end in one term of a leader.
///
/// Each token is above all that a target may have seen: above those of former terms, because the
/// source starts behind the stored ones and a gap for those that were issued without being stored,
/// or behind the blocks of former terms; and above those of this term, because it counts up.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochSource {
    last: Epoch,
    /// Last token that may be issued; `None` in a store without eras, which never goes back.
    end: Option<Epoch>,
}

impl EpochSource {
    /// Creates a source of tokens above `used`.
    pub(crate) fn after(used: Epoch) -> Self {
        Self { last: used, end: None }
    }

    /// Issues only tokens of a block from now on.
    pub(crate) fn use_block(&mut self, block: &EpochBlock) {
        self.last = self.last.max(block.after());
        self.end = Some(block.end());
    }

    /// Returns the highest token issued so far.
    pub(crate) fn last(&self) -> Epoch {
        self.last
    }

    /// Returns the number of tokens that may still be issued.
    pub(crate) fn remaining(&self) -> u64 {
        self.end.map_or(u64::MAX, Epoch::get).saturating_sub(self.last.get())
    }

    /// Issues a token. The caller has checked that one is left.
    pub(crate) fn allocate(&mut self) -> Epoch {
        debug_assert!(self.remaining() > 0, "no fencing token is left in the block");
        self.last = self.last.next();
        self.last
    }
}
