//! Failures of attempts.

use wagtailmoor_core::{Reason, ReportedDuration};

use crate::Ending;

/// Failure of an attempt, reported to the client if no later attempt is answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) reason: Reason,
    pub(crate) ending: Ending,
    pub(crate) retry_after: Option<ReportedDuration>,
}

impl Failure {
    pub(crate) const fn new(reason: Reason, ending: Ending) -> Self {
        Self { reason, ending, retry_after: None }
    }

    /// Returns the failure to report when a target may have run the request.
    ///
    /// The earlier lost attempt takes precedence over a later one that found no target, except that
    /// the client must learn when its request crashes targets.
    pub(crate) fn after_loss(self) -> Self {
        let reason = match self.reason {
            Reason::CrashesTargets => self.reason,
            _ => Reason::TargetLost,
        };
        Self::new(reason, Ending::TargetLost)
    }
}
