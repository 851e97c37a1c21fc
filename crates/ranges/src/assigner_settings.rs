//! Timeouts, intervals and limits for assigning ranges.

use std::time::Duration;

/// Timeouts, intervals and limits for assigning ranges.
#[derive(Clone, Debug)]
pub struct AssignerSettings {
    /// Validity of a grant, measured from its arrival by the clock of the target.
    pub grant_validity: Duration,
    /// Maximum rate by which a target's clock may run slow, in parts per thousand.
    pub clock_drift_per_1000: u32,
    /// Added to the validity before keys are granted to another target, for delays between reading
    /// the two clocks.
    pub validity_margin: Duration,
    /// Timeout of a grant call. A grant that has not arrived by then never arrives.
    pub call_timeout: Duration,
    /// Interval between renewals of a grant.
    pub renew_interval: Duration,
    /// Delay before a failed grant or release is retried.
    pub retry_interval: Duration,
    /// Time between the decision to release the keys of a leaving target and the release. Nodes
    /// learn meanwhile that the target is leaving and hold requests for the next owner. A request
    /// that is sent to the target later is refused there and takes a retry.
    pub release_notice: Duration,
    /// Interval between checks for hot ranges.
    pub balance_interval: Duration,
    /// Interval between checks for lasting imbalance, which use the load of the last seconds.
    pub slow_balance_interval: Duration,
    /// The first assignment waits until the number of members has not changed for this long.
    pub initial_quiet_period: Duration,
    /// Maximum delay of the first assignment.
    pub initial_wait_max: Duration,
    /// Minimum interval between writes of the table. Every node reads each version.
    pub store_interval: Duration,
    /// Interval between passes that merge adjacent ranges.
    pub merge_interval: Duration,
    /// Maximum number of pairs of ranges merged in one pass.
    pub merges_max: usize,
    /// Number of ranges that may be moving for balance at a time on a site of any size. On a large
    /// site, more ranges may move to spread a hot range.
    pub concurrent_moves_min: usize,
}

impl Default for AssignerSettings {
    fn default() -> Self {
        Self {
            grant_validity: Duration::from_secs(5),
            clock_drift_per_1000: 20,
            validity_margin: Duration::from_millis(100),
            call_timeout: Duration::from_millis(800),
            renew_interval: Duration::from_millis(1_250),
            retry_interval: Duration::from_millis(400),
            release_notice: Duration::from_millis(200),
            balance_interval: Duration::from_millis(150),
            slow_balance_interval: Duration::from_millis(600),
            initial_quiet_period: Duration::from_millis(600),
            initial_wait_max: Duration::from_millis(2_500),
            store_interval: Duration::from_millis(150),
            merge_interval: Duration::from_millis(1_000),
            merges_max: 16,
            concurrent_moves_min: 8,
        }
    }
}

impl AssignerSettings {
    /// Returns how long after its arrival a grant may be valid at most, by an exact clock.
    pub fn grant_validity_max(&self) -> Duration {
        self.grant_validity
            + self.grant_validity * self.clock_drift_per_1000 / 1_000
            + self.validity_margin
    }
}
