//! The state of a range on the leader.

use std::sync::Arc;

use wagtailmoor_core::{Epoch, Instant};

use crate::release::Release;
use crate::{KeyRange, TargetProcess};

/// State of a range on the leader.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RangeState {
    /// The owner has a grant or is about to get its first one. The next one is sent at `renew_at`.
    Granted { renew_at: Instant },
    /// The process that may own the range has yet to confirm its release.
    Releasing(Release),
    /// The range needs a new owner. No process has a valid grant from `free_from` on; `to` is the
    /// next owner if that is decided.
    Vacant { free_from: Instant, to: Option<TargetProcess> },
    /// The new owner is being written to the store and is not granted anything yet.
    Storing,
}

/// A range with its owner and state, on the leader.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RangeEntry {
    pub(crate) range: KeyRange,
    /// Current or last owner; `None` before the first assignment.
    pub(crate) owner: Option<TargetProcess>,
    pub(crate) epoch: Epoch,
    /// Latest instant at which any grant sent so far expires.
    pub(crate) expires: Instant,
    /// The same without the grant in flight, in case that grant is not delivered.
    pub(crate) confirmed_expires: Instant,
    /// Whether a grant under this epoch awaits its response.
    pub(crate) in_flight: bool,
    /// State from the previous owner, to be sent with the next grant.
    pub(crate) handover: Option<Arc<str>>,
    pub(crate) state: RangeState,
}

impl RangeEntry {
    /// Creates a range that never had an owner.
    pub(crate) fn unassigned(range: KeyRange, free_from: Instant) -> Self {
        Self {
            range,
            owner: None,
            epoch: Epoch::default(),
            expires: free_from,
            confirmed_expires: free_from,
            in_flight: false,
            handover: None,
            state: RangeState::Vacant { free_from, to: None },
        }
    }

    /// Returns whether this range and `next` can be merged into one range of the same owner.
    pub(crate) fn can_merge_with(&self, next: &Self) -> bool {
        self.is_stable()
            && next.is_stable()
            && self.owner == next.owner
            && self.range.is_followed_by(next.range)
    }

    fn is_stable(&self) -> bool {
        matches!(self.state, RangeState::Granted { .. })
            && !self.in_flight
            && self.handover.is_none()
    }

    /// Returns a copy that covers only `range`, a part of this range.
    pub(crate) fn part(&self, range: KeyRange) -> Self {
        Self { range, ..self.clone() }
    }

    /// Returns the process that may have a valid grant at present.
    pub(crate) fn possible_owner(&self) -> Option<&TargetProcess> {
        match &self.state {
            RangeState::Releasing(release) => Some(&release.from),
            _ => self.owner.as_ref(),
        }
    }

    pub(crate) fn is_granted_to(&self, owner: &TargetProcess) -> bool {
        matches!(self.state, RangeState::Granted { .. }) && self.owner.as_ref() == Some(owner)
    }
}
