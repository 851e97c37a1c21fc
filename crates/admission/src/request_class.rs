//! Requests that admission treats alike.

use wagtailmoor_core::{CustomerId, Priority};
use wagtailmoor_derive::value;

/// Requests of one customer with the same priority, which admission treats alike.
#[value]
#[derive(PartialOrd, Ord)]
pub struct RequestClass {
    /// Priority of the requests.
    pub priority: Priority,
    /// Customer that sent the requests; `None` for anonymous ones.
    pub customer: Option<CustomerId>,
}
