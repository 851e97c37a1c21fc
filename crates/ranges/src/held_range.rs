//! A range as its granter knows it.

use std::sync::Arc;

use wagtailmoor_core::{Epoch, Instant};

use crate::release::Release;
use crate::{Holder, KeyRange};

/// What happens to a range.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RangeState {
    /// The holder keeps it; the grant is renewed at this instant.
    Held { renew_at: Instant },
    /// A process is asked to give it up.
    Releasing(Release),
    /// Nobody may hold it from an instant on, and it needs an owner.
    Vacant { free_from: Instant, to: Option<Holder> },
    /// The next owner is being stored.
    Storing,
}

/// A range as its granter knows it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldRange {
    pub(crate) range: KeyRange,
    /// Present or last holder; `None` before the first grant.
    pub(crate) holder: Option<Holder>,
    pub(crate) epoch: Epoch,
    /// The last grant holds until here at the latest.
    pub(crate) expires: Instant,
    /// The same without the grant that is in flight, in case it is not delivered.
    pub(crate) confirmed_expires: Instant,
    /// Whether a grant under this epoch awaits its answer.
    pub(crate) in_flight: bool,
    /// State that the last holder left, for the next grant.
    pub(crate) handover: Option<Arc<str>>,
    pub(crate) state: RangeState,
}

impl HeldRange {
    /// Creates a range that nobody held before.
    pub(crate) fn unassigned(range: KeyRange, free_from: Instant) -> Self {
        Self {
            range,
            holder: None,
            epoch: Epoch::default(),
            expires: free_from,
            confirmed_expires: free_from,
            in_flight: false,
            handover: None,
            state: RangeState::Vacant { free_from, to: None },
        }
    }

    /// Returns whether this range and the next one can become one grant of their holder.
    pub(crate) fn can_join(&self, next: &Self) -> bool {
        self.is_at_rest()
            && next.is_at_rest()
            && self.holder == next.holder
            && self.range.is_followed_by(next.range)
    }

    fn is_at_rest(&self) -> bool {
        matches!(self.state, RangeState::Held { .. }) && !self.in_flight && self.handover.is_none()
    }

    /// Returns a part of this range with the same history.
    pub(crate) fn part(&self, range: KeyRange) -> Self {
        Self { range, ..self.clone() }
    }

    /// Returns the process that may hold the range at present.
    pub(crate) fn keeper(&self) -> Option<&Holder> {
        match &self.state {
            RangeState::Releasing(release) => Some(&release.from),
            _ => self.holder.as_ref(),
        }
    }

    pub(crate) fn is_held_by(&self, holder: &Holder) -> bool {
        matches!(self.state, RangeState::Held { .. }) && self.holder.as_ref() == Some(holder)
    }
}
