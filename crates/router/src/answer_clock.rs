//! Dates the store's answers on the clock of this process.

use std::time::Duration;

use wagtailmoor_core::{Instant, StoreTime};

/// Largest difference between the rates of the store's clock and the local one, as a divisor: one
/// part in a thousand.
const DRIFT_DIVISOR: u32 = 1_000;

/// The store's times are whole milliseconds, so a difference may be too large by almost one.
const STORE_TIME_RESOLUTION: Duration = Duration::from_millis(1);

/// Time after which a new reference is needed; the allowance for drift has grown to 30 ms by then.
const REFERENCE_LIFETIME: Duration = Duration::from_secs(30);

/// A call of which the store answered not before `sent_at`, when its clock showed `store_time`.
#[derive(Clone, Copy, Debug)]
struct Reference {
    sent_at: Instant,
    store_time: StoreTime,
}

/// Dates the store's answers on the clock of this process.
///
/// What an answer says was true when the store made it, not when this process handles it: the
/// process may have been busy, and the link slow. An answer was made after its call was sent. The
/// store's clock narrows that down for calls that wait for a change: it shows how long after an
/// earlier answer this one was made.
///
/// Invariant: [`AnswerClock::date`] never returns an instant after the one at which the store made
/// the answer, as long as the rates of the clocks differ by less than one part in a thousand and the
/// store's clock is not set forward by less than an answer takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerClock {
    reference: Option<Reference>,
    /// Whether the last answer stated no time.
    store_has_no_clock: bool,
}

impl AnswerClock {
    /// Returns whether the next call should not wait for a change, so that its answer is a new
    /// reference. The answers of a store without a clock give none.
    pub fn needs_reference(&self, now: Instant) -> bool {
        if self.store_has_no_clock {
            return false;
        }
        let is_recent = |reference: &Reference| now < reference.sent_at + REFERENCE_LIFETIME;
        self.reference.filter(is_recent).is_none()
    }

    /// Returns the latest instant that is certainly not after the one at which the store made an
    /// answer. `store_time` is the time that the answer states, if any.
    pub fn date(
        &mut self,
        sent_at: Instant,
        received_at: Instant,
        store_time: Option<StoreTime>,
    ) -> Instant {
        self.store_has_no_clock = store_time.is_none();
        let Some(store_time) = store_time else { return sent_at };
        let by_reference = self.reference.and_then(|reference| reference.project(store_time));
        match by_reference {
            Some(made_at)
                if sent_at < made_at
                    && made_at <= received_at
                    && !self.needs_reference(sent_at) =>
            {
                made_at
            }
            // The call itself dates the answer better, or the store's clock was set anew.
            _ => {
                self.reference = Some(Reference { sent_at, store_time });
                sent_at
            }
        }
    }
}

impl Reference {
    /// Returns the earliest instant at which the store's clock can have shown a later time; `None`
    /// for an earlier one.
    fn project(self, store_time: StoreTime) -> Option<Instant> {
        if store_time < self.store_time {
            return None;
        }
        let elapsed = store_time.saturating_since(self.store_time);
        let elapsed = elapsed.saturating_sub(STORE_TIME_RESOLUTION);
        Some(self.sent_at + (elapsed - elapsed / DRIFT_DIVISOR))
    }
}
