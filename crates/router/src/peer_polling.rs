//! Calls of this node to other nodes that have not been answered yet.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::Instant;

/// Pause before further calls after several consecutive failures of other nodes.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest time between two checks whether nodes must be called.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after an answer, so that the next answer contains a series of changes.
const ANSWER_PAUSE: Duration = Duration::from_millis(30);

/// A node without an answer counts as unresponsive after this time. A later answer is still used:
/// rows may be many and the link slow.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Consecutive failures of other nodes from which on the longer pause applies.
const FAILURES_BEFORE_PAUSE: u32 = 3;

/// A call to another node that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall {
    /// The called node.
    pub peer: SocketAddr,
    /// When the call was sent.
    pub sent_at: Instant,
    /// Whether the node counts as unresponsive.
    pub unresponsive: bool,
}

/// Calls of this node to other nodes, and when further ones may follow.
#[derive(Debug, Default)]
pub struct PeerPolling {
    pending: Vec<PendingCall>,
    next_call_at: Instant,
}

impl PeerPolling {
    /// Returns whether further nodes may be called.
    pub fn may_call(&self, now: Instant) -> bool {
        now >= self.next_call_at
    }

    /// Returns whether no call is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the nodes whose calls are pending.
    pub fn pending_peers(&self) -> Vec<SocketAddr> {
        self.pending.iter().map(|call| call.peer).collect()
    }

    /// Records a call that is sent now.
    pub fn start(&mut self, now: Instant, peer: SocketAddr) {
        self.pending.push(PendingCall { peer, sent_at: now, unresponsive: false });
    }

    /// Ends the call to a node; `None` if there is none.
    pub fn finish(&mut self, peer: SocketAddr) -> Option<PendingCall> {
        let call = self.pending.iter().position(|call| call.peer == peer)?;
        Some(self.pending.swap_remove(call))
    }

    /// Sets when further nodes may be called, after an answer or a failure. The pause is short after
    /// the first few failures, so that other nodes are called at once.
    pub fn pause(&mut self, now: Instant, peer_failures: u32) {
        let pause = match peer_failures {
            0..FAILURES_BEFORE_PAUSE => ANSWER_PAUSE,
            _ => FAILURE_PAUSE,
        };
        self.next_call_at = now + pause;
    }

    /// Marks calls without an answer as unresponsive; returns those that were not marked before.
    pub fn mark_unresponsive(&mut self, now: Instant) -> Vec<PendingCall> {
        let is_overdue = |call: &&mut PendingCall| {
            !call.unresponsive && call.sent_at + UNRESPONSIVE_AFTER <= now
        };
        let overdue = self.pending.iter_mut().filter(is_overdue);
        overdue
            .map(|call| {
                call.unresponsive = true;
                *call
            })
            .collect()
    }

    /// Returns the time until further nodes may be called, or a called node counts as unresponsive.
    pub fn until_next_check(&self, now: Instant) -> Duration {
        let unresponsive_at = self
            .pending
            .iter()
            .filter(|call| !call.unresponsive)
            .map(|call| call.sent_at + UNRESPONSIVE_AFTER)
            .min();
        let may_call = Some(self.next_call_at).filter(|at| now < *at);
        let latest = now + CHECK_INTERVAL;
        let next = unresponsive_at.into_iter().chain(may_call).min().unwrap_or(latest);
        next.min(latest).saturating_since(now)
    }
}
