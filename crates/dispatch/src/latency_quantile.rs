//! Streaming 95th percentile of latency.

use std::time::Duration;

/// Buckets per doubling of the latency, so that an estimate is at most 1/8 above the true value.
const BUCKETS_PER_OCTAVE: u64 = 8;

/// Number of buckets, which covers latencies up to 2^28 microseconds (4.5 minutes).
const BUCKETS: usize = 8 * 26;

/// Total at which all counts are halved, so that recent requests outweigh older ones.
const HALVE_AT_SAMPLES: u32 = 2048;

/// Minimum number of samples for an estimate.
const SAMPLES_MIN: u32 = 32;

/// Number of samples between two computations of the estimate.
const REFRESH_SAMPLES: u32 = 32;

/// Streaming 95th percentile of the latency of one back end.
///
/// Uses a histogram with logarithmic buckets whose counts are halved regularly.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    counts: [u16; BUCKETS],
    total: u32,
    since_refresh: u32,
    estimate: Option<Duration>,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0, since_refresh: 0, estimate: None }
    }
}

impl LatencyQuantile {
    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the latency of one request.
    pub fn add(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.counts[bucket(latency_us)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= HALVE_AT_SAMPLES {
            self.halve();
        }
        if self.since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Returns the latency that 95% of recent requests did not exceed, or `None` while there are
    /// too few samples.
    pub fn p95(&self) -> Option<Duration> {
        self.estimate
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        if self.total < SAMPLES_MIN {
            return;
        }
        let mut above = self.total / 20;
        for (index, count) in self.counts.iter().enumerate().rev() {
            let count = u32::from(*count);
            if count > above {
                self.estimate = Some(Duration::from_micros(upper_bound_us(index)));
                return;
            }
            above -= count;
        }
    }
}

fn bucket(latency_us: u64) -> usize {
    let clamped_us = latency_us.max(BUCKETS_PER_OCTAVE);
    let octave = u64::from(clamped_us.ilog2() - BUCKETS_PER_OCTAVE.ilog2());
    let offset = (clamped_us >> octave) - BUCKETS_PER_OCTAVE;
    usize::try_from(octave * BUCKETS_PER_OCTAVE + offset).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

fn upper_bound_us(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    let (octave, offset) = (bucket / BUCKETS_PER_OCTAVE, bucket % BUCKETS_PER_OCTAVE);
    (BUCKETS_PER_OCTAVE + offset + 1) << octave
}
