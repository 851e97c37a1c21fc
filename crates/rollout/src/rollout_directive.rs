//! The leader's instructions to a host for an active rollout.

use wagtailmoor_core::{BackEndId, PartsPerMillion, RowVersion, TargetId, TemplateId};
use wagtailmoor_derive::value;

use crate::RolloutPhase;

/// The leader's instructions to a host for an active rollout.
#[value]
pub struct RolloutDirective {
    /// The back end.
    pub back_end: BackEndId,
    /// Version of the stored row on which the instructions are based.
    pub row_version: RowVersion,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Share of the host's requests to send to the new version.
    pub share: PartsPerMillion,
    /// Targets of the new version that get requests in the canary phase.
    pub canaries: Vec<TargetId>,
    /// By route, the response time in milliseconds above which an answer is slow.
    pub slow_over_ms: Vec<(TemplateId, u64)>,
}
