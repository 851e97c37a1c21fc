//! When a client whose request was refused for lack of room may return.

use std::time::Duration;

use rand::{Rng, RngExt};
use wagtailmoor_core::{PartsPerMillion, Priority, ReportedDuration};

/// Longest delay of a request of the highest priority whose back end admits nearly all requests.
const DELAY: Duration = Duration::from_millis(450);

/// Factor by which the delay is longer if hardly any request of the priority is admitted.
const WITHHELD_FACTOR: f64 = 3.0;

/// Part by which each lower priority lengthens the delay.
const PRIORITY_PART: f64 = 0.5;

/// Priorities beyond this one do not lengthen the delay further.
const PRIORITY_MAX: u8 = 4;

/// Part of the remaining time that a client waits at most.
const LEFT_PART: u32 = 3;

/// Clients that returned earlier would most likely find the same lack of room.
const DELAY_MIN: Duration = Duration::from_millis(100);

/// A request that was refused for lack of room.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest {
    /// Priority of the request.
    pub priority: Priority,
    /// Admitted share of requests like this one.
    pub admitted: PartsPerMillion,
    /// Delay that the refusing target asked for.
    pub requested: Option<ReportedDuration>,
    /// Time that the client has left.
    pub left: Duration,
    /// Time that a target takes for the request.
    pub service_time: Duration,
}

impl RefusedRequest {
    /// Returns the delay after which the client may return, or `None` if it could no longer be
    /// answered in time. The delay is random, so that clients do not return together.
    pub fn return_delay<R: Rng>(&self, random: &mut R) -> Option<Duration> {
        let latest = (self.left / LEFT_PART).min(self.left.saturating_sub(self.service_time));
        if latest < DELAY_MIN {
            return None;
        }
        // The shortest delay is half of the longest, and not less than the target asked for.
        let longest =
            self.requested.map_or_else(|| self.longest_delay(), |requested| requested.get() * 2);
        Some(longest.clamp(DELAY_MIN, latest).mul_f64(random.random_range(0.5..1.0)))
    }

    fn longest_delay(&self) -> Duration {
        let withheld = 1.0 - self.admitted.of(1.0);
        let lower_priorities = f64::from(self.priority.get().min(PRIORITY_MAX));
        let by_share = 1.0 + (WITHHELD_FACTOR - 1.0) * withheld;
        DELAY.mul_f64(by_share * (1.0 + PRIORITY_PART * lower_priorities))
    }
}
