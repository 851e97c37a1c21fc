//! The result of an order, as operators read it.

use std::sync::Arc;

use wagtailmoor_core::BackEndId;

use crate::{Rollout, RolloutPhase};

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Undecided.
    Active,
    /// The new version has replaced the old one.
    Succeeded,
    /// The new version gets no requests.
    RolledBack,
}

/// The result of an order, as operators read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The back end.
    pub back_end: BackEndId,
    /// Version of the order.
    pub to: Arc<str>,
    /// State of the order.
    pub state: RolloutState,
}

impl RolloutStatus {
    /// Returns the status of a stored rollout.
    pub fn of(back_end: &BackEndId, rollout: &Rollout) -> Self {
        let state = match rollout.phase {
            RolloutPhase::Succeeded => RolloutState::Succeeded,
            RolloutPhase::RolledBack => RolloutState::RolledBack,
            _ => RolloutState::Active,
        };
        Self { back_end: back_end.clone(), to: Arc::clone(&rollout.to), state }
    }
}
