//! Round-robin load balancing.

use rand::Rng;

use crate::{BalancingPolicy, Candidate};

/// Baseline policy: chooses the targets in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    last: usize,
}

impl BalancingPolicy for RoundRobin {
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], _random: &mut R) -> usize {
        let position =
            candidates.iter().position(|candidate| candidate.index > self.last).unwrap_or(0);
        self.last = candidates[position].index;
        position
    }
}
