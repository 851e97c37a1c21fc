//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use wagtailmoor_arguments::OutputFormat;
use wagtailmoor_core::{BackEndId, CustomerId, CustomerKeyId, HostId, TargetId, ZoneId};

/// Addresses of the site, and the author of changes.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    /// Address of the platform.
    pub(crate) platform: SocketAddr,
    /// Addresses given with `--node`: control addresses of entry processes, or metrics addresses of
    /// router processes. If empty, the entry processes of the host list are used.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Author that the history shows for changes.
    pub(crate) author: String,
}

/// Zone, host or target that is taken out of service or put back into it.
#[derive(Clone, Debug)]
pub(crate) enum ServiceScope {
    Zone(ZoneId),
    Host(HostId),
    Target(TargetId),
}

/// Views of router processes.
#[derive(Clone, Debug)]
pub(crate) enum RouterView {
    /// Each process: configuration version in force, time since its last contact with the store,
    /// leader.
    Nodes,
    /// Owners of key ranges, for all back ends if `back_end` is `None`.
    Ranges { back_end: Option<BackEndId> },
    /// Customers with their rate limits and request counts.
    Customers,
    /// Targets with their states.
    Targets,
    /// Versions of back ends and their rollouts.
    Rollouts,
}

#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check {
        file: PathBuf,
    },
    Apply {
        file: PathBuf,
        dry_run: bool,
        wait_s: Option<u64>,
    },
    Diff {
        file: PathBuf,
    },
    Grant {
        customer: CustomerId,
        key: CustomerKeyId,
        secret_file: Option<PathBuf>,
        wait_s: Option<u64>,
    },
    Withdraw {
        key: CustomerKeyId,
        wait_s: Option<u64>,
    },
    Drain {
        scope: ServiceScope,
        wait_s: Option<u64>,
    },
    Return {
        scope: ServiceScope,
        wait_s: Option<u64>,
    },
    RemoveCustomer {
        customer: CustomerId,
    },
    History {
        limit: usize,
    },
    Show,
    Status {
        wait_s: Option<u64>,
    },
    Owners {
        back_end: BackEndId,
        key: String,
    },
    Router(RouterView),
}

#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    pub(crate) format: OutputFormat,
    pub(crate) site: Site,
    pub(crate) command: Command,
}

pub(crate) fn arguments() -> OptionParser<Arguments> {
    let format = OutputFormat::argument();
    let site = site();
    let command = command();
    construct!(Arguments { format, site, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a wagtailmoor site: configuration, customer keys, zones and status.")
        .footer(
            "Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 unknown outcome, \
             4 the change was not in force everywhere before --wait timed out.",
        )
}

fn site() -> impl Parser<Site> {
    let platform = long("platform")
        .env("WAGTAILMOOR_PLATFORM")
        .help("address of the platform")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7_000)));
    let nodes = long("node")
        .help(
            "control address of an entry process, or metrics address of a router process; may be \
             repeated",
        )
        .argument::<SocketAddr>("IP:PORT")
        .many();
    let author = long("author")
        .env("USER")
        .help("author that the history shows")
        .argument::<String>("NAME")
        .fallback("unknown".into());
    construct!(Site { platform, nodes, author })
}

fn wait_s() -> impl Parser<Option<u64>> {
    long("wait")
        .help("seconds to wait until the change is in force on every entry process")
        .argument::<u64>("SECONDS")
        .optional()
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("YAML file with zones, templates and customers")
}

fn scope() -> impl Parser<ServiceScope> {
    let zone = long("zone").help("a zone").argument::<ZoneId>("ZONE").map(ServiceScope::Zone);
    let host = long("host").help("a host").argument::<HostId>("HOST").map(ServiceScope::Host);
    let target =
        long("target").help("a target").argument::<TargetId>("TARGET").map(ServiceScope::Target);
    construct!([zone, host, target])
}

fn command() -> impl Parser<Command> {
    let check = file().map(|file| Command::Check { file });
    let check =
        check.to_options().descr("Checks a file without contacting the platform.").command("check");
    let diff = file().map(|file| Command::Diff { file });
    let diff = diff.to_options().descr("Shows the changes that apply would make.").command("diff");
    let edits = edit_commands();
    let views = view_commands();
    let router = router_view()
        .map(Command::Router)
        .to_options()
        .descr("Shows router processes; --node gives their metrics addresses.")
        .command("router");
    construct!([check, diff, edits, views, router])
}

