//! Budget for retries and hedges.

use std::time::Duration;

use wagtailmoor_core::{Instant, PartsPerMillion};

const WINDOW_SLOTS: usize = 10;
const SLOT_LENGTH: Duration = Duration::from_secs(1);

/// Budget for further attempts (retries and hedges): a share of the first attempts of the last ten
/// seconds, and at least one each second.
///
/// The minimum lets a nearly idle node retry; the share keeps retries from amplifying an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: PartsPerMillion,
    floor_per_s: u32,
    current_slot: u64,
    slots: [Attempts; WINDOW_SLOTS],
}

#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    first: u32,
    further: u32,
}

impl RetryBudget {
    /// Default ratio of further attempts to first attempts.
    pub const DEFAULT_SHARE: PartsPerMillion = PartsPerMillion::new(100_000);

    /// Creates a budget with a minimum of one further attempt each second.
    pub fn new(share: PartsPerMillion) -> Self {
        Self { share, floor_per_s: 1, current_slot: 0, slots: [Attempts::default(); WINDOW_SLOTS] }
    }

    /// Sets the number of further attempts that are allowed each second regardless of the share.
    pub fn with_floor(self, floor_per_s: u32) -> Self {
        Self { floor_per_s, ..self }
    }

    /// Records a first attempt.
    pub fn record_first(&mut self, now: Instant) {
        self.slot(now).first += 1;
    }

    /// Takes one retry or hedge from the budget; returns `false` if the budget is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.slot(now).further += 1;
        }
        allowed
    }

    /// Returns the number of further attempts that the budget allows now.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.slot(now);
        let first: u32 = self.slots.iter().map(|slot| slot.first).sum();
        let further: u32 = self.slots.iter().map(|slot| slot.further).sum();
        // The minimum applies to the current second only, so that it does not accumulate.
        let used_now = self.slots[self.index()].further;
        let floor = f64::from(self.floor_per_s.saturating_sub(used_now));
        (self.share.of(f64::from(first)) - f64::from(further)).max(floor)
    }

    fn slot(&mut self, now: Instant) -> &mut Attempts {
        let number = now.as_us()
            / u64::try_from(SLOT_LENGTH.as_micros()).expect("the slot length fits in 64 bits");
        let elapsed = number.saturating_sub(self.current_slot).min(WINDOW_SLOTS as u64);
        for _ in 0..elapsed {
            self.current_slot += 1;
            let index = self.index();
            self.slots[index] = Attempts::default();
        }
        self.current_slot = self.current_slot.max(number);
        let index = self.index();
        &mut self.slots[index]
    }

    fn index(&self) -> usize {
        (self.current_slot % WINDOW_SLOTS as u64) as usize
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Self::DEFAULT_SHARE)
    }
}
