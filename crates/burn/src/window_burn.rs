//! Burn rates in windows.

use serde::Serialize;

use crate::{Budget, BurnRate, Window};

/// Burn rate in a window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Burn rate over the window.
    pub burn: BurnRate,
    /// Requests that missed the objective.
    pub bad: u64,
    /// Requests that the objective covers.
    pub judged: u64,
}

impl WindowBurn {
    pub(crate) fn new(window: Window, budget: &Budget) -> Self {
        Self { window, burn: budget.burn(), bad: budget.bad, judged: budget.judged }
    }
}
