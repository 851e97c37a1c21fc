//! Statistics of the input.

use serde::Serialize;

use crate::{MalformedLine, UnixMillis};

/// Statistics of the metrics that a report is based on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InputSummary {
    /// Lines read, including malformed ones.
    pub lines: u64,
    /// Requests according to the request counters.
    pub requests: u64,
    /// Answered requests according to the request counters.
    pub answered: u64,
    /// Answered requests for which a latency was received; only these count as answered.
    pub timed: u64,
    /// Metrics that the report does not use.
    pub other: u64,
    /// Lines that could not be parsed.
    pub malformed: u64,
    /// The first few malformed lines.
    pub examples: Vec<MalformedLine>,
    /// Earliest time of a metric; `None` if there is no metric.
    pub first_unix_ms: Option<UnixMillis>,
    /// Latest time of a metric; `None` if there is no metric.
    pub last_unix_ms: Option<UnixMillis>,
}

impl InputSummary {
    pub(crate) fn extend_period(&mut self, at: UnixMillis) {
        self.first_unix_ms = Some(self.first_unix_ms.map_or(at, |first| first.min(at)));
        self.last_unix_ms = self.last_unix_ms.max(Some(at));
    }
}
