//! Views of router processes, queried at their metrics addresses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use wagtailmoor_core::{BackEndId, NodeId};
use wagtailmoor_router::{CustomerStatus, NodeStatus, RangeStatus, RolloutView, TargetStatus};
use wagtailmoor_store::JsonClient;

use crate::arguments::{RouterView, Site};
use crate::failure::Failure;
use crate::output::{Output, table};

/// Timeout of a status request; a process that does not answer in time is listed as silent.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A process that did not return its status.
#[derive(Clone, Debug, Serialize)]
struct SilentProcess {
    address: SocketAddr,
    cause: String,
}

/// Rows of a view, and the processes that did not return their status.
#[derive(Clone, Debug, Serialize)]
struct View<T> {
    rows: Vec<T>,
    silent: Vec<SilentProcess>,
}

impl<T: Serialize> View<T> {
    fn print(&self, output: &Output, header: &[&str], cells: impl Fn(&T) -> Vec<String>) {
        output.print(self, |view| {
            let rows: Vec<Vec<String>> = view.rows.iter().map(cells).collect();
            let silent = view.silent.iter();
            let silent = silent
                .map(|process| format!("no answer from {}: {}", process.address, process.cause));
            [table(header, &rows)].into_iter().chain(silent).collect::<Vec<_>>().join("\n")
        });
    }
}

/// Prints a view of router processes.
pub(crate) async fn show(site: &Site, output: &Output, view: &RouterView) -> Result<(), Failure> {
    let (statuses, silent) = query_statuses(&site.nodes).await?;
    match view {
        RouterView::Nodes => print_nodes(output, statuses, silent),
        RouterView::Ranges { back_end } => {
            print_ranges(output, &most_recent(statuses).ranges, back_end.as_ref(), silent);
        }
        RouterView::Customers => print_customers(output, &statuses, silent),
        RouterView::Targets => print_targets(output, most_recent(statuses).targets, silent),
        RouterView::Rollouts => print_rollouts(output, statuses, silent),
    }
    Ok(())
}

async fn query_statuses(
    addresses: &[SocketAddr],
) -> Result<(Vec<NodeStatus>, Vec<SilentProcess>), Failure> {
    if addresses.is_empty() {
        let problem = "name the metrics address of a router process with --node".to_owned();
        return Err(Failure::Input { problem });
    }
    let client = JsonClient::new(STATUS_TIMEOUT);
    let (mut statuses, mut silent) = (Vec::new(), Vec::new());
    for &address in addresses {
        match query_status(&client, address).await {
            Ok(status) => statuses.push(status),
            Err(cause) => silent.push(SilentProcess { address, cause }),
        }
    }
    match statuses.is_empty() {
        true => Err(Failure::NoRouterAnswered { causes: join_causes(&silent) }),
        false => Ok((statuses, silent)),
    }
}

async fn query_status(client: &JsonClient, address: SocketAddr) -> Result<NodeStatus, String> {
    let response = client.get(address, NodeStatus::PATH).await?;
    match response.status.is_success() {
        true => {
            response.decode().map_err(|error| format!("the response is not a node status: {error}"))
        }
        false => Err(format!("status {}", response.status.as_u16())),
    }
}

fn join_causes(silent: &[SilentProcess]) -> String {
    let causes = silent.iter().map(|process| format!("{}: {}", process.address, process.cause));
    causes.collect::<Vec<_>>().join("; ")
}

/// Returns the status of the process with the most recent contact with the store.
fn most_recent(statuses: Vec<NodeStatus>) -> NodeStatus {
    let latest = statuses.into_iter().min_by_key(|status| status.store_age_ms);
    latest.expect("query_statuses returns at least one status")
}

fn print_nodes(output: &Output, statuses: Vec<NodeStatus>, silent: Vec<SilentProcess>) {
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
    silent: Vec<SilentProcess>,
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

/// Prints each customer with its requests summed over all processes that answered.
fn print_customers(output: &Output, statuses: &[NodeStatus], silent: Vec<SilentProcess>) {
    let mut rows: Vec<CustomerStatus> = Vec::new();
    for customer in statuses.iter().flat_map(|status| &status.customers) {
        match rows.binary_search_by(|row| row.customer.cmp(&customer.customer)) {
            Ok(index) => add_counts(&mut rows[index], customer),
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

fn add_counts(sum: &mut CustomerStatus, other: &CustomerStatus) {
    sum.answered += other.answered;
    sum.refused_by_limit += other.refused_by_limit;
    sum.not_answered += other.not_answered;
}

fn print_targets(output: &Output, rows: Vec<TargetStatus>, silent: Vec<SilentProcess>) {
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

fn print_rollouts(output: &Output, statuses: Vec<NodeStatus>, silent: Vec<SilentProcess>) {
    let rows: Vec<(NodeId, RolloutView)> = statuses
        .into_iter()
        .flat_map(|NodeStatus { node, rollouts, .. }| {
            rollouts.into_iter().map(move |rollout| (node.clone(), rollout))
        })
        .collect();
    let header = ["node", "back_end", "baseline", "to", "phase", "share", "sent_old", "sent_new"];
    View { rows, silent }.print(output, &header, |(node, rollout)| {
        vec![
            node.to_string(),
            rollout.back_end.to_string(),
            rollout.baseline.join(","),
            cell(rollout.to.as_ref()),
            cell(rollout.phase),
            rollout.share.to_string(),
            rollout.sent_old.to_string(),
            rollout.sent_new.to_string(),
        ]
    });
}

fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
