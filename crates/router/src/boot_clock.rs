//! A clock that continues while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use wagtailmoor_core::{Clock, Instant};

/// A monotonic clock that includes the time for which the host was suspended (`CLOCK_BOOTTIME`).
///
/// Authority and leases are measured by this clock: a process that was suspended must not act on a
/// lease that expired meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let micros = u64::try_from(now.tv_nsec).unwrap_or_default() / 1_000;
        Instant::from_us(0) + Duration::from_secs(seconds) + Duration::from_micros(micros)
    }
}
