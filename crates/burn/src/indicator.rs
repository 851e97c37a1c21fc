//! Service-level indicators.

use std::fmt::{Display, Formatter, Result as FmtResult};

use serde::Serialize;
use wagtailmoor_configuration::Objective;
use wagtailmoor_core::PartsPerMillion;

use crate::{Budget, Counts};

/// Service-level indicator that an objective is set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Share of the covered requests that are answered.
    Availability,
    /// Share of the answered requests that are answered within the latency objective.
    Latency,
}

impl Indicator {
    /// All indicators.
    pub const ALL: [Self; 2] = [Self::Availability, Self::Latency];

    /// Returns the share of requests that must meet the objective.
    pub const fn target(self, objective: &Objective) -> PartsPerMillion {
        match self {
            Self::Availability => objective.availability_ppm,
            Self::Latency => objective.latency_share_ppm,
        }
    }

    /// Returns the error budget of the counted requests.
    pub fn budget(self, objective: &Objective, counts: &Counts) -> Budget {
        let (bad, judged) = match self {
            Self::Availability => (counts.errors, counts.judged()),
            Self::Latency => (counts.slow, counts.answered()),
        };
        Budget::new(self.target(objective), bad, judged)
    }
}

impl Display for Indicator {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Availability => "availability",
            Self::Latency => "latency",
        })
    }
}
