//! How many requests one target can hold.

use std::time::Duration;

use wagtailmoor_core::Instant;

/// Time constant with which the highest load without a rejection is forgotten, so that a target
/// whose queue became shorter gets a lower limit.
const HELD_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Signals within this time belong to the same overrun, which several nodes report.
const SAME_OVERRUN: Duration = Duration::from_millis(500);

/// Part of the limit by which it rises in each second without a signal. Each rise above what the
/// target holds costs a rejection, so a busy target pays one in about three seconds.
const RAISE_PER_S: f64 = 0.02;

/// Without a signal for this long, the target has no limit.
const SIGNAL_LIFETIME: Duration = Duration::from_secs(60);

/// The number of requests that one target can hold, running and queued. Learned from the load that
/// the target states in answers, and from signals: rejections and requests without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldingLimit {
    /// Limit at the last signal.
    limit: f64,
    signalled_at: Option<Instant>,
    /// Highest load stated in an answer.
    held: f64,
    held_at: Option<Instant>,
}

impl HoldingLimit {
    /// Records that the target stated a load of `level` requests in an answer.
    pub fn on_held(&mut self, now: Instant, level: f64) {
        if level >= self.held(now) {
            self.held = level;
            self.held_at = Some(now);
        }
    }

    /// Records that the target rejected a request or did not answer it while nodes had `level`
    /// requests at it. With free slots that is no sign of a full target.
    pub fn on_signal(&mut self, now: Instant, slots: f64, level: f64) {
        let repeated = self.signalled_at.is_some_and(|at| now < at + SAME_OVERRUN);
        if !repeated && level > slots {
            let current = self.get(now).unwrap_or(f64::INFINITY);
            let lowered = current.min(level) - 1.0;
            self.limit = lowered.max(self.held(now)).max(slots);
            self.signalled_at = Some(now);
        }
    }

    /// Returns the limit, or `None` if the target gave no recent signal or states no load.
    pub fn get(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_since(self.signalled_at?);
        self.held_at?;
        let raised = self.limit * (1.0 + RAISE_PER_S * age.as_secs_f64());
        (age < SIGNAL_LIFETIME).then(|| raised.max(self.held(now)))
    }

    /// Returns whether the target gave a recent signal.
    fn is_signalled(&self, now: Instant) -> bool {
        self.signalled_at.is_some_and(|at| now < at + SIGNAL_LIFETIME)
    }

    /// Returns whether anything recent is known of what the target holds.
    pub fn is_known(&self, now: Instant) -> bool {
        let held = self.held_at.is_some_and(|at| now < at + HELD_TIME_CONSTANT);
        held || self.is_signalled(now)
    }

    /// Returns the highest load without a rejection, less the part that is forgotten.
    fn held(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.held_at.unwrap_or_default());
        self.held * (-age.as_secs_f64() / HELD_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
