//! Reports the burn rates of customers' error budgets.

mod arguments;
mod failure;
mod listen;
mod recording;
mod site;

use std::fs;
use std::io::Error as IoError;
use std::process::ExitCode;

use snafu::ResultExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use wagtailmoor_arguments::OutputFormat;
use wagtailmoor_burn::{MetricAggregator, Report, Severity, UnixMillis, report_page, report_table};

use crate::arguments::{Action, Arguments, arguments};
use crate::failure::{Failure, FileSnafu, SocketSnafu};

const EXIT_FAILURE: u8 = 1;
const EXIT_PAGE: u8 = 3;

fn main() -> ExitCode {
    wagtailmoor_telemetry::init_logging();
    let arguments = match wagtailmoor_arguments::parse(arguments()) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    match run(&arguments) {
        Ok(Some(Severity::Page)) => ExitCode::from(EXIT_PAGE),
        Ok(_) => ExitCode::SUCCESS,
        Err(failure) => {
            print_failure(arguments.format, &failure);
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Executes the action and returns the most urgent severity of the alerts.
fn run(arguments: &Arguments) -> Result<Option<Severity>, Failure> {
    let site = site::read(&arguments.site)?;
    let mut aggregator = site::aggregator(&site);
    let end = match &arguments.action {
        Action::Check => {
            print_valid(arguments.format);
            return Ok(None);
        }
        Action::Read(path) => {
            recording::read(path, &mut aggregator).context(FileSnafu { path })?;
            aggregator.latest().unwrap_or_default()
        }
        Action::Listen(options) => {
            block_on_local(listen::listen(options, &mut aggregator))?;
            listen::now()
        }
    };
    report(arguments, &aggregator, end)
}

fn block_on_local<F>(work: F) -> Result<(), Failure>
where
    F: Future<Output = Result<(), Failure>>,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context(SocketSnafu)?;
    LocalSet::new().block_on(&runtime, work)
}

fn report(
    arguments: &Arguments,
    aggregator: &MetricAggregator,
    end: UnixMillis,
) -> Result<Option<Severity>, Failure> {
    let report = aggregator.report(end);
    let input = &report.input;
    if input.first_unix_ms.is_none() {
        return Err(Failure::NoMetric { lines: input.lines, malformed: input.malformed });
    }
    print_report(arguments.format, &report);
    if let Some(path) = &arguments.html {
        let result: Result<(), IoError> = fs::write(path, report_page(&report)?);
        result.context(FileSnafu { path })?;
    }
    Ok(report.severity())
}

fn print_report(format: OutputFormat, report: &Report) {
    match format {
        OutputFormat::Text => println!("{}", report_table(report)),
        OutputFormat::Json => println!(
            "{}",
            serde_json::to_string_pretty(report).expect("reports are representable in JSON")
        ),
    }
}

fn print_valid(format: OutputFormat) {
    match format {
        OutputFormat::Text => println!("valid"),
        OutputFormat::Json => println!("{}", serde_json::json!({"valid": true})),
    }
}

fn print_failure(format: OutputFormat, failure: &Failure) {
    match format {
        OutputFormat::Text => eprintln!("error: {failure}"),
        OutputFormat::Json => eprintln!(
            "{}",
            serde_json::json!({"error": failure.to_string(), "exit_code": EXIT_FAILURE})
        ),
    }
}
