//! The burn report.

use std::cmp::Ordering;

use serde::Serialize;
use wagtailmoor_core::{CustomerId, SortedVec};

use crate::{
    Budget, BudgetShare, Counts, Indicator, InputSummary, Objectives, Row, Series, Severity,
    Subject, UnixMillis,
};

/// Use of the error budgets of a site, evaluated at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Time at which the report is evaluated.
    pub end_unix_ms: UnixMillis,
    /// Statistics of the input.
    pub input: InputSummary,
    /// Totals over all customers and templates, one row per indicator.
    pub total: Vec<Row>,
    /// Rows per customer, template and indicator, the worst-served customer first.
    pub rows: Vec<Row>,
    /// Customers of the site without any request in the input.
    pub silent: Vec<CustomerId>,
}

impl Report {
    pub(crate) fn new(
        end: UnixMillis,
        objectives: &Objectives,
        customers: &[CustomerId],
        series: &SortedVec<Subject, Series>,
        input: InputSummary,
    ) -> Self {
        let span = (input.first_unix_ms.unwrap_or(end).max(end.before(Series::PERIOD)), end);
        let mut rows: Vec<Row> = series
            .iter()
            .flat_map(|(subject, series)| subject_rows(span, objectives, subject, series))
            .collect();
        sort_rows(&mut rows);
        let total = Indicator::ALL.map(|indicator| total_row(span, objectives, series, indicator));
        let has_requests = |customer: &CustomerId| {
            series.keys().any(|subject| subject.customer.as_ref() == Some(customer))
        };
        let silent = customers.iter().filter(|customer| !has_requests(customer)).cloned().collect();
        Self { end_unix_ms: end, input, total: total.into(), rows, silent }
    }

    /// Returns the severity of the most urgent alert; `None` if no alert fires.
    pub fn severity(&self) -> Option<Severity> {
        self.total.iter().chain(&self.rows).filter_map(Row::severity).max()
    }
}

/// Returns the rows of a subject. An indicator that covers no request is omitted, except that the
/// availability row is kept so that a subject with only excluded requests is listed.
fn subject_rows(
    span: (UnixMillis, UnixMillis),
    objectives: &Objectives,
    subject: &Subject,
    series: &Series,
) -> Vec<Row> {
    let template = subject.template.as_ref();
    let objective = objectives.get_or_default(template);
    let counts = series.within(span.1, Series::PERIOD);
    let row = |indicator: Indicator| Row {
        subject: Some(subject.clone()),
        latency_ms: Some(objective.latency_ms),
        assumed: objectives.get(template).is_none(),
        ..Row::new(span, indicator, counts, |end, length| {
            indicator.budget(&objective, &series.within(end, length))
        })
    };
    let rows = Indicator::ALL.map(row).into_iter();
    rows.filter(|row| row.budget.judged > 0 || row.indicator == Indicator::Availability).collect()
}

fn total_row(
    span: (UnixMillis, UnixMillis),
    objectives: &Objectives,
    series: &SortedVec<Subject, Series>,
    indicator: Indicator,
) -> Row {
    let mut counts = Counts::default();
    series.values().for_each(|series| counts += series.within(span.1, Series::PERIOD));
    Row::new(span, indicator, counts, |end, length| {
        let mut sum = Budget::default();
        for (subject, series) in series.iter() {
            let objective = objectives.get_or_default(subject.template.as_ref());
            sum += indicator.budget(&objective, &series.within(end, length));
        }
        sum
    })
}

/// Sort key of a row or customer: severity of its alerts, then used share of the budget.
type Rank = (Option<Severity>, BudgetShare);

fn rank(row: &Row) -> Rank {
    (row.severity(), row.used)
}

fn compare_ranks(left: &Rank, right: &Rank) -> Ordering {
    right.0.cmp(&left.0).then(right.1.get().total_cmp(&left.1.get()))
}

/// Sorts the worst-served customer first and keeps the rows of a customer together.
fn sort_rows(rows: &mut [Row]) {
    let mut customers: SortedVec<Option<CustomerId>, Rank> = SortedVec::new();
    for row in rows.iter() {
        let worst = customers.get_or_insert_with(customer(row), || rank(row));
        if compare_ranks(&rank(row), worst).is_lt() {
            *worst = rank(row);
        }
    }
    rows.sort_by(|left, right| {
        let customer_rank = |row: &Row| customers.get(&customer(row)).copied().unwrap_or(rank(row));
        compare_ranks(&customer_rank(left), &customer_rank(right))
            .then_with(|| customer(left).cmp(&customer(right)))
            .then_with(|| compare_ranks(&rank(left), &rank(right)))
    });
}

fn customer(row: &Row) -> Option<CustomerId> {
    row.subject.as_ref().and_then(|subject| subject.customer.clone())
}
