//! A node's report of its unanswered requests by target.

use wagtailmoor_core::{BackEndId, Requests, TargetId};
use wagtailmoor_derive::value;

/// A node's requests at one target.
#[value]
pub struct TargetOccupancy {
    /// The target.
    pub target: TargetId,
    /// Requests that the target has not answered and that do not count as silent.
    pub unanswered: Requests,
    /// Requests that arrived for the target since the last report, also those that were refused.
    pub arrived: u32,
    /// Answers since the last report.
    pub answered: u32,
    /// Requests that the target rejected as not run since the last report.
    pub rejected: u32,
    /// Requests that turned silent since the last report.
    pub silent: u32,
    /// Highest number of running and queued requests that the target stated in an answer since the
    /// last report; zero without such an answer.
    pub held_max: Requests,
}

/// Requests of a node to a back end since its last report.
#[value]
pub struct BackEndArrivals {
    /// The back end.
    pub back_end: BackEndId,
    /// Requests that arrived.
    pub arrived: u32,
}

/// A node's unanswered requests by target. It names only back ends that the leader asked for, and
/// targets that rejected a request or fell silent.
#[value]
#[derive(Default)]
pub struct RoomReport {
    /// Arrivals by back end.
    pub back_ends: Vec<BackEndArrivals>,
    /// Targets with unanswered requests or with changes since the last report.
    pub targets: Vec<TargetOccupancy>,
}
