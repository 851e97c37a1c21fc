//! Distributions of service times.

use std::time::Duration;

use wagtailmoor_derive::value;

/// Distribution of the time that a target works on one request.
#[value]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Constant.
    Fixed {
        /// The time in microseconds.
        us: u64,
    },
    /// Uniform between two bounds.
    Uniform {
        /// Shortest time.
        min_us: u64,
        /// Longest time.
        max_us: u64,
    },
    /// Exponential, truncated at eight times the mean so that one sample cannot stall a run.
    Exponential {
        /// Mean time.
        mean_us: u64,
    },
    /// `long_us` for a fraction of the requests, `us` for the others.
    Bimodal {
        /// Time of the other requests.
        us: u64,
        /// Time of one request in `every` on average.
        long_us: u64,
        /// Reciprocal of the fraction of long requests.
        every: u32,
    },
}

impl ServiceTime {
    /// Maps `unit`, a uniform random number in [0, 1), to a sample of the distribution.
    pub fn sample(&self, unit: f64) -> Duration {
        let us = match *self {
            Self::Fixed { us } => us as f64,
            Self::Uniform { min_us, max_us } => {
                min_us as f64 + unit * max_us.saturating_sub(min_us) as f64
            }
            Self::Exponential { mean_us } => mean_us as f64 * (-(1.0 - unit).ln()).min(8.0),
            Self::Bimodal { long_us, every, .. } if unit * f64::from(every) < 1.0 => long_us as f64,
            Self::Bimodal { us, .. } => us as f64,
        };
        Duration::from_micros(us as u64)
    }
}
