//! Kinds of elements of the operators' configuration.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::ParseError;
use wagtailmoor_derive::scalar;

/// Kind of an element of the operators' configuration.
#[scalar]
#[serde(rename_all = "snake_case")]
pub enum ElementKind {
    /// A route.
    Route,
    /// A back end.
    BackEnd,
    /// A customer.
    Customer,
    /// The limits on clients.
    Limits,
}

impl ElementKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 4] = [Self::Route, Self::BackEnd, Self::Customer, Self::Limits];
}

impl Display for ElementKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Route => "route",
            Self::BackEnd => "back_end",
            Self::Customer => "customer",
            Self::Limits => "limits",
        })
    }
}

impl FromStr for ElementKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or_else(|| ParseError::new("element kind", text, "a documented kind"))
    }
}
