//! Commands that show the configuration and the state of the site.

use serde::Serialize;
use wagtailmoor_configuration::{Change, ChangeRecord, ServiceState};
use wagtailmoor_core::{BackEndId, ConfigVersion, KeyHash};
use wagtailmoor_peer::{NodeState, OwnerReport, PeerClient};
use wagtailmoor_store::{HttpPlatform, read_changes, read_configuration};

use crate::arguments::Site;
use crate::cluster::{self, EntryState};
use crate::failure::Failure;
use crate::output::{Output, table};

/// One change in the output of `history`.
#[derive(Clone, Debug, Serialize)]
struct HistoryLine {
    version: ConfigVersion,
    made_unix_ms: u64,
    author: String,
    kind: &'static str,
    subject: String,
    change: Change,
}

impl HistoryLine {
    fn of(record: &ChangeRecord) -> Self {
        Self {
            version: record.version,
            made_unix_ms: record.made_unix_ms,
            author: record.author.to_string(),
            kind: record.change.kind(),
            subject: record.change.subject().into(),
            change: record.change.clone(),
        }
    }
}

pub(crate) async fn history(site: &Site, output: &Output, limit: usize) -> Result<(), Failure> {
    let platform = HttpPlatform::new(site.platform);
    let latest = read_configuration(&platform).await?.version();
    let skip = latest.get().saturating_sub(u64::try_from(limit).unwrap_or(u64::MAX));
    let records = read_changes(&platform, ConfigVersion::new(skip)).await?;
    let lines: Vec<HistoryLine> = records.iter().map(HistoryLine::of).collect();
    output.print(&lines, |lines| {
        let rows: Vec<Vec<String>> = lines
            .iter()
            .map(|line| {
                vec![
                    line.version.to_string(),
                    line.made_unix_ms.to_string(),
                    line.author.clone(),
                    line.kind.into(),
                    line.subject.clone(),
                ]
            })
            .collect();
        table(&["version", "made_unix_ms", "author", "change", "subject"], &rows)
    });
    Ok(())
}

/// The stored configuration in the output of `show`. Of customer keys it contains only the IDs.
#[derive(Clone, Debug, Serialize)]
struct ConfigurationView {
    version: ConfigVersion,
    zones: Vec<(String, ServiceState)>,
    templates: Vec<String>,
    customers: Vec<wagtailmoor_configuration::Customer>,
    keys: Vec<(String, String)>,
    hosts_out: Vec<String>,
    targets_out: Vec<String>,
}

pub(crate) async fn show(site: &Site, output: &Output) -> Result<(), Failure> {
    let snapshot = read_configuration(&HttpPlatform::new(site.platform)).await?;
    let current = snapshot.configuration();
    let view = ConfigurationView {
        version: current.version(),
        zones: current.zones().map(|(zone, entry)| (zone.to_string(), entry.state)).collect(),
        templates: current.templates().map(|template| template.template.to_string()).collect(),
        customers: current.customers().cloned().collect(),
        keys: current.keys().map(|key| (key.key.to_string(), key.customer.to_string())).collect(),
        hosts_out: current.hosts_out().map(ToString::to_string).collect(),
        targets_out: current.targets_out().map(ToString::to_string).collect(),
    };
    output.print(&view, ConfigurationView::text);
    Ok(())
}

