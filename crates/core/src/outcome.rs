//! Outcomes of requests.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_derive::scalar;

use crate::ParseError;

/// Outcome of a request, as reported to the client.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// No target executed any part of the request.
    NotRun,
    /// A target may have executed all or part of the request.
    Unknown,
}

impl Display for Outcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseError::new("outcome", text, "answered, not-run or unknown")),
        }
    }
}
