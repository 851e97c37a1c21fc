//! A node's share of the request rate of cold targets.

use wagtailmoor_core::{Instant, KeyHash, NodeId, SortedVec, TargetId, rendezvous_score};
use wagtailmoor_limits::TokenBucket;

/// Number of nodes that send a cold target requests that other targets could run too. Each of them
/// may send a burst of one request, so the number must be small to limit the sum over a second,
/// also while nodes have different lists of nodes.
const SENDER_COUNT: usize = 2;

/// A node's share of the request rate of cold targets.
#[derive(Debug, Default)]
pub struct ColdGate {
    nodes: Vec<NodeId>,
    buckets: SortedVec<TargetId, TokenBucket>,
}

impl ColdGate {
    /// Sets the nodes among which the rates are divided.
    pub fn set_nodes(&mut self, nodes: Vec<NodeId>) {
        self.nodes = nodes;
    }

    /// Returns whether `own` is one of the `SENDER_COUNT` nodes that send to a cold target. They
    /// are chosen by rendezvous hashing. Without a list of nodes the answer is `false`.
    pub fn is_sender(&self, own: &NodeId, target: &TargetId) -> bool {
        if self.nodes.is_empty() {
            return false;
        }
        let item = KeyHash::of(target.as_str().as_bytes()).get();
        let score = |node: &NodeId| rendezvous_score(item, node.as_str());
        let own_score = score(own);
        let higher = self.nodes.iter().filter(|node| *node != own && score(node) > own_score);
        higher.count() < SENDER_COUNT
    }

    /// Tries to admit a request that only this cold target can run. Every node may send such
    /// requests.
    pub fn admit_exclusive(&mut self, now: Instant, target: &TargetId, per_s: f64) -> bool {
        self.try_take(now, target, per_s / self.nodes.len().max(1) as f64)
    }

    /// Tries to admit a request that other targets could run too. Only the nodes for which
    /// `is_sender` holds may send such requests.
    pub fn admit_shared(&mut self, now: Instant, target: &TargetId, per_s: f64) -> bool {
        self.try_take(now, target, per_s / SENDER_COUNT as f64)
    }

    /// Drops the state of a target that no longer exists.
    pub fn remove(&mut self, target: &TargetId) {
        self.buckets.remove(target);
    }

    fn try_take(&mut self, now: Instant, target: &TargetId, per_s: f64) -> bool {
        let bucket =
            self.buckets.get_or_insert_with(target.clone(), || TokenBucket::full(now, per_s, 1.0));
        bucket.set(now, per_s, 1.0);
        bucket.take(now, 1.0)
    }
}
