//! Executions as recorded by targets.

use wagtailmoor_core::{Epoch, SlotId};
use wagtailmoor_derive::value;

use crate::Ending;

/// One execution of a request as recorded by its target.
#[value]
pub struct Execution {
    /// Position in the execution log of the process that runs the targets.
    pub index: u64,
    /// Value of the `wagtailmoor-request-id` header.
    pub request_id: Option<String>,
    /// Value of the `load-id` header, by which the load generator finds its requests.
    pub load_id: Option<String>,
    /// Value of the `wagtailmoor-customer` header.
    pub customer: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Back end that the target belongs to.
    pub back_end: String,
    /// Target that executed the request.
    pub target: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Application key, on keyed back ends.
    pub key: Option<String>,
    /// Slot that the sender named in the request.
    pub slot: Option<SlotId>,
    /// Epoch that the sender named in the request.
    pub epoch: Option<Epoch>,
    /// Start of the work in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the work; `None` while it runs. Work that its deadline ended has the deadline as its
    /// end, even if the target was frozen at that time.
    pub end_us: Option<u64>,
    /// Whether the work is running, and how it ended otherwise.
    pub ending: Ending,
}
