//! Members of a back end, from the host list and the operators' changes.

use wagtailmoor_core::{Requests, TargetId, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// Whether a target may receive new requests.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Receives new requests.
    Live,
    /// Finishes its requests in flight and receives no new ones.
    Leaving,
    /// Taken out of service by operators.
    Out,
}

/// One target of a back end.
#[value]
pub struct Member {
    /// Id of the target, unique within the back end.
    pub target: TargetId,
    /// Availability zone that the target runs in.
    pub zone: ZoneId,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: Requests,
    /// Whether the target may receive new requests.
    pub state: MemberState,
}
