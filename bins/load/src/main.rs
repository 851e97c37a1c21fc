//! Runs load scenarios, checks their histories and compares their reports.

mod arguments;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let command = match wagtailmoor_arguments::parse(arguments::arguments()) {
        Ok(command) => command,
        Err(exit_code) => return exit_code,
    };
    match commands::execute(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(commands::EXIT_UNUSABLE)
        }
    }
}
