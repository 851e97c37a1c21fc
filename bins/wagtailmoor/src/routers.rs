//! Views of the router processes on a platform, from their metrics addresses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use wagtailmoor_core::BackEndId;
use wagtailmoor_router::{CustomerStatus, NodeStatus, RangeStatus, TargetStatus};
use wagtailmoor_store::JsonClient;

use crate::arguments::{RouterView, Site};
use crate::failure::Failure;
use crate::output::{Output, table};

/// A process that does not answer in this time counts as silent.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A process that did not answer.
#[derive(Clone, Debug, Serialize)]
struct Silent {
    address: SocketAddr,
    cause: String,
}

/// What a view shows: rows of each process that answered, and the others.
#[derive(Clone, Debug, Serialize)]
struct View<T> {
    rows: Vec<T>,
    silent: Vec<Silent>,
}

impl<T: Serialize> View<T> {
    fn print(&self, output: &Output, header: &[&str], cells: impl Fn(&T) -> Vec<String>) {
        output.print(self, |view| {
            let rows: Vec<Vec<String>> = view.rows.iter().map(cells).collect();
            let silent = view.silent.iter();
            let silent =
                silent.map(|silent| format!("no answer from {}: {}", silent.address, silent.cause));
            [table(header, &rows)].into_iter().chain(silent).collect::<Vec<_>>().join("\n")
        });
    }
}

/// Shows a view of router processes.
pub(crate) async fn show(site: &Site, output: &Output, view: &RouterView) -> Result<(), Failure> {
    let (statuses, silent) = ask(&site.nodes).await?;
    match view {
        RouterView::Nodes => print_nodes(output, statuses, silent),
        RouterView::Ranges { back_end } => {
            print_ranges(output, &newest(statuses).ranges, back_end.as_ref(), silent);
        }
        RouterView::Customers => print_customers(output, &statuses, silent),
        RouterView::Targets => print_targets(output, newest(statuses).targets, silent),
    }
    Ok(())
}

async fn ask(addresses: &[SocketAddr]) -> Result<(Vec<NodeStatus>, Vec<Silent>), Failure> {
    if addresses.is_empty() {
        let problem = "name the metrics address of a router process with --node".to_owned();
        return Err(Failure::Input { problem });
    }
    let client = JsonClient::new(STATUS_TIMEOUT);
    let (mut statuses, mut silent) = (Vec::new(), Vec::new());
    for &address in addresses {
        match status(&client, address).await {
            Ok(status) => statuses.push(status),
            Err(cause) => silent.push(Silent { address, cause }),
        }
    }
    match statuses.is_empty() {
        true => Err(Failure::NoRouter { causes: join_causes(&silent) }),
        false => Ok((statuses, silent)),
    }
}

async fn status(client: &JsonClient, address: SocketAddr) -> Result<NodeStatus, String> {
    let response = client.get(address, NodeStatus::PATH).await?;
    match response.status.is_success() {
        true => response.decode().map_err(|error| format!("the answer is no status: {error}")),
        false => Err(format!("status {}", response.status.as_u16())),
    }
}

fn join_causes(silent: &[Silent]) -> String {
    let causes = silent.iter().map(|silent| format!("{}: {}", silent.address, silent.cause));
    causes.collect::<Vec<_>>().join("; ")
}

/// Returns the status of the process that heard of the store last.
fn newest(statuses: Vec<NodeStatus>) -> NodeStatus {
    let newest = statuses.into_iter().min_by_key(|status| status.store_age_ms);
    newest.expect("a view without an answer has failed before")
}

fn print_nodes(output: &Output, statuses: Vec<NodeStatus>, silent: Vec<Silent>) {
    let header =
        ["node", "zone", "ready", "version", "store_ms", "leader", "generation", "left_ms"];
    View { rows: statuses, silent }.print(output, &header, |status| {
        let leader = status.leader.as_ref();
        vec![
            status.node.to_string(),
            status.zone.to_string(),
            status.ready.to_string(),
            cell(status.config_version),
            status.store_age_ms.to_string(),
            cell(leader.map(|leader| &leader.node)),
            cell(leader.map(|leader| leader.generation)),
            cell(leader.and_then(|leader| leader.authority_left_ms)),
        ]
    });
}

fn print_ranges(
    output: &Output,
    ranges: &[RangeStatus],
    back_end: Option<&BackEndId>,
    silent: Vec<Silent>,
) {
    let shown = ranges.iter().filter(|range| back_end.is_none_or(|id| range.back_end == *id));
    let rows: Vec<RangeStatus> = shown.cloned().collect();
    let header = ["back_end", "first", "last", "owner", "epoch"];
    View { rows, silent }.print(output, &header, |range| {
        vec![
            range.back_end.to_string(),
            range.first.to_string(),
            range.last.to_string(),
            range.owner.to_string(),
            range.epoch.to_string(),
        ]
    });
}

/// A customer with its requests at all processes that answered.
fn print_customers(output: &Output, statuses: &[NodeStatus], silent: Vec<Silent>) {
    let mut rows: Vec<CustomerStatus> = Vec::new();
    for customer in statuses.iter().flat_map(|status| &status.customers) {
        match rows.binary_search_by(|row| row.customer.cmp(&customer.customer)) {
            Ok(index) => add(&mut rows[index], customer),
            Err(index) => rows.insert(index, customer.clone()),
        }
    }
    let header =
        ["customer", "rate_per_s", "burst", "answered", "refused_by_limit", "not_answered"];
    View { rows, silent }.print(output, &header, |customer| {
        vec![
            customer.customer.to_string(),
            customer.rate_per_s.get().to_string(),
            customer.burst.to_string(),
            customer.answered.to_string(),
            customer.refused_by_limit.to_string(),
            customer.not_answered.to_string(),
        ]
    });
}

fn add(sum: &mut CustomerStatus, other: &CustomerStatus) {
    sum.answered += other.answered;
    sum.refused_by_limit += other.refused_by_limit;
    sum.not_answered += other.not_answered;
}

fn print_targets(output: &Output, rows: Vec<TargetStatus>, silent: Vec<Silent>) {
    let header = ["target", "back_end", "zone", "state", "in_service", "cold"];
    View { rows, silent }.print(output, &header, |target| {
        vec![
            target.target.to_string(),
            target.back_end.to_string(),
            target.zone.to_string(),
            target.state.to_string(),
            target.in_service.to_string(),
            target.cold.to_string(),
        ]
    });
}

fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
