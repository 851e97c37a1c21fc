//! Power-of-two-choices load balancing.

use rand::{Rng, RngExt};

use crate::{BalancingPolicy, Candidate};

/// Default policy: of two random targets, chooses the one with the lower product of requests in
/// flight and latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

impl PowerOfTwo {
    fn cost(candidate: &Candidate) -> (u64, u32) {
        let in_flight = u64::from(candidate.in_flight) + 1;
        (in_flight.saturating_mul(candidate.latency_us), candidate.reported_load)
    }
}

impl BalancingPolicy for PowerOfTwo {
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], random: &mut R) -> usize {
        let first = random.random_range(0..candidates.len());
        let others = candidates.len() - 1;
        let second = match others {
            0 => return first,
            _ => (first + 1 + random.random_range(0..others)) % candidates.len(),
        };
        match Self::cost(&candidates[second]) < Self::cost(&candidates[first]) {
            true => second,
            false => first,
        }
    }
}
