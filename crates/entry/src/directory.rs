//! Addresses and reported states of targets.

use std::net::SocketAddr;

use wagtailmoor_core::{BackEndId, SortedVec, TargetId, ZoneId};
use wagtailmoor_store::{ListedState, ListedTarget};

/// A target of the host list, with the state of its last load report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DirectoryEntry {
    pub(crate) back_end: BackEndId,
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    /// As of the last load report.
    pub(crate) cold: bool,
    /// As of the last load report.
    pub(crate) draining: bool,
    /// Consecutive load polls without an answer.
    pub(crate) missed_polls: u32,
}

/// Missed polls after which a target counts as unresponsive. A target that is busy or frozen may
/// miss one or two.
const UNRESPONSIVE_POLLS: u32 = 5;

impl DirectoryEntry {
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.missed_polls >= UNRESPONSIVE_POLLS
    }
}

/// Addresses and reported states of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    entries: SortedVec<TargetId, DirectoryEntry>,
}

impl Directory {
    /// Replaces the entries by those of a newer host list, keeping their reported states.
    pub(crate) fn replace(&mut self, targets: &[ListedTarget]) {
        let previous_entries = std::mem::take(&mut self.entries);
        self.entries = targets
            .iter()
            .map(|listed| {
                let previous = previous_entries.get(&listed.target);
                let entry = DirectoryEntry {
                    back_end: listed.back_end.clone(),
                    zone: listed.zone.clone(),
                    address: listed.address,
                    leaving: listed.state == ListedState::Leaving,
                    cold: previous.is_some_and(|previous| previous.cold),
                    draining: previous.is_some_and(|previous| previous.draining),
                    missed_polls: previous.map_or(0, |previous| previous.missed_polls),
                };
                (listed.target.clone(), entry)
            })
            .collect();
    }

    pub(crate) fn get(&self, target: &TargetId) -> Option<&DirectoryEntry> {
        self.entries.get(target)
    }

    /// Applies the state of a load report and returns whether it changed.
    pub(crate) fn on_load_report(&mut self, target: &TargetId, cold: bool, draining: bool) -> bool {
        match self.entries.get_mut(target) {
            Some(entry) => {
                let changed = (entry.cold, entry.draining) != (cold, draining);
                (entry.cold, entry.draining) = (cold, draining);
                changed
            }
            None => false,
        }
    }

    /// Records the result of a load poll and returns whether the target became unresponsive or
    /// responsive again.
    pub(crate) fn on_poll(&mut self, target: &TargetId, answered: bool) -> bool {
        match self.entries.get_mut(target) {
            Some(entry) => {
                let before = entry.is_unresponsive();
                entry.missed_polls =
                    if answered { 0 } else { entry.missed_polls.saturating_add(1) };
                before != entry.is_unresponsive()
            }
            None => false,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TargetId, &DirectoryEntry)> {
        self.entries.iter()
    }
}
