//! Runs stand-ins for the platform and for keyed and pooled targets, configured by a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use tokio::runtime;
use tokio::task::LocalSet;
use wagtailmoor_standin::{Settings, StandIn};

/// Exit code for unusable settings.
const EXIT_SETTINGS: u8 = 2;

struct Arguments {
    settings: PathBuf,
    check: bool,
}

fn arguments() -> OptionParser<Arguments> {
    let settings = long("settings").help("Settings file (YAML)").argument::<PathBuf>("FILE");
    let check = long("check").help("Checks the settings and exits").switch();
    construct!(Arguments { settings, check })
        .to_options()
        .descr("Runs stand-ins for the platform and for keyed and pooled targets.")
        .footer("Exit codes: 0 success, 1 a listener failed, 2 unusable settings.")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments = match wagtailmoor_arguments::parse(arguments()) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings=valid targets={}", settings.expanded().len());
        return ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: &Settings) -> std::io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let stand_in = StandIn::start(settings).await?;
        stand_in.listeners().iter().for_each(|listener| println!("{listener}"));
        wait_for_signal().await
    })
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result,
        _ = terminate.recv() => Ok(()),
    }
}
