//! Term of an issuer.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::ParseError;
use wagtailmoor_derive::scalar;

/// Identifies one issuer from its creation to the end of its authority.
///
/// The caller chooses it at random. The generation of a controller is not sufficient, because a
/// controller can lose and regain authority within one generation.
#[scalar]
#[derive(Default)]
#[serde(transparent)]
pub struct IssuerTerm(u32);

impl IssuerTerm {
    /// Creates a term; zero is reserved for "no issuer known".
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Display for IssuerTerm {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for IssuerTerm {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseError::new("issuer term", text, "a whole number"))
    }
}
