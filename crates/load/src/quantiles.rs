//! Quantiles of latencies and delays.

use hdrhistogram::Histogram;
use wagtailmoor_derive::scalar;

/// Quantiles of a set of times in microseconds.
#[scalar]
#[derive(Default)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Quantiles {
    /// Returns the quantiles of `times_us` with three significant digits.
    pub fn of(times_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Self::default() };
        for time_us in times_us {
            // The histogram resizes itself; values that it cannot hold are longer than an hour.
            let _ = histogram.record(time_us);
        }
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}
