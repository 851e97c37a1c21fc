//! Choice of keys for planned requests.

use crate::KeySettings;

/// Number of keys by which the most used keys shift; prime, so that repeated shifts reach all keys.
const HOT_KEY_STRIDE: usize = 7_919;

/// Chooses keys by a Zipf distribution whose most used keys shift at a fixed interval.
pub(crate) struct KeyChooser {
    cumulative: Vec<f64>,
    shift_interval_us: u64,
}

impl KeyChooser {
    pub(crate) fn new(keys: &KeySettings) -> Self {
        let weight = |rank: u32| f64::from(rank + 1).powf(-keys.skew);
        let cumulative = (0..keys.count.value).scan(0.0, |total, rank| {
            *total += weight(rank);
            Some(*total)
        });
        Self { cumulative: cumulative.collect(), shift_interval_us: keys.moves_every_ms * 1_000 }
    }

    /// Returns the index of a key at a time from the start, for a `random` number in `[0, 1)`.
    pub(crate) fn choose(&self, at_us: u64, random: f64) -> usize {
        let count = self.cumulative.len();
        let total = self.cumulative.last().copied().unwrap_or_default();
        let rank = self
            .cumulative
            .partition_point(|cumulative_weight| *cumulative_weight <= random * total)
            .min(count - 1);
        let shifts = at_us.checked_div(self.shift_interval_us).unwrap_or_default() as usize;
        (rank + shifts * HOT_KEY_STRIDE) % count
    }
}
