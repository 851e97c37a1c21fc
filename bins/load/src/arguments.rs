//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use wagtailmoor_core::{Requests, RequestsPerSecond};
use wagtailmoor_load::{DirectSettings, RunEndpoints};

/// Output format of results on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("expected table or json".to_owned()),
        }
    }
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Run {
        scenario: PathBuf,
        targets: RunEndpoints,
        out: PathBuf,
        bound: Duration,
        check: bool,
        format: Format,
    },
    Check {
        history: PathBuf,
        bound: Duration,
        format: Format,
    },
    Compare {
        left: PathBuf,
        right: PathBuf,
        format: Format,
    },
    Direct {
        settings: DirectSettings,
        format: Format,
    },
}

pub(crate) fn arguments() -> OptionParser<Command> {
    let run = run().to_options().descr("Runs a scenario and writes its history and report.");
    let run = run.command("run");
    let check = check().to_options().descr("Checks a history.").command("check");
    let compare = compare().to_options().descr("Prints two reports side by side.");
    let compare = compare.command("compare");
    let direct = direct().to_options();
    let direct = direct.descr("Measures a target directly and through an entry process.");
    let direct = direct.command("direct");
    construct!([run, check, compare, direct])
        .to_options()
        .descr("Runs load scenarios, checks their histories and compares their reports.")
        .footer("Exit codes: 0 success, 1 the checker found violations, 2 unusable input or I/O.")
        .version(env!("CARGO_PKG_VERSION"))
}

fn format() -> impl Parser<Format> {
    long("format")
        .help("Format of the result: table or json")
        .argument("FORMAT")
        .fallback(Format::Table)
}

fn bound() -> impl Parser<Duration> {
    long("withdrawal-bound-ms")
        .help("Longest time for which requests may still reach a withdrawn zone or target")
        .argument::<u64>("MS")
        .fallback(3_000)
        .map(Duration::from_millis)
}

fn run() -> impl Parser<Command> {
    let entries = long("entry")
        .help("Client address of an entry process; may be repeated")
        .argument::<SocketAddr>("IP:PORT")
        .many();
    let control = long("control")
        .help("Control address of the stand-ins, for scenario steps and recorded executions")
        .argument::<SocketAddr>("IP:PORT")
        .optional();
    let as_entry = long("as-entry")
        .help("The --entry addresses are targets: send the headers that an entry process adds")
        .switch();
    let targets = construct!(RunEndpoints { entries, control, as_entry });
    let out = long("out")
        .help("Directory for history.jsonl, report.json and report.html")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("."));
    let check = long("check").help("Checks the scenario and exits").switch();
    let (bound, format) = (bound(), format());
    let scenario = positional::<PathBuf>("SCENARIO").help("Scenario file (YAML)");
    construct!(Command::Run { targets, out, bound, check, format, scenario })
}

fn check() -> impl Parser<Command> {
    let (bound, format) = (bound(), format());
    let history = positional::<PathBuf>("HISTORY").help("File history.jsonl of a run");
    construct!(Command::Check { bound, format, history })
}

fn compare() -> impl Parser<Command> {
    let format = format();
    let left = positional::<PathBuf>("A").help("File report.json of a run");
    let right = positional::<PathBuf>("B").help("File report.json of another run");
    construct!(Command::Compare { format, left, right })
}

fn direct() -> impl Parser<Command> {
    let target = long("target").help("Address of the target").argument::<SocketAddr>("IP:PORT");
    let entry = long("entry").help("Client address of an entry process").argument("IP:PORT");
    let path = long("path").help("Path to request from both with GET").argument::<String>("PATH");
    let key = long("key").help("Customer key").argument::<String>("KEY").fallback(String::new());
    let customer = long("customer")
        .help("Customer ID sent to the target")
        .argument::<String>("ID")
        .fallback("c-1".to_owned());
    let requests = long("requests")
        .help("Requests sent to each of the two")
        .argument("N")
        .fallback(Requests::new(2_000));
    let rate = long("rate")
        .help("Requests per second to each of the two")
        .argument("N")
        .fallback(RequestsPerSecond::new(200));
    let timeout = long("timeout-ms")
        .help("Timeout of each request")
        .argument::<u64>("MS")
        .fallback(2_000)
        .map(Duration::from_millis);
    let settings =
        construct!(DirectSettings { target, entry, path, key, customer, requests, rate, timeout });
    let format = format();
    construct!(Command::Direct { settings, format })
}
