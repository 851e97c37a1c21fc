//! Lines of a history file.

use wagtailmoor_derive::value;

use crate::{ClientRequest, CustomerLimit, Execution, Violation, Withdrawal};

/// One line of a history file; the field `record` names the type.
#[value]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// Rate limit of a customer.
    Customer(CustomerLimit),
    /// A request recorded by a client.
    Request(ClientRequest),
    /// An execution recorded by a target.
    Execution(Execution),
    /// A protocol violation recorded by a target.
    Violation(Violation),
    /// A withdrawal of a zone or target from service.
    Withdrawal(Withdrawal),
}
