//! Margins for clocks that run at different speeds.

use std::time::Duration;

/// Maximum drift of a node's clock from true time, in parts per million.
pub(crate) const CLOCK_DRIFT_PPM: u32 = 10_000;

const PPM: u32 = 1_000_000;

/// Returns how long a local clock must run to cover `duration` as measured by another node's clock.
///
/// Both clocks may drift by [`CLOCK_DRIFT_PPM`] in opposite directions, so the relative drift is
/// slightly above twice that.
pub(crate) fn add_drift_margin(duration: Duration) -> Duration {
    duration + duration * (2 * CLOCK_DRIFT_PPM + CLOCK_DRIFT_PPM / 10) / PPM
}

/// Returns the rate to apply to a local clock so that `rate_per_s` is not exceeded in true time,
/// even if the clock runs fast by [`CLOCK_DRIFT_PPM`].
pub(crate) fn reduce_for_drift(rate_per_s: f64) -> f64 {
    rate_per_s * f64::from(PPM) / f64::from(PPM + CLOCK_DRIFT_PPM)
}
