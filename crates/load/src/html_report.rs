//! Formats reports as HTML pages with plots.

use std::fmt::Write;

use plotters::prelude::*;

use crate::table::report_table;
use crate::{Report, SecondStats};

const PLOT_SIZE_PX: (u32, u32) = (960, 320);

/// A line of a plot: name, colour and points.
type PlotLine = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Error while drawing a plot.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("plot: {message}"))]
pub struct PlotError {
    message: String,
}

/// Returns an HTML page with plots of requests and latency over the run, its steps and the table of
/// [`report_table`].
pub fn report_page(report: &Report) -> Result<String, PlotError> {
    let requests = [
        line("success", GREEN, report, |second| second.succeeded as f64),
        line("refused", BLUE, report, |second| second.refused as f64),
        line("failed", RED, report, |second| second.failed as f64),
    ];
    let latency = [
        line("p50", BLUE, report, |second| second.latency.p50_us as f64 / 1e3),
        line("p99", RED, report, |second| second.latency.p99_us as f64 / 1e3),
    ];
    let plots = [
        plot("Requests planned in each second", &requests, report)?,
        plot("Latency of successes, ms", &latency, report)?,
    ];
    let name = escape(&report.facts.scenario);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title>\
         </head>\n<body><h1>{name}</h1>\n{}\n<h2>Steps</h2><ol>\n",
        plots.join("\n")
    );
    for step in &report.facts.steps {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "<li>{} ms: {}</li>", step.at_ms, escape(&step.name));
    }
    let _ = writeln!(page, "</ol>\n<pre>{}</pre></body></html>", escape(&report_table(report)));
    Ok(page)
}

fn line(
    name: &'static str,
    colour: RGBColor,
    report: &Report,
    value: impl Fn(&SecondStats) -> f64,
) -> PlotLine {
    let points = report.seconds.iter().map(|second| (second.at_s as f64, value(second)));
    (name, colour, points.collect())
}

fn plot(title: &str, lines: &[PlotLine], report: &Report) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, title, lines, report)
        .map_err(|error| PlotError { message: error.to_string() })?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    lines: &[PlotLine],
    report: &Report,
) -> Result<(), Box<dyn std::error::Error>> {
    let highest = lines.iter().flat_map(|line| &line.2).map(|point| point.1).fold(1.0, f64::max);
    let end = report.facts.duration_ms as f64 / 1e3;
    let area = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for step in &report.facts.steps {
        let at_s = step.at_ms as f64 / 1e3;
        let points = [(at_s, 0.0), (at_s, highest * 1.1)];
        chart.draw_series(LineSeries::new(points, BLACK.mix(0.3)))?;
    }
    for (name, colour, points) in lines {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
