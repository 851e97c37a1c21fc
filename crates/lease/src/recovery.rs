//! How a restarted node learns the current row while the store is down.

use wagtailmoor_core::{Generation, Instant, NodeId, SortedVec};

use crate::{Panel, StoredRow};

// Finds a panel member among the live nodes of a zone in a few rounds.
const REQUESTS_PER_ROUND: usize = 4;

/// The rows that a restarted node has received from other nodes.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    hint: Option<StoredRow>,
    confirmations: SortedVec<NodeId, (StoredRow, Generation)>,
    next_index: usize,
    pub(crate) next_request_at: Instant,
}

impl Recovery {
    /// Keeps the newest row that another node has sent. Its panel is the one to query.
    pub(crate) fn record_hint(&mut self, stored: &StoredRow) {
        if self.hint.as_ref().is_none_or(|known| known.version < stored.version) {
            self.hint = Some(stored.clone());
        }
    }

    /// Records the state of another node. Returns the row and the active generation if both other
    /// members of a panel of three know the same newest generation and have not released it.
    ///
    /// This is safe although this node forgot its own releases at the restart: a newer generation
    /// becomes active only by the releases of two members, so if a previous incarnation of this
    /// node released the generation, one of the two other members did so too and reports it.
    pub(crate) fn confirm(
        &mut self,
        own: &NodeId,
        node: &NodeId,
        stored: StoredRow,
        active: Generation,
        released: Generation,
    ) -> Option<(StoredRow, Generation)> {
        self.record_hint(&stored);
        if released < stored.row.panel.generation {
            self.confirmations.insert(node.clone(), (stored, active));
        } else {
            self.confirmations.remove(node);
        }
        let panel = &self.hint.as_ref()?.row.panel;
        let others = || panel.members.iter().filter(|member| *member != own);
        let confirms = |member: &NodeId| {
            let confirmation = self.confirmations.get(member);
            confirmation.is_some_and(|(stored, _)| stored.row.panel.generation == panel.generation)
        };
        if panel.members.len() != Panel::MAX_MEMBERS
            || !panel.contains(own)
            || !others().all(confirms)
        {
            return None;
        }
        let known = others().filter_map(|member| self.confirmations.get(member));
        let active = known.clone().map(|(_, active)| *active).max()?;
        let stored = known.map(|(stored, _)| stored).max_by_key(|stored| stored.version)?.clone();
        Some((stored, active))
    }

    /// Returns the nodes to query next: the panel if it is known, otherwise the next few live nodes
    /// in round-robin order.
    pub(crate) fn receivers(&mut self, own: &NodeId, live: &[NodeId]) -> Vec<NodeId> {
        let panel = self.hint.as_ref().map(|stored| &stored.row.panel);
        match panel.filter(|panel| panel.contains(own)) {
            Some(panel) => panel.members.iter().filter(|member| *member != own).cloned().collect(),
            None if live.is_empty() => Vec::new(),
            None => {
                let first = self.next_index % live.len();
                self.next_index += REQUESTS_PER_ROUND;
                let in_order = live[first..].iter().chain(&live[..first]);
                in_order.filter(|node| *node != own).take(REQUESTS_PER_ROUND).cloned().collect()
            }
        }
    }
}
