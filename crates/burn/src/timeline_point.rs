//! Points of the timeline of a row.

use serde::Serialize;

use crate::{BurnRate, UnixMillis};

/// Burn rate in one step of a timeline.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TimelinePoint {
    /// End of the step.
    pub end_unix_ms: UnixMillis,
    /// Burn rate in the step.
    pub burn: BurnRate,
}
