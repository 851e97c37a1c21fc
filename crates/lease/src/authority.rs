//! Whether a node may act as controller.

use wagtailmoor_core::{Generation, Instant};
use wagtailmoor_derive::scalar;

/// Whether a node may act as controller.
#[scalar]
pub enum Authority {
    /// The node is the controller.
    Controller {
        /// Generation of the controller's panel.
        generation: Generation,
        /// When the authority ends unless it is renewed.
        until: Instant,
    },
    /// The node is a member of a valid panel and is not the controller.
    Standby,
    /// The node is not a member of a valid panel.
    NonMember,
}

impl Authority {
    /// Returns whether the node is the controller.
    pub fn is_controller(self) -> bool {
        matches!(self, Self::Controller { .. })
    }
}
