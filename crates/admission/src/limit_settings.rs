//! Precision of limits over all nodes.

use wagtailmoor_site::CustomerRule;

use crate::ReportTiming;

/// Precision of limits over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct LimitSettings {
    /// Amount by which a customer's rate may be exceeded, in parts per thousand. Covers the delay
    /// until allowances follow a shift of the demand between nodes.
    pub rate_overage_per_1000: u32,
    /// Number of requests by which a customer's burst may be exceeded over all nodes.
    pub burst_slack: u32,
    /// Number of nodes assumed before it is known.
    pub nodes_assumed: u32,
}

/// Rate that a node may admit without an allowance, as a multiple of its equal share. Clients are
/// spread over nodes unevenly, and all nodes together must not exceed the limit by much.
const INDEPENDENT_RATE_SHARES: f64 = 2.5;

/// Burst that a node may admit without an allowance, as a multiple of its equal share.
const INDEPENDENT_BURST_SHARES: f64 = 2.0;

/// Minimum burst of a node for a customer that is well within its limit.
const INDEPENDENT_BURST_MIN: f64 = 3.0;

/// Minimum burst of a node without a reply from the issuer. With a burst below one request, no
/// request would ever be admitted.
const DISCONNECTED_BURST_MIN: f64 = 2.0;

/// Rate and burst that a single node may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LocalLimit {
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { rate_overage_per_1000: 40, burst_slack: 10, nodes_assumed: 16 }
    }
}

impl LimitSettings {
    /// Returns the rate per second and the burst of a customer over all nodes.
    pub(crate) fn limit(&self, rule: &CustomerRule) -> (f64, f64) {
        let overage = 1.0 + f64::from(self.rate_overage_per_1000) / 1_000.0;
        let burst = f64::from(rule.burst.get()) + f64::from(self.burst_slack);
        (f64::from(rule.rate.get()) * overage, burst)
    }

    /// Returns the limit of a node for a customer that is well within its limit.
    pub(crate) fn independent_limit(&self, rule: &CustomerRule, nodes: f64) -> LocalLimit {
        let (rate_per_s, burst) = self.limit(rule);
        LocalLimit {
            rate_per_s: rate_per_s * (INDEPENDENT_RATE_SHARES / nodes).min(1.0),
            burst: (burst * (INDEPENDENT_BURST_SHARES / nodes).min(1.0)).max(INDEPENDENT_BURST_MIN),
        }
    }

    /// Returns the limit of a node for a customer that is well within its limit, while a reply of the
    /// issuer is late. Without new allowances all nodes together must not exceed the rate.
    pub(crate) fn late_reply_limit(&self, rule: &CustomerRule, nodes: f64) -> LocalLimit {
        let (rate_per_s, _) = self.limit(rule);
        let LocalLimit { burst, .. } = self.independent_limit(rule, nodes);
        LocalLimit { rate_per_s: rate_per_s / nodes, burst }
    }

    /// Returns the limit of a node that gets no replies from the issuer.
    pub(crate) fn disconnected_limit(&self, rule: &CustomerRule, nodes: f64) -> LocalLimit {
        let (rate_per_s, _) = self.limit(rule);
        let rate_per_s = rate_per_s / nodes;
        LocalLimit { rate_per_s, burst: rate_per_s.max(DISCONNECTED_BURST_MIN) }
    }

    /// Returns the maximum number of requests that a node may have admitted since its last report.
    pub(crate) fn unreported_max(&self, rule: &CustomerRule, nodes: f64) -> f64 {
        let (independent, disconnected) =
            (self.independent_limit(rule, nodes), self.disconnected_limit(rule, nodes));
        independent.burst
            + independent.rate_per_s * ReportTiming::REPLY_LIFETIME.as_secs_f64()
            + disconnected.burst
    }
}
