//! Checks that admitted requests stay within rate and burst in every window.

/// Checks `admitted ≤ rate × W + burst` for every window from one admitted request to another.
///
/// A window is violated exactly when a token bucket of this rate and burst that is full at the
/// start falls below zero, so one pass in time order covers all windows.
#[derive(Clone, Debug)]
pub struct RateCheck {
    rate_per_s: u64,
    capacity_millionths: u64,
    level_millionths: u64,
    last_us: u64,
    pub admitted: u64,
    pub excess: u64,
}

const ONE: u64 = 1_000_000;

impl RateCheck {
    pub fn new(rate_per_s: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * ONE;
        Self {
            rate_per_s: u64::from(rate_per_s),
            capacity_millionths: capacity,
            level_millionths: capacity,
            last_us: 0,
            admitted: 0,
            excess: 0,
        }
    }

    /// Records an admitted request; returns whether all windows that end with it are within the
    /// limit.
    pub fn admit(&mut self, at_us: u64) -> bool {
        let refill = self.rate_per_s * (at_us - self.last_us);
        self.level_millionths = (self.level_millionths + refill).min(self.capacity_millionths);
        self.last_us = at_us;
        self.admitted += 1;
        let within = self.level_millionths >= ONE;
        if within {
            self.level_millionths -= ONE;
        } else {
            self.excess += 1;
        }
        within
    }
}
