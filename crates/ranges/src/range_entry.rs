//! The state of a range on the leader.

use std::sync::Arc;

use wagtailmoor_core::{Epoch, Instant};

use crate::process_fault::ProcessFault;
use crate::release::Release;
use crate::{AssignerSettings, GrantOutcome, KeyRange, ReleaseOutcome, TargetProcess};

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

    /// Returns whether the range waits for this release call.
    pub(crate) fn awaits_release(
        &self,
        process: &TargetProcess,
        range: KeyRange,
        epoch: Epoch,
    ) -> bool {
        let RangeState::Releasing(release) = &self.state else { return false };
        self.range == range && release.from == *process && release.epoch == epoch
    }

    pub(crate) fn is_granted_to(&self, owner: &TargetProcess) -> bool {
        matches!(self.state, RangeState::Granted { .. }) && self.owner.as_ref() == Some(owner)
    }

    /// Returns whether `process` was granted some keys of `granted` by this range under `epoch`.
    pub(crate) fn is_affected_by_grant(
        &self,
        process: &TargetProcess,
        granted: KeyRange,
        epoch: Epoch,
    ) -> bool {
        let is_affected = self.epoch == epoch && self.range.intersection(granted).is_some();
        is_affected && self.owner.as_ref() == Some(process)
    }

    /// Records the outcome of a grant to the owner that was sent at `sent_at`. `has_exited` states
    /// whether the owner is known to have exited. Returns what the outcome reveals about the owner.
    pub(crate) fn record_grant_outcome(
        &mut self,
        now: Instant,
        settings: &AssignerSettings,
        sent_at: Instant,
        outcome: GrantOutcome,
        has_exited: bool,
    ) -> Option<ProcessFault> {
        self.in_flight = false;
        // Also for a range that is vacant at present: its owner may be listed again, and a later
        // grant that is not delivered then falls back to this expiry.
        match outcome {
            GrantOutcome::Held => {
                let expires = now + settings.grant_validity_max();
                self.confirmed_expires = self.confirmed_expires.max(expires);
            }
            GrantOutcome::Unknown => self.confirmed_expires = self.expires,
            _ => {}
        }
        let RangeState::Granted { renew_at } = &mut self.state else { return None };
        match outcome {
            // The owner has exited, and the last grant that could have reached its successor was
            // not delivered.
            GrantOutcome::NotDelivered | GrantOutcome::Refused if has_exited => {
                self.state = RangeState::Vacant { free_from: now, to: None };
            }
            GrantOutcome::Held => {
                *renew_at = sent_at + settings.renew_interval;
                self.expires = self.confirmed_expires;
                self.handover = None;
            }
            GrantOutcome::Unknown => *renew_at = now + settings.retry_interval,
            // The target no longer owns the keys, so they may go to one that can be reached.
            GrantOutcome::NotDelivered | GrantOutcome::Refused if now >= self.confirmed_expires => {
                self.expires = self.confirmed_expires;
                self.state = RangeState::Vacant { free_from: now, to: None };
                return Some(ProcessFault::Unreachable);
            }
            GrantOutcome::NotDelivered | GrantOutcome::Refused => {
                *renew_at = now + settings.retry_interval;
                // A grant that was not delivered does not extend the previous one.
                self.expires = self.confirmed_expires;
            }
            GrantOutcome::Fenced => {
                // A previous leader released some of these keys and stopped before it stored a new
                // owner. The same owner may get them at once under a higher epoch, another target
                // only after the last grant has expired.
                let (free_from, to) = (self.expires, self.owner.clone());
                self.state = RangeState::Vacant { free_from, to };
            }
            GrantOutcome::Replaced => return Some(ProcessFault::Exited),
        }
        None
    }

    /// Records the outcome of the release call that the range waits for. A release that failed is
    /// sent again at `retry_at`.
    pub(crate) fn record_release_outcome(
        &mut self,
        now: Instant,
        retry_at: Instant,
        outcome: &ReleaseOutcome,
    ) {
        let RangeState::Releasing(release) = &mut self.state else { return };
        release.in_flight = false;
        match outcome {
            ReleaseOutcome::Released { handover } => {
                self.handover = handover.clone();
                let to = release.to.take();
                self.state = RangeState::Vacant { free_from: now, to };
            }
            ReleaseOutcome::Replaced => {
                let to = release.to.take();
                self.state = RangeState::Vacant { free_from: now, to };
            }
            ReleaseOutcome::Refused | ReleaseOutcome::Unknown => release.call_at = retry_at,
        }
    }

    /// Vacates the range if `process`, which is known to have exited, may own it. A range with a
    /// grant in flight waits for the outcome, because the next process of the target may accept that
    /// grant.
    pub(crate) fn record_exit(&mut self, now: Instant, process: &TargetProcess) {
        let may_be_owned = matches!(
            self.state,
            RangeState::Granted { .. } | RangeState::Releasing(_) | RangeState::Vacant { .. }
        );
        if may_be_owned && !self.in_flight && self.possible_owner() == Some(process) {
            self.state = RangeState::Vacant { free_from: now, to: None };
        }
    }
}
