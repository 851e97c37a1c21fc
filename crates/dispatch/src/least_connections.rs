//! Least-connections load balancing.

use rand::{Rng, RngExt};

use crate::{BalancingPolicy, Candidate};

/// Baseline policy: chooses the target with the fewest requests of this node in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastConnections;

impl BalancingPolicy for LeastConnections {
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], random: &mut R) -> usize {
        let start = random.random_range(0..candidates.len());
        let order = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
        order.min_by_key(|position| candidates[*position].in_flight).unwrap_or(start)
    }
}
