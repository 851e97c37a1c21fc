//! Multi-window burn rate alert rules.

use serde::Serialize;

use crate::{Alert, Budget, BurnRate, Severity, Window};

/// Alert rule: the alert fires when the burn rate reaches a threshold in both a long and a short
/// window.
///
/// The long window shows that a significant part of the budget is used, the short one that the burn
/// continues.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AlertRule {
    /// Urgency of the alert.
    pub severity: Severity,
    /// The long window.
    pub long: Window,
    /// The short window, a twelfth of the long one.
    pub short: Window,
    /// Burn rate that both windows must reach.
    pub threshold: BurnRate,
}

impl AlertRule {
    /// All rules, the most urgent first.
    ///
    /// Burn at the threshold uses 2% of a 30-day budget in 1 h, 5% in 6 h and 10% in 3 days.
    pub const ALL: [Self; 3] = [
        Self::new(Severity::Page, Window::Hours1, Window::Minutes5, 14.4),
        Self::new(Severity::Page, Window::Hours6, Window::Minutes30, 6.0),
        Self::new(Severity::Ticket, Window::Days3, Window::Hours6, 1.0),
    ];

    /// Minimum number of requests in the long window that missed the objective.
    ///
    /// At low traffic, one or two bad requests exceed any burn rate without a persistent fault.
    pub const MIN_BAD_REQUESTS: u64 = 5;

    const fn new(severity: Severity, long: Window, short: Window, threshold: f64) -> Self {
        Self { severity, long, short, threshold: BurnRate::new(threshold) }
    }

    /// Returns the alert if the budgets of both windows meet the rule.
    pub fn evaluate(self, budget: impl Fn(Window) -> Budget) -> Option<Alert> {
        let (long, short) = (budget(self.long), budget(self.short));
        let reached = long.burn() >= self.threshold && short.burn() >= self.threshold;
        (reached && long.bad >= Self::MIN_BAD_REQUESTS).then(|| Alert {
            rule: self,
            long_burn: long.burn(),
            short_burn: short.burn(),
        })
    }
}
