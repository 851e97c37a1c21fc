//! Takes ranges from owners that were lost or are leaving.

use wagtailmoor_core::Instant;

use crate::TargetProcess;
use crate::member_set::MemberSet;
use crate::range_entry::RangeState;
use crate::range_list::RangeList;
use crate::release::Release;

/// Decides which ranges must be taken from their owners by what is known of the members.
#[derive(Debug)]
pub(crate) struct OwnerRemoval<'a> {
    pub(crate) members: &'a MemberSet,
    pub(crate) ranges: &'a mut RangeList,
}

impl OwnerRemoval<'_> {
    /// Updates the ranges whose owner has restarted, was removed from the registry or came back to
    /// it, and those whose grant expired during a release.
    pub(crate) fn update_lost_owners(&mut self, now: Instant) {
        for index in 0..self.ranges.len() {
            let entry = self.ranges.get(index);
            let Some(owner) = &entry.owner else { continue };
            let registered = self.members.registration(&owner.target);
            let restarted = registered
                .map(|member| &member.process)
                .filter(|current| current.incarnation > owner.incarnation)
                .cloned();
            let (is_registered, expires) = (registered.is_some(), entry.expires);
            let state = match (&entry.state, restarted) {
                (RangeState::Granted { .. }, Some(successor)) => {
                    Some(RangeState::Releasing(self.release_by_successor(now, successor, None)))
                }
                (RangeState::Releasing(release), Some(successor)) if release.from != successor => {
                    let to = release.to.clone();
                    Some(RangeState::Releasing(self.release_by_successor(now, successor, to)))
                }
                (RangeState::Granted { .. }, None) if !is_registered => {
                    Some(RangeState::Vacant { free_from: expires, to: None })
                }
                (RangeState::Releasing(release), _) if now >= expires => {
                    Some(RangeState::Vacant { free_from: now, to: release.to.clone() })
                }
                // A running target was listed again before its grant expired.
                (RangeState::Vacant { free_from, to: None }, None)
                    if is_registered && now < *free_from =>
                {
                    Some(RangeState::Granted { renew_at: now })
                }
                _ => None,
            };
            if let Some(state) = state {
                self.ranges.set_state(index, state);
            }
        }
    }

    /// Returns a release to be sent to the process that succeeded an owner after a restart. A new
    /// process starts without grants, but grants name the target and not its process. The new
    /// process may therefore have accepted a grant that was sent before its registration arrived
    /// here.
    fn release_by_successor(
        &mut self,
        now: Instant,
        successor: TargetProcess,
        to: Option<TargetProcess>,
    ) -> Release {
        Release::new(now, successor, self.ranges.allocate_epoch(), to)
    }

    /// Starts the release of the ranges of leaving members, unless no other target could own them.
    pub(crate) fn start_releases_of_leaving(&mut self, now: Instant) {
        if self.members.eligible().next().is_none() {
            return;
        }
        let due = self.members.due_to_leave(now);
        for index in 0..self.ranges.len() {
            let from =
                due.iter().find(|process| self.ranges.get(index).is_granted_to(process)).cloned();
            if let Some(from) = from {
                let release = Release::new(now, from, self.ranges.allocate_epoch(), None);
                self.ranges.set_state(index, RangeState::Releasing(release));
            }
        }
    }
}
