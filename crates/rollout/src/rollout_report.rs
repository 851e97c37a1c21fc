//! A host's report on an active rollout.

use wagtailmoor_core::{BackEndId, RowVersion, TargetId, TemplateId};
use wagtailmoor_derive::value;

use crate::{AnswerCounts, RolloutPhase};

/// Answers of the old version on a route.
#[value]
pub struct RouteCounts {
    /// The route.
    pub route: TemplateId,
    /// The answers.
    pub counts: AnswerCounts,
}

/// Answers of the new version on a route.
#[value]
pub struct TargetCounts {
    /// The route.
    pub route: TemplateId,
    /// The canary; `None` for all other targets of the new version together.
    pub target: Option<TargetId>,
    /// The answers.
    pub counts: AnswerCounts,
}

/// A host's report on an active rollout. Counts are those since the host's last report.
#[value]
pub struct RolloutReport {
    /// The back end.
    pub back_end: BackEndId,
    /// Version of the stored row, or of the leader's instructions if newer, that the host follows.
    pub row_version: RowVersion,
    /// Phase that the host follows.
    pub phase: RolloutPhase,
    /// Attempts sent to the back end.
    pub requests: u32,
    /// Attempts in flight to other versions than the new one.
    pub in_flight_old: u32,
    /// Answers of the old version.
    pub old: Vec<RouteCounts>,
    /// Answers of the new version.
    pub new: Vec<TargetCounts>,
}