impl ConfigurationView {
    fn text(&self) -> String {
        let zones = self.zones.iter().map(|(zone, state)| format!("zone {zone}: {state}"));
        let templates = self.templates.iter().map(|template| format!("template {template}"));
        let customers = self.customers.iter().map(|customer| {
            let keys = self.keys.iter().filter(|(_, owner)| owner == customer.customer.as_str());
            let keys: Vec<&str> = keys.map(|(key, _)| key.as_str()).collect();
            format!(
                "customer {}: template {}, rate {}, burst {}, weight {}, keys [{}]",
                customer.customer,
                customer.template,
                customer.rate_per_s,
                customer.burst,
                customer.weight,
                keys.join(", ")
            )
        });
        let hosts = self.hosts_out.iter().map(|host| format!("host {host}: out"));
        let targets = self.targets_out.iter().map(|target| format!("target {target}: out"));
        let header = std::iter::once(format!("version {}", self.version));
        let lines =
            header.chain(zones).chain(templates).chain(customers).chain(hosts).chain(targets);
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Output of `status`.
#[derive(Clone, Debug, Serialize)]
struct Status {
    stored_version: Option<ConfigVersion>,
    in_force: usize,
    total: usize,
    nodes: Vec<NodeState>,
    silent: Vec<String>,
}

pub(crate) async fn status(
    site: &Site,
    output: &Output,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    // With `--node` the command also works while the store is down, so this error is ignored.
    let stored = read_configuration(&HttpPlatform::new(site.platform)).await.ok();
    let stored = stored.map(|snapshot| snapshot.version());
    if let (Some(version), Some(wait_s)) = (stored, wait_s) {
        cluster::wait_in_force(site, version, wait_s).await?;
    }
    let entries = cluster::query_states(site, &PeerClient::new()).await?;
    if entries.iter().all(|entry| entry.state.is_none()) {
        return Err(Failure::NoEntryAnswered);
    }
    let status = Status::of(stored, &entries);
    output.print(&status, Status::text);
    Ok(())
}

impl Status {
    fn of(stored_version: Option<ConfigVersion>, entries: &[EntryState]) -> Self {
        let nodes: Vec<NodeState> =
            entries.iter().filter_map(|entry| entry.state.clone()).collect();
        let silent = entries.iter().filter(|entry| entry.state.is_none());
        Self {
            in_force: nodes
                .iter()
                .filter(|node| stored_version.is_some_and(|stored| node.config_version >= stored))
                .count(),
            total: entries.len(),
            silent: silent.map(|entry| entry.address.to_string()).collect(),
            stored_version,
            nodes,
        }
    }

    fn text(&self) -> String {
        let stored = match self.stored_version {
            Some(version) => format!(
                "version {version} is in force on {} of {} entry processes",
                self.in_force, self.total
            ),
            None => "the store does not answer; the table shows the versions in force".into(),
        };
        let rows: Vec<Vec<String>> = self.nodes.iter().map(node_row).collect();
        let header = [
            "node",
            "zone",
            "version",
            "fresh_ms",
            "store_ms",
            "controller",
            "left_ms",
            "requests",
            "answered",
            "refused",
            "peers",
            "targets",
        ];
        let silent = self.silent.iter().map(|address| format!("no answer from {address}"));
        let lines = [stored, table(&header, &rows)].into_iter().chain(silent);
        lines.collect::<Vec<_>>().join("\n")
    }
}

fn node_row(node: &NodeState) -> Vec<String> {
    let optional = |number: Option<u64>| number.map_or("-".into(), |number| number.to_string());
    vec![
        node.node.to_string(),
        node.zone.to_string(),
        node.config_version.to_string(),
        optional(node.freshness_age_ms),
        optional(node.store_age_ms),
        node.controller_generation.map_or("-".into(), |generation| generation.to_string()),
        optional(node.authority_left_ms),
        node.requests.to_string(),
        node.answered.to_string(),
        node.refused.to_string(),
        node.members.len().to_string(),
        node.targets.to_string(),
    ]
}

/// Owner of a key according to one entry process.
#[derive(Clone, Debug, Serialize)]
struct OwnerLine {
    asked: String,
    #[serde(flatten)]
    report: OwnerReport,
}

pub(crate) async fn owners(
    site: &Site,
    output: &Output,
    back_end: &BackEndId,
    key: &str,
) -> Result<(), Failure> {
    let (peers, hash) = (PeerClient::new(), KeyHash::of(key.as_bytes()));
    let mut lines = Vec::new();
    for address in cluster::addresses(site).await? {
        if let Ok(report) = peers.owner(address, back_end.clone(), hash).await {
            lines.push(OwnerLine { asked: address.to_string(), report });
        }
    }
    if lines.is_empty() {
        return Err(Failure::NoEntryAnswered);
    }
    output.print(&lines, |lines| {
        let rows: Vec<Vec<String>> = lines.iter().map(owner_row).collect();
        table(&["asked", "key_hash", "slot", "state", "owner", "epoch"], &rows)
    });
    Ok(())
}

fn owner_row(line: &OwnerLine) -> Vec<String> {
    let report = &line.report;
    let owner = report.owner.as_ref();
    // Neither slot nor owner: the process has no route table, which is not the hot key case.
    let slot = match (report.slot, owner) {
        (Some(slot), _) => slot.to_string(),
        (None, Some(_)) => "hot key".into(),
        (None, None) => "-".into(),
    };
    vec![
        line.asked.clone(),
        report.key.to_string(),
        slot,
        report.state.to_string(),
        owner.map_or("-".into(), |(target, _)| target.to_string()),
        owner.map_or("-".into(), |(_, epoch)| epoch.to_string()),
    ]
}
