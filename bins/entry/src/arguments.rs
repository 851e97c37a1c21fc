//! Command line arguments.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    /// Path of the settings file.
    pub(crate) settings: PathBuf,
    /// Check the settings and exit.
    pub(crate) check: bool,
}

pub(crate) fn arguments() -> OptionParser<Arguments> {
    let settings = long("settings").help("YAML file with settings").argument::<PathBuf>("FILE");
    let check = long("check").help("check the settings and exit").switch();
    construct!(Arguments { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Accepts requests from clients and routes them to targets.")
        .footer(
            "The environment variable WAGTAILMOOR_LOG sets the log level. SIGTERM stops the \
             process after it has waited up to front.drain_max_ms for running requests. Exit \
             codes: 0 stopped by a signal, 1 failure, 2 usage error.",
        )
}
