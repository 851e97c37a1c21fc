//! A complete site in one process: a simulated platform, simulated targets and two entry processes,
//! all on one thread.

mod arguments;
mod site;

use std::process::ExitCode;

use wagtailmoor_telemetry::init_logging;

use crate::arguments::{Arguments, arguments};
use crate::site::{DemoError, Site};

fn main() -> ExitCode {
    let arguments = match wagtailmoor_arguments::parse(arguments()) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    init_logging();
    match wagtailmoor_arguments::run_event_loop(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), DemoError> {
    let site = Site::start(arguments.listen).await?;
    println!("platform, {} targets and 2 entry processes run in this process", site.targets());
    site.configure().await?;
    println!("stored zones, a template and customer hotel-sur as configuration {}", site.version());
    site.wait_for_owners().await?;
    println!("every slot of back end feeds has an owner; try:\n");
    for line in site.examples() {
        println!("  {line}");
    }
    println!("\nstop with Ctrl-C");
    // If no handler can be installed, this returns at once and the demo stops.
    drop(tokio::signal::ctrl_c().await);
    site.stop().await;
    println!("stopped");
    Ok(())
}
