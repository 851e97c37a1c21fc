//! The order in which nodes are chosen.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::NodeId;

/// A seeded random order in which every node is chosen once before any is chosen again.
#[derive(Debug)]
pub(crate) struct Rotation {
    rng: ChaCha8Rng,
    queue: Vec<NodeId>,
}

impl Rotation {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), queue: Vec::new() }
    }

    /// Returns the next eligible node. Refills the queue from `all` when no eligible node is left
    /// in it.
    pub(crate) fn next<'a>(
        &mut self,
        all: impl Iterator<Item = &'a NodeId>,
        is_eligible: impl Fn(&NodeId) -> bool,
    ) -> Option<NodeId> {
        if let Some(node) = self.pop(&is_eligible) {
            return Some(node);
        }
        self.queue = all.cloned().collect();
        self.queue.shuffle(&mut self.rng);
        self.pop(&is_eligible)
    }

    fn pop(&mut self, is_eligible: impl Fn(&NodeId) -> bool) -> Option<NodeId> {
        std::iter::from_fn(|| self.queue.pop()).find(is_eligible)
    }
}
