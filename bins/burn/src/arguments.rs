//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use wagtailmoor_arguments::OutputFormat;

/// Where metrics are received and for how long.
#[derive(Clone, Debug)]
pub(crate) struct Listen {
    /// Address for statsd lines over UDP.
    pub(crate) listen: SocketAddr,
    /// Time to listen; without it until interrupted.
    pub(crate) span: Option<Duration>,
    /// File that receives the lines.
    pub(crate) record: Option<PathBuf>,
}

/// What to do.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Check,
    Read(PathBuf),
    Listen(Listen),
}

/// All arguments.
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
        .descr("Reports how fast each customer's error budget burns, the worst-served first.")
        .footer(
            "Exit codes: 0 no alert would page, 1 failure, 2 wrong usage, 3 an alert would page.",
        )
}

fn action() -> impl Parser<Action> {
    let check = long("check").help("check the site file and exit").req_flag(Action::Check);
    let read = long("read")
        .help("read a recording: one metric a line after milliseconds since 1970 and a space")
        .argument::<PathBuf>("FILE")
        .map(Action::Read);
    let listen = listen().map(Action::Listen);
    construct!([check, read, listen])
}

fn listen() -> impl Parser<Listen> {
    let listen = long("listen")
        .help("receive metrics of entry processes at this address")
        .argument::<SocketAddr>("IP:PORT");
    let span = long("for")
        .help("seconds to listen; without it until interrupted")
        .argument::<u64>("SECONDS")
        .map(Duration::from_secs)
        .optional();
    let record = long("record")
        .help("append what is received to a file that --read takes")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Listen { span, record, listen })
}
