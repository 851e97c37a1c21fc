//! Command line tool for operators.

mod arguments;
mod cluster;
mod edit;
mod failure;
mod inspect;
mod output;
mod routers;
mod secret;

use std::process::ExitCode;

use crate::arguments::{Arguments, Command, arguments};
use crate::failure::Failure;
use crate::output::Output;

fn main() -> ExitCode {
    let arguments = match wagtailmoor_arguments::parse(arguments()) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    let output = Output::new(arguments.format);
    match wagtailmoor_arguments::run_event_loop(run(&arguments, &output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.print_failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(arguments: &Arguments, output: &Output) -> Result<(), Failure> {
    let site = &arguments.site;
    match &arguments.command {
        Command::Check { file } => edit::check(output, file),
        Command::Apply { file, dry_run, wait_s } => {
            edit::apply(site, output, file, *dry_run, *wait_s).await
        }
        Command::Diff { file } => edit::diff(site, output, file).await,
        Command::Grant { customer, key, secret_file, wait_s } => {
            edit::grant(site, output, customer, key, secret_file.as_deref(), *wait_s).await
        }
        Command::Withdraw { key, wait_s } => edit::withdraw(site, output, key, *wait_s).await,
        Command::Drain { scope, wait_s } => edit::drain(site, output, scope, *wait_s).await,
        Command::Return { scope, wait_s } => {
            edit::return_to_service(site, output, scope, *wait_s).await
        }
        Command::RemoveCustomer { customer } => edit::remove_customer(site, output, customer).await,
        Command::History { limit } => inspect::history(site, output, *limit).await,
        Command::Show => inspect::show(site, output).await,
        Command::Status { wait_s } => inspect::status(site, output, *wait_s).await,
        Command::Router(view) => routers::show(site, output, view).await,
        Command::Owners { back_end, key } => inspect::owners(site, output, back_end, key).await,
    }
}
