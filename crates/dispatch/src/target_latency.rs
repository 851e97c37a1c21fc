//! Latency estimates of one target.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Weight of a new sample in the moving mean, 1/8 as a shift. Three answers at ten times the usual
/// latency raise the mean above three times the usual latency; a single one does not.
const SAMPLE_WEIGHT_SHIFT: u32 = 3;

/// Minimum number of samples before the mean is compared with that of other targets.
const SAMPLES_MIN: u32 = 4;

/// Latency of one target as measured by this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLatency {
    peak_us: u64,
    mean_us: u64,
    samples: u32,
    updated_at: Instant,
    silent_since: Instant,
}

impl TargetLatency {
    /// Adds the latency of an answer.
    pub(crate) fn add(&mut self, now: Instant, elapsed: Duration, peak_decay: Duration) {
        let sample_us =
            u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX >> SAMPLE_WEIGHT_SHIFT).max(1);
        self.peak_us = self.decayed_peak(now, sample_us, peak_decay);
        self.mean_us = match self.samples {
            0 => sample_us,
            _ => {
                (self.mean_us - (self.mean_us >> SAMPLE_WEIGHT_SHIFT))
                    + (sample_us >> SAMPLE_WEIGHT_SHIFT)
            }
        };
        self.samples = self.samples.saturating_add(1);
        self.updated_at = now;
    }

    /// Adds the waiting time of a cancelled attempt, which is a lower bound of the latency.
    pub(crate) fn add_lower_bound(
        &mut self,
        now: Instant,
        elapsed: Duration,
        peak_decay: Duration,
    ) {
        if elapsed.as_micros() > u128::from(self.mean_us) {
            self.add(now, elapsed, peak_decay);
        }
    }

    /// Restarts the silence timer, because the target responded or was idle until now.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        self.silent_since = now;
    }

    /// Discards the samples, because the target was restarted.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            silent_since: self.silent_since,
            updated_at: self.updated_at,
            ..Self::default()
        };
    }

    /// Returns the latency peak, which rises at once and decays slowly, if there is any sample.
    pub(crate) fn peak_us(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.peak_us)
    }

    /// Returns the mean latency once there are enough samples.
    pub(crate) fn mean_us(&self) -> Option<u64> {
        (self.samples >= SAMPLES_MIN).then_some(self.mean_us)
    }

    /// Returns how long a busy target has sent no response.
    pub(crate) fn silence_us(&self, now: Instant) -> u64 {
        u64::try_from(now.saturating_since(self.silent_since).as_micros()).unwrap_or(u64::MAX)
    }

    fn decayed_peak(&self, now: Instant, sample_us: u64, decay: Duration) -> u64 {
        let age = now.saturating_since(self.updated_at).as_secs_f64();
        let weight = (-age / decay.as_secs_f64().max(1e-6)).exp();
        let blended = sample_us as f64 + (self.peak_us as f64 - sample_us as f64) * weight;
        match sample_us >= self.peak_us {
            true => sample_us,
            false => blended as u64,
        }
    }
}
