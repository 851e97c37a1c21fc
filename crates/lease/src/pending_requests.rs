//! Requests that wait for a reply.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, SortedVec};

use crate::RequestId;

// The caller cancels a call after 200 ms; the rest is allowance for a paused event loop.
const RETENTION: Duration = Duration::from_secs(2);

/// Requests that wait for a reply, with their receiver and the time of sending.
#[derive(Debug)]
pub(crate) struct PendingRequests<R> {
    incarnation: Incarnation,
    last_number: u64,
    sent: SortedVec<u64, (R, Instant)>,
}

impl<R: PartialEq> PendingRequests<R> {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, last_number: 0, sent: SortedVec::new() }
    }

    /// Returns a new id without registering a request, for requests whose reply is ignored.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_number += 1;
        RequestId { incarnation: self.incarnation, number: self.last_number }
    }

    pub(crate) fn register(&mut self, now: Instant, receiver: R) -> RequestId {
        let id = self.next_id();
        self.sent.retain(|_, (_, sent)| now.saturating_since(*sent) < RETENTION);
        self.sent.insert(id.number, (receiver, now));
        id
    }

    /// Removes a request and returns when it was sent, or `None` if no request with this id and
    /// receiver waits for a reply.
    pub(crate) fn take(&mut self, id: RequestId, receiver: &R) -> Option<Instant> {
        match self.sent.get(&id.number) {
            Some((expected, sent))
                if id.incarnation == self.incarnation && expected == receiver =>
            {
                let sent = *sent;
                self.sent.remove(&id.number);
                Some(sent)
            }
            _ => None,
        }
    }

    /// Drops all requests, so that their replies are ignored.
    pub(crate) fn clear(&mut self) {
        self.sent.clear();
    }
}
