//! Where targets are.

use std::net::SocketAddr;

use wagtailmoor_core::{BackEndId, SortedVec, TargetId, ZoneId};
use wagtailmoor_store::{ListedState, ListedTarget};

/// A target as the host list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DirectoryEntry {
    pub(crate) back_end: BackEndId,
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    /// Whether its last load report said that it is cold.
    pub(crate) cold: bool,
    /// Whether its last load report said that it drains.
    pub(crate) draining: bool,
    /// Load polls without an answer since the last one.
    pub(crate) unanswered: u32,
}

/// A target that is busy or frozen may miss a poll or two.
const SILENT_POLLS: u32 = 5;

impl DirectoryEntry {
    /// Returns whether the target has not answered for some time.
    pub(crate) fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_POLLS
    }
}

/// Where targets are.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    entries: SortedVec<TargetId, DirectoryEntry>,
}

impl Directory {
    /// Replaces the entries by a newer list and keeps what reports said.
    pub(crate) fn replace(&mut self, targets: &[ListedTarget]) {
        let known = std::mem::take(&mut self.entries);
        self.entries = targets
            .iter()
            .map(|listed| {
                let old = known.get(&listed.target);
                let entry = DirectoryEntry {
                    back_end: listed.back_end.clone(),
                    zone: listed.zone.clone(),
                    address: listed.address,
                    leaving: listed.state == ListedState::Leaving,
                    cold: old.is_some_and(|old| old.cold),
                    draining: old.is_some_and(|old| old.draining),
                    unanswered: old.map_or(0, |old| old.unanswered),
                };
                (listed.target.clone(), entry)
            })
            .collect();
    }

    pub(crate) fn get(&self, target: &TargetId) -> Option<&DirectoryEntry> {
        self.entries.get(target)
    }

    /// Takes the state of a load report and returns whether it changed.
    pub(crate) fn report(&mut self, target: &TargetId, cold: bool, draining: bool) -> bool {
        match self.entries.get_mut(target) {
            Some(entry) => {
                let changed = (entry.cold, entry.draining) != (cold, draining);
                (entry.cold, entry.draining) = (cold, draining);
                changed
            }
            None => false,
        }
    }

    /// Notes whether a load poll was answered and returns whether the target fell or ended silent.
    pub(crate) fn polled(&mut self, target: &TargetId, answered: bool) -> bool {
        match self.entries.get_mut(target) {
            Some(entry) => {
                let before = entry.is_silent();
                entry.unanswered = if answered { 0 } else { entry.unanswered.saturating_add(1) };
                before != entry.is_silent()
            }
            None => false,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TargetId, &DirectoryEntry)> {
        self.entries.iter()
    }
}
