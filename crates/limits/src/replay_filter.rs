//! Filter for duplicate and reordered requests.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, SortedVec};

/// Time after a node's last request at which its entry may be dropped. The report of a request that
/// is delayed for longer no longer has an effect.
const RETENTION: Duration = Duration::from_secs(60);

/// Latest incarnation and sequence number of each node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayFilter {
    latest: SortedVec<NodeId, (Incarnation, u32, Instant)>,
}

impl ReplayFilter {
    /// Returns whether a request is newer than all previous ones of its node, and records it.
    pub(crate) fn accept(
        &mut self,
        now: Instant,
        node: &NodeId,
        incarnation: Incarnation,
        sequence: u32,
    ) -> bool {
        match self.latest.get_mut(node) {
            Some(latest) if (incarnation, sequence) <= (latest.0, latest.1) => false,
            Some(latest) => {
                *latest = (incarnation, sequence, now);
                true
            }
            None => {
                self.latest.retain(|_, (_, _, last_contact)| now < *last_contact + RETENTION);
                self.latest.insert(node.clone(), (incarnation, sequence, now));
                true
            }
        }
    }
}
