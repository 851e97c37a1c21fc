//! A live node that may become a member of a panel.

use wagtailmoor_core::{NodeId, RackId};
use wagtailmoor_derive::value;

/// A live node that may become a member of a panel.
#[value]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Rack of the node; the members of a panel are on distinct racks where possible.
    pub rack: RackId,
}
