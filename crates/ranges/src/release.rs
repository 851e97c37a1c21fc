//! The release of a range.

use wagtailmoor_core::{Epoch, Instant};

use crate::TargetProcess;

/// The release of a range, until the process that may own the range confirms it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Release {
    /// Process that must release the range: the owner, or a later process of the same target.
    pub(crate) from: TargetProcess,
    /// Fencing token of the release.
    pub(crate) epoch: Epoch,
    /// Next owner of the range, if that is decided.
    pub(crate) to: Option<TargetProcess>,
    /// When the next release call is due.
    pub(crate) call_at: Instant,
    /// Whether a call awaits its response.
    pub(crate) in_flight: bool,
}

impl Release {
    /// Creates a release that is due at once.
    pub(crate) fn new(
        now: Instant,
        from: TargetProcess,
        epoch: Epoch,
        to: Option<TargetProcess>,
    ) -> Self {
        Self { from, epoch, to, call_at: now, in_flight: false }
    }
}
