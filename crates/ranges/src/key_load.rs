//! Request rate per key.

use std::time::Duration;

use wagtailmoor_core::{Instant, ShardKey, SortedVec};

use crate::KeyRange;

/// Keys below this rate, in requests per second, are dropped.
const RATE_MIN_PER_S: f64 = 0.02;

/// Request rate per key, averaged with exponential decay.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    time_constant: Duration,
    rates_per_s: SortedVec<ShardKey, f64>,
    last_decay: Instant,
    /// Time between the last two calls of [`KeyLoad::decay`].
    interval: Duration,
}

impl KeyLoad {
    /// Creates an empty load whose rates decay with `time_constant`.
    pub fn new(now: Instant, time_constant: Duration) -> Self {
        Self {
            time_constant,
            rates_per_s: SortedVec::new(),
            last_decay: now,
            interval: Duration::ZERO,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: ShardKey, requests: u32) {
        let rate = f64::from(requests) / self.time_constant.as_secs_f64();
        *self.rates_per_s.get_or_insert_with(key, || 0.0) += rate;
    }

    /// Applies the decay since the last call.
    pub fn decay(&mut self, now: Instant) {
        let elapsed_s = now.saturating_since(self.last_decay).as_secs_f64();
        let factor = (-elapsed_s / self.time_constant.as_secs_f64()).exp();
        self.interval = now.saturating_since(self.last_decay);
        self.last_decay = now;
        self.rates_per_s.retain(|_, rate_per_s| {
            *rate_per_s *= factor;
            *rate_per_s >= RATE_MIN_PER_S
        });
    }

    /// Returns the request rate of a range, per second.
    pub fn rate_per_s(&self, range: KeyRange) -> f64 {
        self.in_range(range).map(|(_, rate_per_s)| rate_per_s).sum()
    }

    /// Returns the request rate of each range, corrected for the decay. The ranges must be sorted
    /// and must not overlap.
    pub(crate) fn unbiased_rates<'r>(
        &self,
        now: Instant,
        ranges: impl Iterator<Item = &'r KeyRange>,
    ) -> Vec<f64> {
        let scale = 1.0 / self.bias(now);
        let mut rates_per_s = self.rates_per_s.iter().peekable();
        ranges
            .map(|range| {
                let mut sum = 0.0;
                while let Some((key, rate_per_s)) =
                    rates_per_s.next_if(|(key, _)| **key <= range.last())
                {
                    sum += if *key >= range.first() { *rate_per_s } else { 0.0 };
                }
                sum * scale
            })
            .collect()
    }

    /// Returns the ratio of the stored rates to the actual rate under constant load. It differs
    /// from 1 because requests added between two decays decay as if all had arrived at the first of
    /// them, and requests added since the last decay have not decayed at all.
    fn bias(&self, now: Instant) -> f64 {
        let time_constant_s = self.time_constant.as_secs_f64();
        let since_decay = now.saturating_since(self.last_decay).as_secs_f64() / time_constant_s;
        let interval = self.interval.as_secs_f64() / time_constant_s;
        let bias_at_decay = match interval > 0.0 {
            true => interval * (-interval).exp() / (1.0 - (-interval).exp()),
            false => 1.0,
        };
        bias_at_decay + since_decay
    }

    /// Iterates over the keys of a range with their rates in requests per second.
    pub fn in_range(&self, range: KeyRange) -> impl Iterator<Item = (ShardKey, f64)> {
        self.rates_per_s
            .iter_from(&range.first())
            .take_while(move |(key, _)| **key <= range.last())
            .map(|(key, rate_per_s)| (*key, *rate_per_s))
    }

    /// Time constant of the exponential decay.
    pub fn time_constant(&self) -> Duration {
        self.time_constant
    }
}
