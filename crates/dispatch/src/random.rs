//! Random load balancing.

use rand::{Rng, RngExt};

use crate::{BalancingPolicy, Candidate};

/// Baseline policy: chooses a target uniformly at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl BalancingPolicy for Random {
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], random: &mut R) -> usize {
        random.random_range(0..candidates.len())
    }
}
