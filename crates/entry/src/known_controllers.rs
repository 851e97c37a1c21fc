//! The last known controller of each zone.

use wagtailmoor_core::{NodeId, SortedVec, ZoneId};

/// The last known controller of each zone.
///
/// An outdated entry costs one failed call, because a node that is not the controller says so.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownControllers {
    by_zone: SortedVec<ZoneId, NodeId>,
    /// Searches so far, which select the next node of a zone whose controller is unknown.
    search_count: usize,
}

impl KnownControllers {
    pub(crate) fn get(&self, zone: &ZoneId) -> Option<&NodeId> {
        self.by_zone.get(zone)
    }

    pub(crate) fn insert(&mut self, zone: &ZoneId, node: NodeId) {
        self.by_zone.insert(zone.clone(), node);
    }

    /// Removes the controller of a zone if it is still `node`.
    pub(crate) fn invalidate(&mut self, zone: &ZoneId, node: &NodeId) {
        match self.by_zone.get(zone) {
            Some(known) if known == node => drop(self.by_zone.remove(zone)),
            _ => {}
        }
    }

    /// Returns the known controller if it is among `nodes`, otherwise the next node in round-robin
    /// order.
    pub(crate) fn choose(&mut self, zone: &ZoneId, nodes: &[NodeId]) -> Option<NodeId> {
        match self.by_zone.get(zone) {
            Some(node) if nodes.contains(node) => Some(node.clone()),
            _ if nodes.is_empty() => None,
            _ => {
                self.search_count = self.search_count.wrapping_add(1);
                Some(nodes[self.search_count % nodes.len()].clone())
            }
        }
    }
}
