//! Times of the granter.

use std::time::Duration;

/// Times of the granter.
#[derive(Clone, Debug)]
pub struct GranterSettings {
    /// Time for which a grant holds on the clock of the target.
    pub hold: Duration,
    /// Part by which a target's clock may run slow, in parts per thousand.
    pub clock_drift_per_1000: u32,
    /// Added to a hold before its keys go to another target, for delays between the two clocks.
    pub hold_margin: Duration,
    /// Time after which a grant without an answer is given up; it arrives before or never.
    pub call_timeout: Duration,
    /// Time between renewals of a grant.
    pub renew_interval: Duration,
    /// Pause after a renewal that was refused or not answered.
    pub retry_interval: Duration,
    /// Time between looks at the load.
    pub balance_interval: Duration,
    /// Time between looks at the load of some seconds, for an imbalance that lasts.
    pub level_interval: Duration,
    /// Time without a new member after which the first assignment is made.
    pub settle: Duration,
    /// Longest time for which the first assignment waits for more members.
    pub settle_max: Duration,
    /// Time between two writes of the owners, each of which every node reads.
    pub store_interval: Duration,
    /// Time between two passes that join ranges.
    pub merge_interval: Duration,
    /// Pairs of ranges joined in one pass.
    pub merges_max: usize,
    /// Ranges that may be moving for balance at a time on a small site.
    pub moves_min: usize,
}

impl Default for GranterSettings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            clock_drift_per_1000: 20,
            hold_margin: Duration::from_millis(100),
            call_timeout: Duration::from_millis(800),
            renew_interval: Duration::from_millis(1_250),
            retry_interval: Duration::from_millis(400),
            balance_interval: Duration::from_millis(150),
            level_interval: Duration::from_millis(600),
            settle: Duration::from_millis(600),
            settle_max: Duration::from_millis(2_500),
            store_interval: Duration::from_millis(150),
            merge_interval: Duration::from_millis(1_000),
            merges_max: 16,
            moves_min: 8,
        }
    }
}

impl GranterSettings {
    /// Returns how long after its arrival a grant may hold at most.
    pub fn hold_max(&self) -> Duration {
        self.hold + self.hold * self.clock_drift_per_1000 / 1_000 + self.hold_margin
    }
}
