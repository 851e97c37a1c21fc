//! Requests that arrived at a node for a back end.

use wagtailmoor_core::BackEndId;
use wagtailmoor_derive::value;

use crate::RequestClass;

/// Requests that arrived at a node for a back end since its last report.
#[value]
pub struct BackEndDemand {
    /// The back end.
    pub back_end: BackEndId,
    /// Number of requests by class.
    pub requests: Vec<(RequestClass, u32)>,
}
