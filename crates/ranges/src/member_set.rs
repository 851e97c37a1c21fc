//! What the leader knows of the targets that may own keys.

use std::time::Duration;

use wagtailmoor_core::{Instant, TargetId};

use crate::range_entry::RangeState;
use crate::range_list::RangeList;
use crate::{KeyRange, Member, TargetProcess};

/// A target process that was found to have exited receives no keys for this long.
const EXITED_EXCLUSION: Duration = Duration::from_secs(4);

/// A target process that could not be reached until its grants expired receives no keys for this
/// long.
const UNREACHABLE_EXCLUSION: Duration = Duration::from_secs(4);

/// The targets that may own keys, and the processes that are excluded for a while.
#[derive(Debug)]
pub(crate) struct MemberSet {
    /// Sorted by process.
    members: Vec<Member>,
    /// Leaving members, each with the end of its notice.
    leaving: Vec<(TargetProcess, Instant)>,
    /// Processes that exited, each with the end of its exclusion.
    recently_exited: Vec<(TargetProcess, Instant)>,
    /// Processes that could not be reached, each with the end of its exclusion.
    unreachable: Vec<(TargetProcess, Instant)>,
    changed_at: Instant,
}

impl MemberSet {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            members: Vec::new(),
            leaving: Vec::new(),
            recently_exited: Vec::new(),
            unreachable: Vec::new(),
            changed_at: now,
        }
    }

    /// Replaces the members. `notice` is the time for which a leaving member keeps its ranges.
    pub(crate) fn replace(&mut self, now: Instant, mut members: Vec<Member>, notice: Duration) {
        members.sort_by(|left, right| left.process.cmp(&right.process));
        if members.len() != self.members.len() {
            self.changed_at = now;
        }
        self.members = members;
        self.update_leaving(now + notice);
    }

    /// Updates the leaving members. The notice of a member starts when it is first seen leaving.
    fn update_leaving(&mut self, notice_ends: Instant) {
        let leaving = self.members.iter().filter(|member| member.leaving);
        self.leaving = leaving
            .map(|member| {
                let known = self.leaving.iter().find(|(process, _)| *process == member.process);
                (member.process.clone(), known.map_or(notice_ends, |(_, ends)| *ends))
            })
            .collect();
    }

    /// Excludes a process that is known to have exited.
    pub(crate) fn exclude_exited(&mut self, now: Instant, process: &TargetProcess) {
        self.recently_exited.push((process.clone(), now + EXITED_EXCLUSION));
    }

    /// Excludes a process that could not be reached until its grants expired.
    pub(crate) fn exclude_unreachable(&mut self, now: Instant, process: &TargetProcess) {
        self.unreachable.push((process.clone(), now + UNREACHABLE_EXCLUSION));
    }

    /// Ends the exclusions that are over.
    pub(crate) fn end_exclusions(&mut self, now: Instant) {
        self.recently_exited.retain(|(_, until)| *until > now);
        self.unreachable.retain(|(_, until)| *until > now);
    }

    pub(crate) fn has_recently_exited(&self, process: &TargetProcess) -> bool {
        self.recently_exited.iter().any(|(known, _)| known == process)
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns when the number of members last changed.
    pub(crate) fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Returns the current registration of a target.
    pub(crate) fn registration(&self, target: &TargetId) -> Option<&Member> {
        let found = self.members.binary_search_by(|member| member.process.target.cmp(target));
        found.ok().map(|index| &self.members[index])
    }

    /// Returns the member with a process.
    pub(crate) fn find(&self, process: &TargetProcess) -> Option<&Member> {
        self.members.iter().find(|member| member.process == *process)
    }

    /// Returns whether a process is registered and reported as eligible. It may be excluded.
    pub(crate) fn has_ready(&self, process: &TargetProcess) -> bool {
        self.members.iter().any(|member| member.process == *process && member.eligible)
    }

    /// Returns whether a member may receive keys.
    pub(crate) fn is_eligible(&self, member: &Member) -> bool {
        let mut excluded = self.recently_exited.iter().chain(&self.unreachable);
        member.eligible && !excluded.any(|(process, _)| *process == member.process)
    }

    /// Iterates over the members that may receive keys.
    pub(crate) fn eligible(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| self.is_eligible(member))
    }

    /// Returns the leaving members whose notice has ended.
    pub(crate) fn due_to_leave(&self, now: Instant) -> Vec<TargetProcess> {
        let due = self.leaving.iter().filter(|(_, notice_ends)| now >= *notice_ends);
        due.map(|(process, _)| process.clone()).collect()
    }

    /// Returns the eligible members with the ranges that are assigned to them.
    pub(crate) fn eligible_with_ranges(&self, ranges: &RangeList) -> Vec<(Member, Vec<KeyRange>)> {
        let mut member_ranges: Vec<_> =
            self.eligible().map(|member| (member.clone(), Vec::new())).collect();
        for entry in ranges.iter() {
            let owner = match entry.state {
                RangeState::Granted { .. } | RangeState::Storing => entry.owner.as_ref(),
                _ => None,
            };
            let found = owner.map(|owner| {
                member_ranges.binary_search_by(|(member, _)| member.process.cmp(owner))
            });
            if let Some(Ok(index)) = found {
                member_ranges[index].1.push(entry.range);
            }
        }
        member_ranges
    }
}
