//! Which versions of a back end's targets a host may use.

use std::sync::Arc;

use crate::{RolloutOrder, RolloutPhase, RolloutRow};

/// How a host may use targets of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionClass {
    /// The version may get requests.
    Old,
    /// The version is being rolled out and gets a share of the requests.
    New,
    /// The version is being rolled out, and the target is one of the few that get requests at first.
    Canary,
    /// The version gets requests only if no target of another one is in service.
    Barred,
}

impl VersionClass {
    /// Returns whether targets of another class count among those of this one.
    pub fn includes(self, other: Self) -> bool {
        self == other || (self, other) == (Self::New, Self::Canary)
    }
}

/// Which versions of a back end's targets a host may use, from the stored row and the order.
#[derive(Clone, Debug, Default)]
pub struct VersionPolicy {
    row: Option<RolloutRow>,
    ordered: Option<Arc<str>>,
}

impl VersionPolicy {
    /// Sets the order of the operators; `None` if there is none.
    pub fn set_order(&mut self, order: Option<&RolloutOrder>) {
        self.ordered = order.map(|order| Arc::clone(&order.to));
    }

    /// Sets the stored row.
    pub fn set_row(&mut self, row: Option<RolloutRow>) {
        self.row = row;
    }

    /// Returns the stored row.
    pub fn row(&self) -> Option<&RolloutRow> {
        self.row.as_ref()
    }

    /// Returns the version that is being rolled out.
    pub fn to(&self) -> Option<&Arc<str>> {
        Some(&self.row.as_ref()?.active()?.to)
    }

    /// Returns whether all versions may be used alike.
    pub fn is_open(&self) -> bool {
        self.row.is_none() && self.ordered.is_none()
    }

    /// Returns how targets of a version may be used.
    pub fn class(&self, version: &str) -> VersionClass {
        let Some(row) = &self.row else {
            // An order without a row: the leader has not started it yet.
            return match self.ordered.as_deref() == Some(version) {
                true => VersionClass::Barred,
                false => VersionClass::Old,
            };
        };
        match &row.rollout {
            Some(rollout) if &*rollout.to == version => match rollout.phase {
                RolloutPhase::Succeeded => VersionClass::Old,
                RolloutPhase::RolledBack => VersionClass::Barred,
                _ => VersionClass::New,
            },
            _ if row.baseline.iter().any(|known| &**known == version) => VersionClass::Old,
            _ => VersionClass::Barred,
        }
    }
}
