//! What the host list and the configuration say about a target.

use wagtailmoor_core::{TargetId, Weight, ZoneId};
use wagtailmoor_derive::{scalar, value};

/// Whether a target may own keys.
#[scalar]
pub enum TargetState {
    /// In service and warm.
    Live,
    /// In service, but it receives few keys at a time.
    Cold,
    /// It leaves or was taken out: its keys move away.
    Leaving,
    /// It no longer exists.
    Gone,
}

/// A target of a keyed back end.
#[value]
pub struct Target {
    /// Its id.
    pub target: TargetId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its share of the load.
    pub capacity: Weight,
    /// Whether it may own keys.
    pub state: TargetState,
}
