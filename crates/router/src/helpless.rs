//! Why a node that was asked for changes did not help.

use std::fmt::{Display, Formatter, Result as FmtResult};

/// Why a node that was asked for changes did not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Helpless {
    /// It does not answer.
    Silent,
    /// It does not learn of changes itself.
    LacksStore,
}

impl Display for Helpless {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Silent => "silent",
            Self::LacksStore => "lacks-store",
        })
    }
}
