//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use wagtailmoor_arguments::OutputFormat;

/// Options of the listen action.
#[derive(Clone, Debug)]
pub(crate) struct ListenOptions {
    /// UDP address that receives statsd lines.
    pub(crate) listen: SocketAddr,
    /// How long to listen; `None` until interrupted.
    pub(crate) duration: Option<Duration>,
    /// File to which the received lines are appended.
    pub(crate) record: Option<PathBuf>,
}

/// Source of the metrics, or only a check of the site file.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Check,
    Read(PathBuf),
    Listen(ListenOptions),
}

#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    pub(crate) site: PathBuf,
    pub(crate) format: OutputFormat,
    pub(crate) html: Option<PathBuf>,
    pub(crate) action: Action,
}

pub(crate) fn arguments() -> OptionParser<Arguments> {
    let site = long("site")
        .help("YAML file with the templates and customers of the site")
        .argument::<PathBuf>("FILE");
    let format = OutputFormat::argument();
    let html = long("html")
        .help("also write the report as an HTML page with plots")
        .argument::<PathBuf>("FILE")
        .optional();
    let action = action();
    construct!(Arguments { site, format, html, action })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Reports the burn rates of customers' error budgets, the worst-served first.")
        .footer(
            "Exit codes: 0 no page alert fires, 1 failure, 2 usage error, 3 a page alert fires.",
        )
}

fn action() -> impl Parser<Action> {
    let check = long("check").help("check the site file and exit").req_flag(Action::Check);
    let read = long("read")
        .help("read a recording; each line is a Unix time in milliseconds, a space and a metric")
        .argument::<PathBuf>("FILE")
        .map(Action::Read);
    let listen = listen().map(Action::Listen);
    construct!([check, read, listen])
}

fn listen() -> impl Parser<ListenOptions> {
    let listen = long("listen")
        .help("receive metrics from entry processes on this UDP address")
        .argument::<SocketAddr>("IP:PORT");
    let duration = long("for")
        .help("seconds to listen; until interrupted if not given")
        .argument::<u64>("SECONDS")
        .map(Duration::from_secs)
        .optional();
    let record = long("record")
        .help("append the received metrics to a file that --read accepts")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(ListenOptions { duration, record, listen })
}
