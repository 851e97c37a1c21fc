//! Precision of limits over all nodes.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_site::CustomerRule;

/// Largest part of a customer's tokens that a node may have without an issuer, as a divisor. On a
/// site with few nodes the others need the rest.
const EQUAL_SHARE_DIVISOR_MIN: u32 = 8;

/// Part of a customer's tokens that nodes have without a grant, as a divisor. With it, a node serves
/// the first requests of a customer while no issuer answers.
const BASE_DIVISOR: u32 = 4;

/// Largest number of tokens of a customer; ten times the requests of the largest site in a window.
/// Sums of a few such numbers do not overflow.
const TOKENS_MAX: u32 = 1 << 28;

/// Level of an account below which tokens are granted only as fast as the level allows, in percent
/// of the burst.
const NEAR_LIMIT_PERCENT: f64 = 60.0;

/// Precision of limits over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct LimitSettings {
    /// Amount by which tokens are issued faster than the customer's rate, in parts per thousand.
    /// The number of tokens bounds the requests of each window nevertheless.
    pub rate_overage_per_1000: u32,
    /// Number of requests in addition to a customer's burst for which tokens are issued at once.
    pub burst_slack: u32,
    /// Window of the limits: in each one, a customer may send its rate times the window and its
    /// burst.
    pub window: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { rate_overage_per_1000: 40, burst_slack: 10, window: Duration::from_secs(5) }
    }
}

impl LimitSettings {
    /// Time without a reply of the issuer after which a node keeps no more than an equal share.
    pub(crate) const LEASE: Duration = Duration::from_secs(5);

    /// Returns the rate per second and the burst at which tokens are issued to all nodes.
    pub(crate) fn limit(&self, rule: &CustomerRule) -> (f64, f64) {
        let overage = 1.0 + f64::from(self.rate_overage_per_1000) / 1_000.0;
        let burst = f64::from(rule.burst.get()) + f64::from(self.burst_slack);
        (f64::from(rule.rate.get()) * overage, burst)
    }

    /// Returns whether a customer whose account has this level is near its limit.
    pub(crate) fn is_near_limit(&self, rule: &CustomerRule, level: f64) -> bool {
        let (_, burst) = self.limit(rule);
        level < burst * NEAR_LIMIT_PERCENT / 100.0
    }

    /// Returns the number of tokens of a customer: the requests that it may send in each window.
    pub(crate) fn tokens(&self, rule: &CustomerRule) -> u32 {
        let by_rate = f64::from(rule.rate.get()) * self.window.as_secs_f64();
        // The conversion saturates.
        (by_rate as u32).saturating_add(rule.burst.get()).min(TOKENS_MAX)
    }

    /// Returns the tokens that a node may have without an issuer.
    pub(crate) fn equal_share(&self, rule: &CustomerRule, nodes: u32) -> u32 {
        let divisor = nodes.saturating_add(1).max(EQUAL_SHARE_DIVISOR_MIN);
        (self.tokens(rule) / divisor).max(1)
    }

    /// Returns the tokens that each node has without a grant.
    pub(crate) fn base(&self, rule: &CustomerRule, nodes: u32) -> u32 {
        (self.tokens(rule) / BASE_DIVISOR).checked_div(nodes).unwrap_or_default()
    }

    /// Returns when a node without replies since `last_reply` has returned what exceeds its equal
    /// share, and the requests that it sent before have left the window.
    pub(crate) fn lapses_at(&self, last_reply: Instant) -> Instant {
        last_reply + Self::LEASE + self.window
    }
}
