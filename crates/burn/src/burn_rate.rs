//! Burn rates.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseFloatError;
use std::str::FromStr;

use serde::Serialize;

/// Rate at which an error budget is used: 1 uses it up in exactly its period.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BurnRate(f64);

impl BurnRate {
    /// Creates a burn rate.
    pub const fn new(number: f64) -> Self {
        Self(number)
    }

    /// Returns the burn rate as a multiple of the rate that uses up the budget in its period.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for BurnRate {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{:.2}", self.0)
    }
}

impl FromStr for BurnRate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