fn router_view() -> impl Parser<RouterView> {
    let nodes = bpaf::pure(RouterView::Nodes)
        .to_options()
        .descr("Shows the version in force, the time since the last store contact and the leader.")
        .command("nodes");
    let back_end = long("back-end")
        .help("back end to show; all by default")
        .argument::<BackEndId>("BACK-END")
        .optional();
    let ranges = back_end
        .map(|back_end| RouterView::Ranges { back_end })
        .to_options()
        .descr("Shows the owners of key ranges.")
        .command("ranges");
    let customers = bpaf::pure(RouterView::Customers)
        .to_options()
        .descr("Shows customers with their rate limits and their requests at the given processes.")
        .command("customers");
    let targets = bpaf::pure(RouterView::Targets)
        .to_options()
        .descr("Shows targets with their states.")
        .command("targets");
    let rollouts = bpaf::pure(RouterView::Rollouts)
        .to_options()
        .descr("Shows the versions of back ends and their rollouts, as the given processes know.")
        .command("rollouts");
    construct!([nodes, ranges, customers, targets, rollouts])
}

fn edit_commands() -> impl Parser<Command> {
    let dry_run =
        long("dry-run").help("check against the stored configuration without storing").switch();
    let (wait_s_1, file_1) = (wait_s(), file());
    let apply = construct!(dry_run, wait_s_1, file_1)
        .map(|(dry_run, wait_s, file)| Command::Apply { file, dry_run, wait_s })
        .to_options()
        .descr("Stores the zones, templates and customers of a file.")
        .command("apply");
    let customer = long("customer").help("customer").argument::<CustomerId>("CUSTOMER");
    let secret_file = long("secret-file")
        .help("file that contains the key; if not given, a new key is generated and printed once")
        .argument::<PathBuf>("FILE")
        .optional();
    let (wait_s_2, key_1) = (wait_s(), positional::<CustomerKeyId>("KEY-ID"));
    let grant = construct!(customer, secret_file, wait_s_2, key_1)
        .map(|(customer, secret_file, wait_s, key)| Command::Grant {
            customer,
            key,
            secret_file,
            wait_s,
        })
        .to_options()
        .descr("Grants a customer key.")
        .command("grant");
    let (wait_s_3, key_2) = (wait_s(), positional::<CustomerKeyId>("KEY-ID"));
    let withdraw = construct!(wait_s_3, key_2)
        .map(|(wait_s, key)| Command::Withdraw { key, wait_s })
        .to_options()
        .descr("Withdraws a customer key.")
        .command("withdraw");
    let (wait_s_4, scope_1) = (wait_s(), scope());
    let drain = construct!(wait_s_4, scope_1)
        .map(|(wait_s, scope)| Command::Drain { scope, wait_s })
        .to_options()
        .descr("Takes a zone, host or target out of service.")
        .command("drain");
    let (wait_s_5, scope_2) = (wait_s(), scope());
    let return_to_service = construct!(wait_s_5, scope_2)
        .map(|(wait_s, scope)| Command::Return { scope, wait_s })
        .to_options()
        .descr("Puts a zone, host or target back into service.")
        .command("return");
    let remove_customer = positional::<CustomerId>("CUSTOMER")
        .map(|customer| Command::RemoveCustomer { customer })
        .to_options()
        .descr("Removes a customer and its keys.")
        .command("remove-customer");
    construct!([apply, grant, withdraw, drain, return_to_service, remove_customer])
}

fn view_commands() -> impl Parser<Command> {
    let limit = long("limit").help("entries to show").argument::<usize>("N").fallback(20);
    let history = limit
        .map(|limit| Command::History { limit })
        .to_options()
        .descr("Lists the latest changes.")
        .command("history");
    let show = bpaf::pure(Command::Show)
        .to_options()
        .descr("Shows the stored configuration.")
        .command("show");
    let status = wait_s()
        .map(|wait_s| Command::Status { wait_s })
        .to_options()
        .descr("Shows the version in force and the status of each entry process.")
        .command("status");
    let back_end = long("back-end").help("keyed back end").argument::<BackEndId>("BACK-END");
    let key = positional::<String>("KEY").help("application key");
    let owners = construct!(back_end, key)
        .map(|(back_end, key)| Command::Owners { back_end, key })
        .to_options()
        .descr("Shows the owner of a key according to each entry process.")
        .command("owners");
    construct!([history, show, status, owners])
}
