//! What a target did with one request.

use wagtailmoor_core::{Epoch, SlotId};
use wagtailmoor_derive::value;

use crate::Ending;

/// One execution of a request at a target.
#[value]
pub struct Execution {
    /// Position in the log of the process that ran it.
    pub index: u64,
    /// Value of `wagtailmoor-request-id`.
    pub request_id: Option<String>,
    /// Value of `load-id`, which the load tool sets to find its requests again.
    pub load_id: Option<String>,
    /// Value of `wagtailmoor-customer`.
    pub customer: Option<String>,
    /// Request method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Value of `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Back end of the target.
    pub back_end: String,
    /// Target that ran the request.
    pub target: String,
    /// Zone of the target.
    pub zone: String,
    /// Application key, on keyed back ends.
    pub key: Option<String>,
    /// Slot named by the sender.
    pub slot: Option<SlotId>,
    /// Epoch named by the sender.
    pub epoch: Option<Epoch>,
    /// Start of the work, microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the work; absent while it runs. Work that its deadline ended counts up to the
    /// deadline, also when the target was frozen at that time.
    pub end_us: Option<u64>,
    /// How the work ended.
    pub ending: Ending,
}
