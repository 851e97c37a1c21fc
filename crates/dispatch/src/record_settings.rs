//! Settings of attempt records.

use std::time::Duration;

/// Settings of attempt records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSettings {
    /// Maximum number of rows in one write, limited by the table.
    pub rows_max: usize,
    /// Minimum interval between two writes.
    pub write_interval: Duration,
    /// Delay before an outcome is written, so that it can share a write with claims. A separate
    /// write would delay the next claim by `write_interval`. Until the outcome is written, other
    /// nodes report it as unknown to duplicate requests.
    pub finish_delay: Duration,
    /// Timeout after which a claim without a result is refused.
    pub claim_timeout: Duration,
    /// Interval between probes of a table that does not respond.
    pub probe_interval: Duration,
    /// Maximum number of reads in flight.
    pub reads_max: usize,
    /// Maximum number of records in memory. At this limit final records are dropped early, and new
    /// claims are refused if the remaining records alone reach it.
    pub entries_max: usize,
    /// Retention period of final records in memory. Within it, duplicate requests need no table
    /// access.
    pub final_retention: Duration,
    /// Number of time buckets for which a record is kept in the table.
    pub retention_buckets: u32,
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            rows_max: 64,
            write_interval: Duration::from_millis(50),
            finish_delay: Duration::from_millis(250),
            claim_timeout: Duration::from_millis(200),
            probe_interval: Duration::from_millis(250),
            reads_max: 16,
            entries_max: 4096,
            final_retention: Duration::from_secs(10),
            retention_buckets: 24,
        }
    }
}
