//! Which part of the requests of a back end a target is to get.

use wagtailmoor_core::TargetId;
use wagtailmoor_derive::value;

/// Which part of the requests of a back end a target is to get, as the leader sees its speed and its
/// queue. Only the ratios of weights matter.
#[value]
pub struct TargetWeight {
    /// The target.
    pub target: TargetId,
    /// Requests in a thousand seconds.
    pub requests_per_1000_s: u32,
}
