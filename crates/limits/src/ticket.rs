//! Handle of a queued request.

use wagtailmoor_core::CustomerId;

/// Handle of a request in a [`crate::FairQueue`], used to cancel it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    customer: CustomerId,
    number: u64,
}

impl Ticket {
    pub(crate) fn new(customer: &CustomerId, number: u64) -> Self {
        Self { customer: customer.clone(), number }
    }

    pub(crate) fn customer(&self) -> &CustomerId {
        &self.customer
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}
