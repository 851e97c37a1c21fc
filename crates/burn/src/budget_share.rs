//! Shares of an error budget.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseFloatError;
use std::str::FromStr;

use serde::Serialize;

/// Used share of an error budget; above 1 the budget is exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BudgetShare(f64);

impl BudgetShare {
    /// Creates a share; 1 is the whole budget.
    pub const fn new(number: f64) -> Self {
        Self(number)
    }

    /// Returns the share; 1 is the whole budget.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for BudgetShare {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{:.1}%", self.0 * 100.0)
    }
}

impl FromStr for BudgetShare {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent: f64 = text.strip_suffix('%').unwrap_or(text).parse()?;
        Ok(Self(percent / 100.0))
    }
}
