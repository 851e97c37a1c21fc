//! State of a target according to the host list and the configuration.

use wagtailmoor_core::{TargetId, Weight, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// Whether a target may own keys.
#[scalar]
pub enum TargetState {
    /// In service and warmed up.
    Live,
    /// In service, but it receives few keys at a time.
    Cold,
    /// The target is leaving or was taken out of service; its keys move to other targets.
    Leaving,
    /// The target no longer exists.
    Gone,
}

/// A target of a keyed back end.
#[value]
pub struct Target {
    /// Id of the target.
    pub target: TargetId,
    /// Its zone.
    pub zone: ZoneId,
    /// Relative share of the load that the target should get.
    pub capacity: Weight,
    /// Whether it may own keys.
    pub state: TargetState,
}
