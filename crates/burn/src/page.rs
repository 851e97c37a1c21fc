//! Reports as HTML pages with plots.

use std::error::Error;

use plotters::prelude::*;

use crate::table::{cells, header, notes};
use crate::{AlertRule, Report, Row, Subject};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 240);

/// Maximum number of plots: the totals and the worst rows. With more plots the page opens slowly.
const PLOTS_MAX: usize = 24;

const STYLE: &str = "body{font-family:sans-serif}table{border-collapse:collapse}\
     td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}\
     tr.page{background:#f9c9c9}tr.ticket{background:#fbeec0}";

/// Error while drawing a plot.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("plot: {message}"))]
pub struct PageError {
    message: String,
}

/// Returns an HTML page with the table and a plot of the burn rate for the totals and for the worst
/// rows that used budget.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn.
pub fn report_page(report: &Report) -> Result<String, PageError> {
    let rows = || report.rows.iter().chain(&report.total);
    let body: String = rows().map(table_row).collect();
    let head: String = header().iter().map(|name| format!("<th>{name}</th>")).collect();
    let notes = notes(report).iter().map(|note| format!("<li>{}</li>", escape(note))).collect();
    let worst = report.total.iter().chain(report.rows.iter().filter(|row| row.budget.bad > 0));
    let plots = worst.take(PLOTS_MAX).map(plot).collect::<Result<Vec<_>, _>>()?;
    let (notes, plots): (String, String) = (notes, plots.join("\n"));
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\
         <h1>Service-level burn</h1>\n<table><tr>{head}</tr>\n{body}</table>\n\
         <ul>{notes}</ul>\n{plots}\n</body></html>\n"
    ))
}

fn table_row(row: &Row) -> String {
    let class = row.severity().map(|severity| severity.to_string()).unwrap_or_default();
    let cells = cells(row).into_iter().map(|cell| format!("<td>{}</td>", escape(&cell)));
    format!("<tr class=\"{class}\">{}</tr>\n", cells.collect::<String>())
}

fn plot(row: &Row) -> Result<String, PageError> {
    let mut svg = String::new();
    draw(&mut svg, row).map_err(|error| PageError { message: error.to_string() })?;
    Ok(svg)
}

fn draw(svg: &mut String, row: &Row) -> Result<(), Box<dyn Error>> {
    let subject = row.subject.as_ref().map_or("total".into(), Subject::to_string);
    let title = format!("Burn rate: {subject}, {}", row.indicator);
    let end = row.timeline.last().map_or(0, |point| point.end_unix_ms.get());
    let minutes = |unix_ms: u64| (unix_ms as f64 - end as f64) / 60e3;
    let points = row.timeline.iter().map(|point| (minutes(point.end_unix_ms.get()), point.burn));
    let points: Vec<(f64, f64)> = points.map(|(at, burn)| (at, burn.get())).collect();
    let first = points.first().map_or(-1.0, |point| point.0).min(-1.0);
    let highest = points.iter().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(first..0.0, 0.0..highest)?;
    chart.configure_mesh().x_desc("minutes before the report").draw()?;
    for threshold in AlertRule::ALL.map(|rule| rule.threshold.get()) {
        if threshold <= highest {
            let line = [(first, threshold), (0.0, threshold)];
            chart.draw_series(LineSeries::new(line, RED.mix(0.4)))?;
        }
    }
    chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
