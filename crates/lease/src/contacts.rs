//! Requests to other nodes, and what their replies tell about them.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, SortedVec};

use crate::pending_requests::PendingRequests;
use crate::{PromiseReply, RequestId, Stamp};

/// Requests to other nodes that wait for a reply, and the last reply of each node.
#[derive(Debug)]
pub(crate) struct Contacts {
    requests: PendingRequests<NodeId>,
    stamps: SortedVec<NodeId, (Stamp, Instant)>,
    last_contact: SortedVec<NodeId, Instant>,
}

impl Contacts {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            requests: PendingRequests::new(incarnation),
            stamps: SortedVec::new(),
            last_contact: SortedVec::new(),
        }
    }

    /// Returns a new id without registering a request, for requests whose reply is ignored.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.requests.next_id()
    }

    /// Registers a request to a node.
    pub(crate) fn register(&mut self, now: Instant, node: NodeId) -> RequestId {
        self.requests.register(now, node)
    }

    /// Records a reply and returns when the request was sent, or `None` if no such request waits
    /// for a reply.
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        node: &NodeId,
        reply: &PromiseReply,
    ) -> Option<Instant> {
        let sent = self.requests.take(reply.id, node)?;
        self.last_contact.insert(node.clone(), now);
        self.stamps.insert(node.clone(), (reply.stamp, now));
        Some(sent)
    }

    /// Ignores the replies that are still to come.
    pub(crate) fn ignore_pending(&mut self) {
        self.requests.clear();
    }

    /// Returns the last stamp of a node, and when it was received.
    pub(crate) fn stamp(&self, node: &NodeId) -> Option<(Stamp, Instant)> {
        self.stamps.get(node).copied()
    }

    /// Returns whether a node has responded less than `span` ago.
    pub(crate) fn has_responded_within(&self, now: Instant, node: &NodeId, span: Duration) -> bool {
        let is_recent = |last_contact: &Instant| now.saturating_since(*last_contact) < span;
        self.last_contact.get(node).is_some_and(is_recent)
    }
}
