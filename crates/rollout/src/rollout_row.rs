//! The durable state of the versions of a back end.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::StoreTime;
use wagtailmoor_derive::value;

use crate::{RolloutOrder, RolloutPhase};

/// A rollout as stored.
#[value]
pub struct Rollout {
    /// Version to move to.
    pub to: Arc<str>,
    /// Time within which the order must be decided.
    pub duration: Duration,
    /// Phase.
    pub phase: RolloutPhase,
    /// When the rollout started, on the store's clock.
    pub started: StoreTime,
    /// When the phase started, on the store's clock.
    pub phase_started: StoreTime,
}

impl Rollout {
    /// Returns whether this rollout executes an order.
    pub fn executes(&self, order: &RolloutOrder) -> bool {
        self.to == order.to && self.duration == order.duration
    }
}

/// The durable state of the versions of a back end.
#[value]
#[derive(Default)]
pub struct RolloutRow {
    /// Versions that may get requests without an order.
    pub baseline: Vec<Arc<str>>,
    /// The newest rollout; `None` if its order was withdrawn after the decision.
    pub rollout: Option<Rollout>,
}

impl RolloutRow {
    /// Returns the rollout if it is undecided.
    pub fn active(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|rollout| rollout.phase.is_active())
    }
}
