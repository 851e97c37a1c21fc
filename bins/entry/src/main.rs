//! The entry process: accepts requests from clients and routes them to targets.

mod arguments;

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use wagtailmoor_settings::{EntrySettings, SettingsError, load};
use wagtailmoor_telemetry::init_logging;

use crate::arguments::{Arguments, arguments};

fn main() -> ExitCode {
    let arguments = match wagtailmoor_arguments::parse(arguments()) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    init_logging();
    let settings = match read_settings(&arguments) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if arguments.check {
        println!("valid");
        return ExitCode::SUCCESS;
    }
    wagtailmoor_arguments::run_event_loop(run(settings))
}

fn read_settings(arguments: &Arguments) -> Result<EntrySettings, SettingsError> {
    let settings: EntrySettings = load(&arguments.settings)?;
    settings.check(&arguments.settings)?;
    Ok(settings)
}

async fn run(settings: EntrySettings) -> ExitCode {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return fail(&format!("cannot handle SIGTERM: {error}")),
    };
    let entry = match wagtailmoor_entry::start(settings).await {
        Ok(entry) => entry,
        Err(error) => return fail(&error.to_string()),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    entry.stop().await;
    ExitCode::SUCCESS
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("error: {problem}");
    ExitCode::FAILURE
}
