//! Simulation of cold starts.

use std::time::Duration;

use wagtailmoor_core::Instant;
use wagtailmoor_derive::value;

/// Behaviour of a target after a cold start.
#[value]
#[serde(default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Whether the target is cold when its listener is bound.
    pub at_start: bool,
    /// Concurrent requests that a cold target can handle at first.
    pub concurrency: u32,
    /// The limit doubles each time this interval passes after the first successful request.
    pub step_ms: u64,
    /// Whether requests above the limit crash the target; otherwise they are answered 500.
    pub overload_crashes: bool,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { at_start: false, concurrency: 1, step_ms: 500, overload_crashes: false }
    }
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WarmUpState {
    /// Not limited by a cold start.
    #[default]
    Warm,
    /// Cold, with the time of the first successful request since the start.
    Cold(Option<Instant>),
}

impl WarmUpState {
    /// Starts the warm-up at the first successful request.
    pub(crate) fn on_success(&mut self, now: Instant) {
        if *self == Self::Cold(None) {
            *self = Self::Cold(Some(now));
        }
    }

    /// Returns the number of concurrent requests that a cold target can handle, `None` if the
    /// target is warm. The target becomes warm when the limit reaches the number of its slots.
    pub(crate) fn concurrency_limit(
        &mut self,
        now: Instant,
        settings: &ColdSettings,
        slots: u32,
    ) -> Option<u32> {
        let concurrency_limit = match *self {
            Self::Warm => return None,
            Self::Cold(None) => settings.concurrency,
            Self::Cold(Some(since)) => ramped_limit(now.saturating_since(since), settings),
        };
        if concurrency_limit >= slots && *self != Self::Cold(None) {
            *self = Self::Warm;
            return None;
        }
        Some(concurrency_limit)
    }
}

fn ramped_limit(time: Duration, settings: &ColdSettings) -> u32 {
    let steps = time.as_millis() / u128::from(settings.step_ms.max(1));
    let factor = 1_u32.checked_shl(u32::try_from(steps).unwrap_or(u32::MAX));
    settings.concurrency.saturating_mul(factor.unwrap_or(u32::MAX))
}
