//! Load-balancing policies.

use rand::Rng;

/// The properties of a target that a policy may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Index of the target in the target table.
    pub index: usize,
    /// Requests that this node has in flight at the target.
    pub in_flight: u32,
    /// Peak-sensitive latency estimate in microseconds: rises at once and decays slowly.
    pub latency_us: u64,
    /// Load that the target itself reported, which may be outdated or wrong.
    pub reported_load: u32,
}

/// A load-balancing policy.
pub trait BalancingPolicy {
    /// Returns an index into `candidates`, which is never empty.
    fn choose<R: Rng>(&mut self, candidates: &[Candidate], random: &mut R) -> usize;
}
