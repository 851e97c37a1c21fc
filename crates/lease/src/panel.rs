//! The set of nodes that may become controller at one generation.

use wagtailmoor_core::{Generation, NodeId, ZoneId};
use wagtailmoor_derive::value;

/// The set of nodes that may become controller at one generation.
#[value]
pub struct Panel {
    /// Number of this panel; each new panel of the zone has the next one.
    pub generation: Generation,
    /// Members in the order in which they start a campaign after the controller is lost.
    pub members: Vec<NodeId>,
    /// How long the panel stays valid without a renewal of the row.
    pub tenure_ms: u64,
    /// Zones whose controllers can extend the tenure, all of them together. One of them has to
    /// consent before the panel is replaced without releases.
    pub witnesses: Vec<ZoneId>,
}

impl Panel {
    /// Maximum number of members.
    pub const MAX_MEMBERS: usize = 3;

    /// Returns the size of a majority.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the size of a blocking set: the smallest number of members without which the others
    /// are no quorum.
    pub fn blocking_size(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.quorum())
    }

    /// Returns whether a node is a member.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.members.contains(node)
    }

    /// Returns the position of a node among the members.
    pub fn index(&self, node: &NodeId) -> Option<usize> {
        self.members.iter().position(|member| member == node)
    }
}
