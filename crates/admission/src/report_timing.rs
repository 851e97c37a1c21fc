//! Timing of the nodes' reports to the leader, and the lifetimes that follow from it.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Interval of reports on a small site, in milliseconds.
const INTERVAL_MIN_MS: u64 = 150;

/// Part of the interval for each node of the site, in milliseconds. On a site of medium size the
/// leader handles the same number of reports a second at any number of nodes.
const INTERVAL_PER_NODE_MS: u64 = 1;

/// Upper bound of the interval at any number of nodes, in milliseconds. All lifetimes follow from
/// it, so that the time until nodes and leader act on each other's data has a fixed bound.
const INTERVAL_MAX_MS: u64 = 300;

/// A report without a reply within this time counts as lost, in milliseconds.
const CALL_TIMEOUT_MS: u64 = INTERVAL_MAX_MS;

/// Time that a report or a reply that is not lost spends on the way at most, in milliseconds.
const TRANSFER_MAX_MS: u64 = 100;

/// Timing of the nodes' reports to the leader, and the lifetimes that follow from it.
///
/// All nodes of a site must use the same lifetimes: the leader relies on the fact that a node falls
/// back to its equal share of the customers' limits when a reply expires.
#[derive(Clone, Copy, Debug)]
pub struct ReportTiming;

impl ReportTiming {
    /// A report without a reply within this time counts as lost.
    pub const CALL_TIMEOUT: Duration = Duration::from_millis(CALL_TIMEOUT_MS);

    /// A reply of the leader applies for this long without a newer one. It outlives the loss of one
    /// report.
    pub const REPLY_LIFETIME: Duration =
        Duration::from_millis(2 * INTERVAL_MAX_MS + CALL_TIMEOUT_MS + TRANSFER_MAX_MS);

    /// The leader relies on a report for this long without a newer one. It exceeds the lifetime of
    /// the reply to that report by the time that both spend on the way.
    pub const REPORT_LIFETIME: Duration =
        Duration::from_millis(Self::REPLY_LIFETIME.as_millis() as u64 + 2 * TRANSFER_MAX_MS);

    /// Longest period of which a node reports the usage of the customers' limits. The windows of
    /// older requests end soon, and what a report can change at once stays bounded.
    pub const USAGE_PERIOD_MAX: Duration = Duration::from_millis(4_000);

    /// Without a reply for this long, a node that can replace the leader treats it as failed.
    pub const LEADER_TIMEOUT: Duration =
        Duration::from_millis(Self::REPLY_LIFETIME.as_millis() as u64 + TRANSFER_MAX_MS);

    /// Returns whether the reply to a report that was sent at `sent_at` counts, if it is handled at
    /// `handled_at`. A process that was busy or stood still may handle a reply after its lifetime,
    /// when the leader has divided the limits among the other nodes.
    pub fn is_in_time(sent_at: Instant, handled_at: Instant) -> bool {
        handled_at.saturating_since(sent_at) <= Self::CALL_TIMEOUT
    }

    /// Returns the time between two reports of a node on a site of `nodes` nodes.
    pub fn interval(nodes: usize) -> Duration {
        let by_nodes_ms = INTERVAL_PER_NODE_MS.saturating_mul(nodes as u64);
        Duration::from_millis(by_nodes_ms.clamp(INTERVAL_MIN_MS, INTERVAL_MAX_MS))
    }
}
