//! The credit of one admitted request.

use std::cell::Cell;
use std::rc::Rc;

/// Counts of the credits of one grant, shared between the holder and the admitted requests.
#[derive(Debug, Default)]
pub(crate) struct GrantCounts {
    pub(crate) free: Cell<u32>,
    pub(crate) used: Cell<u32>,
}

/// The credit of one admitted request.
///
/// Dropping it returns the credit to the holder. Call [`Credit::spend`] before the first byte of
/// the request is sent.
#[derive(Debug)]
#[must_use = "dropping the credit returns it"]
pub struct Credit {
    counts: Rc<GrantCounts>,
    spent: bool,
}

impl Credit {
    /// Takes a free credit, or returns `None` if none is left.
    pub(crate) fn take(counts: &Rc<GrantCounts>) -> Option<Self> {
        let left = counts.free.get().checked_sub(1)?;
        counts.free.set(left);
        Some(Self { counts: Rc::clone(counts), spent: false })
    }

    /// Consumes the credit, because the request is sent.
    pub fn spend(mut self) {
        self.spent = true;
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        let count = if self.spent { &self.counts.used } else { &self.counts.free };
        count.set(count.get() + 1);
    }
}
