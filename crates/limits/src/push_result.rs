//! Result of adding a request to a fair queue.

use crate::Ticket;

/// Result of [`crate::FairQueue::push`].
#[derive(Debug)]
#[must_use]
pub enum PushResult<T> {
    /// The request is queued.
    Waiting {
        /// Handle to cancel the request.
        ticket: Ticket,
        /// Request of the customer with the longest queue that was evicted without being run.
        evicted: Option<T>,
    },
    /// The request was rejected: the customer is at its limit, or the queue is full and the
    /// customer's own queue is the longest relative to its weight.
    Full(T),
}
