//! Phases of a rollout.

use std::fmt::{Display, Formatter, Result as FmtResult};

use wagtailmoor_derive::scalar;

/// Phase of a rollout.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// A small share of the requests goes to few targets of the new version.
    Canary,
    /// A rising share of the requests goes to the new version.
    Shift,
    /// No new request goes to the old version; requests in flight there end.
    Settle,
    /// The new version has replaced the old one.
    Succeeded,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout is undecided.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Canary | Self::Shift | Self::Settle)
    }
}

impl Display for RolloutPhase {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Canary => "canary",
            Self::Shift => "shift",
            Self::Settle => "settle",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled-back",
        })
    }
}
