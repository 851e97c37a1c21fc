//! The leader's reply to a report of unanswered requests.

use wagtailmoor_core::{BackEndId, PartsPerMillion, TargetId, number};
use wagtailmoor_derive::value;

number!(
    /// A number of requests in thousandths. A node among many is permitted less than one request in
    /// an interval.
    MilliRequests,
    u32,
    "request count",
    "m"
);

impl MilliRequests {
    /// Converts a number of requests; further digits are cut off.
    pub fn from_requests(requests: f64) -> Self {
        // The conversion from a float saturates at the limits of u32.
        Self::new((requests * 1_000.0) as u32)
    }

    /// Returns the number of requests.
    pub fn requests(self) -> f64 {
        f64::from(self.get()) / 1_000.0
    }
}

/// A full or nearly full target, and what one node may send to it until the next reply.
#[value]
pub struct TargetRoom {
    /// The target.
    pub target: TargetId,
    /// Requests that the node may send.
    pub permitted: MilliRequests,
    /// Share of the requests on the target's keys that all nodes together may send.
    pub admitted: PartsPerMillion,
}

/// Full targets, as the leader sees them.
#[value]
#[derive(Default)]
pub struct RoomReply {
    /// Back ends whose targets nodes report on; sorted.
    pub tracked: Vec<BackEndId>,
    /// Back ends whose targets together are short of room; sorted.
    pub short: Vec<BackEndId>,
    /// Back ends with a target that did not answer a request; sorted.
    pub silent: Vec<BackEndId>,
    /// Full and nearly full targets.
    pub targets: Vec<TargetRoom>,
}
