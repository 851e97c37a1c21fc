//! Rows of a report.

use std::time::Duration;

use serde::Serialize;

use crate::{
    Alert, AlertRule, Budget, BudgetShare, BurnRate, Counts, Indicator, Series, Severity, Subject,
    TimelinePoint, UnixMillis, Window, WindowBurn,
};

/// Maximum number of points in the timeline of a row.
const TIMELINE_STEPS: u32 = 60;

/// Minimum distance between points of a timeline, one bucket of the series.
const TIMELINE_MIN_STEP: Duration = Duration::from_secs(10);

/// One objective of one customer and template, or of the total.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Customer and template; `None` for the total.
    pub subject: Option<Subject>,
    /// Indicator of the objective.
    pub indicator: Indicator,
    /// Share of requests that must meet the objective, weighted by requests in a total; `None` if
    /// no request is covered.
    pub target: Option<f64>,
    /// Latency objective; `None` for the total, which may cover several.
    pub latency_ms: Option<u64>,
    /// Whether the default objective is used because the site file has no such template.
    pub assumed: bool,
    /// Share of the covered requests that met the objective; `None` if no request is covered.
    pub achieved: Option<f64>,
    /// Share of the error budget that is used in the period.
    pub used: BudgetShare,
    /// Request counts of the period.
    pub counts: Counts,
    /// Error budget of the period.
    pub budget: Budget,
    /// Burn rate in each window, the shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Alerts that fire at the time of the report.
    pub alerts: Vec<Alert>,
    /// Burn rate over the time for which there is data, oldest point first.
    pub timeline: Vec<TimelinePoint>,
}

impl Row {
    /// Evaluates an objective at the end of `span`. `budget` returns the error budget of the period
    /// of the given length that ends at the given time.
    pub(crate) fn new(
        span: (UnixMillis, UnixMillis),
        indicator: Indicator,
        counts: Counts,
        budget: impl Fn(UnixMillis, Duration) -> Budget,
    ) -> Self {
        let (_, end) = span;
        let period = budget(end, Series::PERIOD);
        let budget_of = |window: Window| budget(end, window.length());
        Self {
            subject: None,
            indicator,
            target: period.target(),
            latency_ms: None,
            assumed: false,
            achieved: (period.judged > 0).then(|| 1.0 - period.bad as f64 / period.judged as f64),
            used: period.used(),
            counts,
            budget: period,
            windows: Window::ALL
                .iter()
                .map(|&window| WindowBurn::new(window, &budget_of(window)))
                .collect(),
            alerts: AlertRule::ALL.iter().filter_map(|rule| rule.evaluate(budget_of)).collect(),
            timeline: timeline(span, budget),
        }
    }

    /// Returns the severity of the most urgent alert; `None` if no alert fires.
    pub fn severity(&self) -> Option<Severity> {
        self.alerts.iter().map(|alert| alert.rule.severity).max()
    }

    /// Returns the burn rate in a window.
    pub fn burn(&self, window: Window) -> BurnRate {
        let burn = self.windows.iter().find(|entry| entry.window == window);
        burn.map_or(BurnRate::default(), |entry| entry.burn)
    }
}

fn timeline(
    (begin, end): (UnixMillis, UnixMillis),
    budget: impl Fn(UnixMillis, Duration) -> Budget,
) -> Vec<TimelinePoint> {
    let covered = Duration::from_millis(end.get().saturating_sub(begin.get()));
    let step = (covered.min(Series::PERIOD) / TIMELINE_STEPS).max(TIMELINE_MIN_STEP);
    let ends = (0..TIMELINE_STEPS).rev().map(|steps| end.before(step * steps));
    let point = |end| TimelinePoint { end_unix_ms: end, burn: budget(end, step).burn() };
    ends.filter(|point| *point >= begin).map(point).collect()
}
