//! Execution of the commands.

use std::error::Error;
use std::fs;
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use serde::Serialize;
use tokio::runtime;
use tokio::task::LocalSet;
use wagtailmoor_history::{Checker, History};
use wagtailmoor_load::{
    Report, RunEndpoints, Scenario, Step, checks_table, compare_table, direct_table, report_page,
    report_table,
};

use crate::arguments::{Command, Format};

/// Exit code if the checker found violations.
const EXIT_VIOLATIONS: u8 = 1;

/// Exit code for unusable input and for I/O errors.
pub(crate) const EXIT_UNUSABLE: u8 = 2;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

pub(crate) fn execute(command: Command) -> Result<ExitCode> {
    match command {
        Command::Run { scenario, check: true, .. } => {
            let scenario = Scenario::read(&scenario)?;
            println!("scenario=valid name={}", scenario.name);
            Ok(ExitCode::SUCCESS)
        }
        Command::Run { scenario, targets, out, bound, format, .. } => {
            run(Scenario::read(&scenario)?, &targets, &out, bound, format)
        }
        Command::Check { history, bound, format } => {
            let checks = Checker { withdrawal_bound: bound }.check(&History::read(&history)?);
            print_result(format, &checks, || checks_table(&checks))?;
            Ok(exit_code(checks.iter().map(|check| check.findings).sum()))
        }
        Command::Compare { left, right, format } => {
            let (left, right) = (read_report(&left)?, read_report(&right)?);
            print_result(format, &[&left, &right], || compare_table(&left, &right))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Direct { settings, format } => {
            let direct = block_on_local(wagtailmoor_load::compare_direct(&settings))?;
            print_result(format, &direct, || direct_table(&direct))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run(
    scenario: Scenario,
    targets: &RunEndpoints,
    out: &Path,
    bound: Duration,
    format: Format,
) -> Result<ExitCode> {
    if targets.entries.is_empty() {
        return Err("at least one --entry is needed".into());
    }
    fs::create_dir_all(out)?;
    let result = block_on_local(wagtailmoor_load::run(scenario, targets, announce_step))??;
    result.history.write(&out.join("history.jsonl"))?;
    let report = Report::new(result.facts, &result.history, bound);
    fs::write(out.join("report.json"), serde_json::to_vec_pretty(&report)?)?;
    fs::write(out.join("report.html"), report_page(&report)?)?;
    print_result(format, &report, || report_table(&report))?;
    Ok(exit_code(report.findings()))
}

/// Prints a scenario step to standard error, so that standard output contains only the result.
fn announce_step(step: &Step) {
    let announcement = step.announce.as_deref().unwrap_or_default();
    eprintln!("event=step at_ms={} announce={announcement:?}", step.at_ms.value);
}

fn read_report(path: &Path) -> Result<Report> {
    let text = fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let report = serde_json::from_slice(&text);
    report.map_err(|error| format!("{}: {error}", path.display()).into())
}

fn block_on_local<F: Future>(work: F) -> std::io::Result<F::Output> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, work))
}

fn print_result<T: Serialize>(
    format: Format,
    result: &T,
    table: impl Fn() -> String,
) -> Result<()> {
    match format {
        Format::Table => print!("{}", table()),
        Format::Json => println!("{}", serde_json::to_string_pretty(result)?),
    }
    Ok(())
}

fn exit_code(findings: u64) -> ExitCode {
    match findings {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_VIOLATIONS),
    }
}
