//! Error budgets.

use std::ops::AddAssign;

use serde::Serialize;
use wagtailmoor_core::PartsPerMillion;

use crate::{BudgetShare, BurnRate};

/// The error budget of a set of requests and its use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Budget {
    /// Requests that missed the objective.
    pub bad: u64,
    /// Requests that the objective covers.
    pub judged: u64,
    /// Number of requests that may miss the objective; a fraction of a request is possible.
    pub allowed: f64,
}

impl Budget {
    /// Creates the budget of `judged` requests, of which a share `target` must meet the objective.
    pub fn new(target: PartsPerMillion, bad: u64, judged: u64) -> Self {
        let allowed_ppm = PartsPerMillion::ONE.get().saturating_sub(target.get());
        Self { bad, judged, allowed: PartsPerMillion::new(allowed_ppm).of(judged as f64) }
    }

    /// Returns the burn rate; 0 if no request missed the objective.
    pub fn burn(&self) -> BurnRate {
        BurnRate::new(self.used().get())
    }

    /// Returns the used share of the budget; 0 if no request missed the objective.
    pub fn used(&self) -> BudgetShare {
        match self.bad {
            0 => BudgetShare::default(),
            bad => BudgetShare::new(bad as f64 / self.allowed),
        }
    }

    /// Returns the share of requests that must meet the objective, weighted by requests; `None` if
    /// no request is covered.
    pub fn target(&self) -> Option<f64> {
        (self.judged > 0).then(|| 1.0 - self.allowed / self.judged as f64)
    }
}

impl AddAssign for Budget {
    fn add_assign(&mut self, other: Self) {
        self.bad += other.bad;
        self.judged += other.judged;
        self.allowed += other.allowed;
    }
}
