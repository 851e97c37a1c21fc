//! A single process of a target.

use std::fmt::{Display, Formatter, Result as FmtResult};

use wagtailmoor_core::{Incarnation, TargetId};
use wagtailmoor_derive::value;

/// A single process of a target. A restarted target is a new process without any grants.
#[value]
#[derive(PartialOrd, Ord)]
pub struct TargetProcess {
    /// Target that the process belongs to.
    pub target: TargetId,
    /// Start time of the process.
    pub incarnation: Incarnation,
}

impl Display for TargetProcess {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}@{}", self.target, self.incarnation)
    }
}
