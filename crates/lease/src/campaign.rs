//! Promises and releases that a node collects for one generation.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, SortedVec};

use crate::Panel;

/// Releases received from one node in one incarnation.
#[derive(Debug)]
struct Release {
    incarnation: Incarnation,
    first_received: Instant,
    last_sent: Instant,
}

/// An attempt of this node to become or stay controller at one generation, with the promises and
/// releases collected for it.
#[derive(Debug)]
pub(crate) struct Campaign {
    panel: Panel,
    granted: SortedVec<NodeId, Instant>,
    releases: SortedVec<NodeId, Release>,
}

impl Campaign {
    pub(crate) fn new(panel: Panel) -> Self {
        Self { panel, granted: SortedVec::new(), releases: SortedVec::new() }
    }

    pub(crate) fn panel(&self) -> &Panel {
        &self.panel
    }

    /// Records a promise whose request was sent at `sent`.
    pub(crate) fn record_grant(&mut self, node: NodeId, sent: Instant) {
        if self.panel.contains(&node) {
            let latest = self.granted.get_or_insert_with(node, || sent);
            *latest = sent.max(*latest);
        }
    }

    /// Returns when the promises of a quorum of the panel end, or `None` if no quorum has promised.
    pub(crate) fn quorum_until(&self, promise: Duration) -> Option<Instant> {
        let mut sent: Vec<Instant> = self.granted.values().copied().collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        sent.get(self.panel.quorum() - 1).map(|&oldest| oldest + promise)
    }

    /// Records a release whose request was sent at `sent` and whose reply arrived at `now`.
    pub(crate) fn record_release(
        &mut self,
        now: Instant,
        node: NodeId,
        incarnation: Incarnation,
        sent: Instant,
    ) {
        match self.releases.get_mut(&node) {
            Some(release) if release.incarnation == incarnation => {
                release.last_sent = sent.max(release.last_sent);
            }
            _ => {
                let release = Release { incarnation, first_received: now, last_sent: sent };
                self.releases.insert(node, release);
            }
        }
    }

    /// Drops the release of a node that has restarted since.
    pub(crate) fn discard_stale_release(&mut self, node: &NodeId, incarnation: Incarnation) {
        if self.releases.get(node).is_some_and(|release| release.incarnation != incarnation) {
            self.releases.remove(node);
        }
    }

    /// Returns whether there was an instant at which a blocking set of a superseded panel had
    /// released it.
    ///
    /// Releases are kept in memory only. A member that restarts loses its release and may then
    /// learn from the two other members that the generation is still valid. This is impossible once
    /// all members of a blocking set have released at the same time, so a release counts only if
    /// its node repeated it after the last release of the set had arrived. This node counts as
    /// released, since it releases the panel on activation.
    pub(crate) fn has_released(&self, superseded: &Panel, own: &NodeId) -> bool {
        let needed = superseded.blocking_size() - usize::from(superseded.contains(own));
        let releases = || {
            let entries = self.releases.iter();
            entries
                .filter(|(node, _)| *node != own && superseded.contains(node))
                .map(|(_, release)| release)
        };
        let held_at = |instant: Instant| {
            releases()
                .filter(|release| release.first_received <= instant && instant <= release.last_sent)
                .count()
        };
        needed == 0 || releases().any(|release| held_at(release.first_received) >= needed)
    }
}
