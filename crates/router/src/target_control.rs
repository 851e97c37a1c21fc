//! Grants and releases of ranges at targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::{Epoch, TargetId};
use wagtailmoor_ranges::{GrantOutcome, KeyRange, ReleaseOutcome};

/// A grant of a range, or its renewal.
#[derive(Clone, Debug)]
pub struct GrantCall {
    /// The target; another target at its address must reject the grant.
    pub target: TargetId,
    /// The granted range.
    pub range: KeyRange,
    /// Fencing token of the grant.
    pub epoch: Epoch,
    /// Validity of the grant, from its receipt by the target.
    pub validity: Duration,
    /// State of the keys that their previous owner returned at its release.
    pub handover: Option<Arc<str>>,
}

/// A request to a target to release a range.
#[derive(Clone, Debug)]
pub struct ReleaseCall {
    /// The target that owns the range.
    pub target: TargetId,
    /// The range to release.
    pub range: KeyRange,
    /// Fencing token of the release; later grants of these keys have higher ones.
    pub epoch: Epoch,
}

/// Sends grants and releases to targets.
pub trait TargetControl {
    /// Grants a range, or renews its grant.
    fn grant(&self, address: SocketAddr, call: &GrantCall) -> impl Future<Output = GrantOutcome>;

    /// Releases a range. The target responds once its requests on the keys have ended.
    fn release(
        &self,
        address: SocketAddr,
        call: &ReleaseCall,
    ) -> impl Future<Output = ReleaseOutcome>;
}
