//! Issues the fencing tokens of a back end.

use wagtailmoor_core::Epoch;

use crate::{AssignmentTable, EpochBlock};

/// Tokens that a new leader skips. The previous leader may have used one token to release each
/// range without storing it, and a row of the store has room for fewer ranges than this.
const EPOCH_GAP: u64 = 4_096;

/// Issues the fencing tokens of a back end in one term of a leader.
///
/// Invariant: each token that [`Self::allocate`] issues is above all that a target may have seen.
///
/// - Above those of former terms that were issued from a block: a block follows all blocks that
///   were reserved before it in its era, and all tokens of former eras.
/// - Above those of former terms in a store without eras: the source starts behind the last token of
///   the stored table and a gap for those that were not stored. The gap covers one term, so each
///   leader stores the table with that gap before its first command ([`claim`](crate::RangeAssigner::claim)).
/// - Above those of this term: the source only counts up, also when it takes another block.
///
/// No other type of this crate issues tokens for commands, so each command that takes keys from a
/// process or gives them to one is ordered behind the earlier ones. `tests/fencing.rs` tests the
/// invariant by the commands of a leader, and `tests/epochs.rs` the blocks.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochSource {
    last: Epoch,
    /// Last token that may be issued; `None` in a store without eras, which never goes back.
    end: Option<Epoch>,
}

impl EpochSource {
    /// Creates a source for the leader that follows the one whose last stored table is known.
    pub(crate) fn following(table: &AssignmentTable) -> Self {
        Self { last: Self::possibly_issued(table), end: None }
    }

    /// Returns the highest token that a leader may have issued whose last stored table is known.
    pub(crate) fn possibly_issued(table: &AssignmentTable) -> Epoch {
        Epoch::new(table.last_epoch().get().saturating_add(EPOCH_GAP))
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

    /// Returns whether at least `count` tokens may still be issued.
    pub(crate) fn has(&self, count: u64) -> bool {
        self.remaining() >= count
    }

    /// Returns whether another block should be reserved.
    pub(crate) fn needs_block(&self) -> bool {
        !self.has(EpochBlock::LEN / 2)
    }

    /// Issues a token. The caller has checked that one is left.
    pub(crate) fn allocate(&mut self) -> Epoch {
        debug_assert!(self.remaining() > 0, "no fencing token is left in the block");
        self.last = self.last.next();
        self.last
    }

    /// Returns the number of tokens that may still be issued.
    fn remaining(&self) -> u64 {
        self.end.map_or(u64::MAX, Epoch::get).saturating_sub(self.last.get())
    }
}
