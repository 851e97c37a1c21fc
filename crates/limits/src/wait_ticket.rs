//! A request that waits for credit.

use std::cell::Cell;
use std::rc::Rc;

use wagtailmoor_core::{CustomerId, Instant};

/// A request that waits for credit.
///
/// Dropping it ends the wait, for example when the client disconnects.
#[derive(Debug)]
#[must_use = "dropping the ticket ends the wait"]
pub struct WaitTicket {
    customer: CustomerId,
    deadline: Instant,
    waiting: Rc<Cell<u32>>,
}

impl WaitTicket {
    pub(crate) fn new(customer: &CustomerId, deadline: Instant, waiting: &Rc<Cell<u32>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self { customer: customer.clone(), deadline, waiting: Rc::clone(waiting) }
    }

    /// Returns the customer of the request.
    pub fn customer(&self) -> &CustomerId {
        &self.customer
    }

    /// Returns the time at which the request is refused if it still has no credit.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        self.waiting.set(self.waiting.get() - 1);
    }
}
