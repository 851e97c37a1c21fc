//! Token bucket; the caller passes in the time.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Token bucket: in any window of W seconds, at most `rate × W + burst` tokens are taken.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, level: 0.0, updated_at: now }
    }

    /// Creates a full bucket.
    pub fn full(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, level: burst, updated_at: now }
    }

    /// Creates a bucket that holds `level` tokens, at most `burst`. A negative level must be refilled
    /// before tokens can be taken.
    pub fn with_level(now: Instant, rate_per_s: f64, burst: f64, level: f64) -> Self {
        Self { rate_per_s, burst, level: level.min(burst), updated_at: now }
    }

    /// Takes tokens if there are enough; otherwise takes none and returns `false`.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.refill(now);
        let enough = self.level >= tokens;
        if enough {
            self.level -= tokens;
        }
        enough
    }

    /// Adds tokens, up to the burst size.
    pub fn add(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Returns the number of tokens that can be taken now.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns the time until `tokens` can be taken, or `None` if they never can.
    pub fn time_until(&mut self, now: Instant, tokens: f64) -> Option<Duration> {
        self.refill(now);
        match tokens - self.level {
            missing if missing <= 0.0 => Some(Duration::ZERO),
            _ if tokens > self.burst || self.rate_per_s <= 0.0 => None,
            missing => Duration::try_from_secs_f64(missing / self.rate_per_s).ok(),
        }
    }

    /// Changes rate and burst. The level is kept, but limited to the new burst.
    pub fn set(&mut self, now: Instant, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn refill(&mut self, now: Instant) {
        let gain = self.rate_per_s * now.saturating_since(self.updated_at).as_secs_f64();
        self.level = (self.level + gain).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
