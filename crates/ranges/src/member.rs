//! A registered target that may own keys.

use crate::TargetProcess;

/// A registered target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Registered process of the target.
    pub process: TargetProcess,
    /// Requests per second that it can run.
    pub capacity_per_s: f64,
    /// Whether keys may be assigned to it: it is ready, in service and not cold.
    pub eligible: bool,
    /// Whether its keys must move to other targets: it is shutting down or its zone is out of
    /// service.
    pub leaving: bool,
}
