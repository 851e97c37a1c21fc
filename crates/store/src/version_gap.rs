//! Versions of which not all changes are known.

use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

/// Versions between which rows may have been written and removed unnoticed: a table was read in full
/// at `to` by a node that knew its changes up to `from`.
#[value]
#[derive(Copy)]
pub struct VersionGap {
    /// Version up to which the changes before the gap are known.
    pub from: RowVersion,
    /// Version from which on the changes after the gap are known.
    pub to: RowVersion,
}

impl VersionGap {
    /// Returns the smallest gap that includes two gaps.
    pub fn including(self, other: Self) -> Self {
        Self { from: self.from.min(other.from), to: self.to.max(other.to) }
    }

    /// Returns whether a node that knows the changes up to `version` may miss a removal.
    pub fn contains(self, version: RowVersion) -> bool {
        self.from < version && version < self.to
    }
}
