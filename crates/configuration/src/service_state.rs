//! Whether a zone, host or target is in service.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::ParseError;
use wagtailmoor_derive::scalar;

/// Whether a zone, host or target is in service, as set by operators.
#[scalar]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceState {
    /// Takes new work.
    #[default]
    In,
    /// Takes no new work.
    Out,
}

impl Display for ServiceState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::In => "in",
            Self::Out => "out",
        })
    }
}

impl FromStr for ServiceState {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in" => Ok(Self::In),
            "out" => Ok(Self::Out),
            _ => Err(ParseError::new("service state", text, "in or out")),
        }
    }
}
