//! Reports as text tables.

use crate::{Report, Row, Subject, Window};

const HEADER: [&str; 15] = [
    "customer",
    "template",
    "indicator",
    "objective",
    "achieved",
    "used",
    "5m",
    "30m",
    "1h",
    "6h",
    "3d",
    "judged",
    "bad",
    "excluded",
    "alerts",
];

/// Returns a report as a text table with notes below it.
pub fn report_table(report: &Report) -> String {
    let rows: Vec<Vec<String>> = report.rows.iter().chain(&report.total).map(cells).collect();
    let header = HEADER.map(String::from);
    let widths: Vec<usize> = (0..HEADER.len())
        .map(|column| rows.iter().chain([&header.to_vec()]).map(|row| row[column].len()).max())
        .map(Option::unwrap_or_default)
        .collect();
    let lines = [header.to_vec()].into_iter().chain(rows).map(|row| line(&row, &widths));
    let mut text = lines.collect::<Vec<_>>().join("\n");
    notes(report).iter().for_each(|note| {
        text.push('\n');
        text.push_str(note);
    });
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    padded.collect::<Vec<_>>().join("  ").trim_end().to_string()
}

/// Returns the cells of a row in the order of the header.
pub(crate) fn cells(row: &Row) -> Vec<String> {
    let subject = row.subject.as_ref();
    let share = |share: Option<f64>| share.map_or("-".into(), percent);
    let assumed = if row.assumed { "*" } else { "" };
    let alerts: Vec<String> = row.alerts.iter().map(ToString::to_string).collect();
    let mut cells = vec![
        subject.map_or("total", Subject::customer_text).into(),
        subject.map_or("all", Subject::template_text).into(),
        row.indicator.to_string(),
        format!("{}{assumed}", share(row.target)),
        share(row.achieved),
        row.used.to_string(),
    ];
    cells.extend(Window::ALL.map(|window| row.burn(window).to_string()));
    cells.extend([row.budget.judged, row.budget.bad, row.counts.excluded].map(|n| n.to_string()));
    cells.push(if alerts.is_empty() { "-".into() } else { alerts.join(", ") });
    cells
}

/// Returns the column names.
pub(crate) fn header() -> &'static [&'static str] {
    &HEADER
}

/// Returns notes on the input and on the rows.
pub(crate) fn notes(report: &Report) -> Vec<String> {
    let input = &report.input;
    let first = input.first_unix_ms.unwrap_or(report.end_unix_ms);
    let mut notes = vec![format!(
        "input: {} s of data, {} lines, {} requests, {} other metrics, {} malformed lines",
        report.end_unix_ms.get().saturating_sub(first.get()) / 1_000,
        input.lines,
        input.requests,
        input.other,
        input.malformed
    )];
    let examples = input.examples.iter();
    notes.extend(examples.map(|entry| format!("malformed: {:?}: {}", entry.line, entry.fault)));
    if input.answered != input.timed {
        notes.push(format!(
            "lost metrics: {} answered requests were counted, {} have a latency",
            input.answered, input.timed
        ));
    }
    if report.rows.iter().any(|row| row.assumed) {
        notes.push(
            "*: the default objective is used because the site file has no such template".into(),
        );
    }
    if !report.silent.is_empty() {
        let silent: Vec<&str> = report.silent.iter().map(|customer| customer.as_str()).collect();
        notes.push(format!("no requests from: {}", silent.join(", ")));
    }
    notes
}

/// Formats a share with up to four decimals, which distinguish 99.99% from 99.999%; objectives are
/// given in parts per million.
fn percent(share: f64) -> String {
    let text = format!("{:.4}", share * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}
