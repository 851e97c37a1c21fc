//! Classes of requests for the objectives.

use serde::Serialize;
use wagtailmoor_core::{Outcome, Reason};

use crate::ReasonClass;

/// Class of a request for the objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Answered; the latency objective compares its latency.
    Answered,
    /// Refused because of the system, or of unknown outcome; uses the availability budget.
    Error,
    /// Covered by no objective.
    Excluded,
}

impl RequestClass {
    /// Classifies a request.
    ///
    /// The reason takes precedence over the outcome: the reply to a duplicate has the outcome of
    /// the first request, which was counted when it ended.
    pub fn of(outcome: Outcome, reason: Option<Reason>) -> Self {
        match (outcome, reason.map(ReasonClass::of)) {
            (_, Some(ReasonClass::Client)) => Self::Excluded,
            (Outcome::Answered, _) => Self::Answered,
            (Outcome::NotRun | Outcome::Unknown, _) => Self::Error,
        }
    }
}
