//! Commands that change the configuration.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use wagtailmoor_configuration::{Change, ChangeRecord, Configuration, ServiceState};
use wagtailmoor_core::{ConfigVersion, CustomerId, CustomerKeyId, KeyDigest, WriteId, millis};
use wagtailmoor_settings::{ChangeFile, load};
use wagtailmoor_store::{
    AppendOutcome, HttpPlatform, append_change, read_changes, read_configuration,
};

use crate::arguments::{ServiceScope, Site};
use crate::cluster;
use crate::failure::Failure;
use crate::output::Output;
use crate::secret;

/// One planned or stored change in the output.
#[derive(Clone, Debug, Serialize)]
struct ChangeLine {
    version: ConfigVersion,
    kind: &'static str,
    subject: String,
}

impl ChangeLine {
    fn of(record: &ChangeRecord) -> Self {
        Self {
            version: record.version,
            kind: record.change.kind(),
            subject: record.change.subject().into(),
        }
    }
}

/// Output of a command that changes the configuration.
#[derive(Clone, Debug, Serialize)]
struct EditResult {
    stored: bool,
    from: ConfigVersion,
    changes: Vec<ChangeLine>,
    #[serde(skip_serializing_if = "Option::is_none")]
    secret: Option<String>,
}

impl EditResult {
    fn text(&self) -> String {
        let verb = if self.stored { "stored" } else { "would store" };
        let lines = self
            .changes
            .iter()
            .map(|line| format!("{verb} version {}: {} {}", line.version, line.kind, line.subject));
        let lines: Vec<String> = match self.changes.is_empty() {
            true => vec![format!("nothing to change at version {}", self.from)],
            false => lines.collect(),
        };
        let secret = self.secret.iter().map(|secret| format!("key (shown once): {secret}"));
        lines.into_iter().chain(secret).collect::<Vec<_>>().join("\n")
    }
}

pub(crate) fn check(output: &Output, file: &Path) -> Result<(), Failure> {
    let file: ChangeFile = load(file)?;
    let empty = Configuration::default();
    plan(&empty, "check", &file.changes(&empty))?;
    output.print(&serde_json::json!({"valid": true}), |_| "valid".into());
    Ok(())
}

pub(crate) async fn diff(site: &Site, output: &Output, file: &Path) -> Result<(), Failure> {
    apply(site, output, file, true, None).await
}

pub(crate) async fn apply(
    site: &Site,
    output: &Output,
    file: &Path,
    dry_run: bool,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    let file: ChangeFile = load(file)?;
    store(site, output, |current| Ok(file.changes(current)), dry_run, wait_s, None).await
}

pub(crate) async fn grant(
    site: &Site,
    output: &Output,
    customer: &CustomerId,
    key: &CustomerKeyId,
    secret_file: Option<&Path>,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    let (secret, shown) = match secret_file {
        Some(path) => (secret::read(path)?, None),
        None => {
            let secret = secret::generate();
            (secret.clone(), Some(secret))
        }
    };
    let digest = KeyDigest::of(secret.as_bytes());
    let change = Change::GrantKey { key: key.clone(), digest, customer: customer.clone() };
    store(site, output, |_| Ok(vec![change.clone()]), false, wait_s, shown).await
}

pub(crate) async fn withdraw(
    site: &Site,
    output: &Output,
    key: &CustomerKeyId,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    let change = Change::WithdrawKey(key.clone());
    store(site, output, |_| Ok(vec![change.clone()]), false, wait_s, None).await
}

pub(crate) async fn remove_customer(
    site: &Site,
    output: &Output,
    customer: &CustomerId,
) -> Result<(), Failure> {
    let change = Change::RemoveCustomer(customer.clone());
    store(site, output, |_| Ok(vec![change.clone()]), false, None, None).await
}

pub(crate) async fn drain(
    site: &Site,
    output: &Output,
    scope: &ServiceScope,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    set_service_state(site, output, scope, ServiceState::Out, wait_s).await
}

pub(crate) async fn return_to_service(
    site: &Site,
    output: &Output,
    scope: &ServiceScope,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    set_service_state(site, output, scope, ServiceState::In, wait_s).await
}

async fn set_service_state(
    site: &Site,
    output: &Output,
    scope: &ServiceScope,
    state: ServiceState,
    wait_s: Option<u64>,
) -> Result<(), Failure> {
    let change = |current: &Configuration| match scope {
        ServiceScope::Zone(zone) => {
            let entry = current.zones().find(|(known, _)| *known == zone);
            let (zone, entry) = entry
                .ok_or_else(|| Failure::Input { problem: format!("zone {zone} does not exist") })?;
            Ok(vec![Change::SetZone { zone: zone.clone(), region: entry.region.clone(), state }])
        }
        ServiceScope::Host(host) => Ok(vec![Change::SetHost { host: host.clone(), state }]),
        ServiceScope::Target(target) => {
            Ok(vec![Change::SetTarget { target: target.clone(), state }])
        }
    };
    store(site, output, change, false, wait_s, None).await
}

/// Checks all changes against the stored configuration, then stores them one by one.
async fn store(
    site: &Site,
    output: &Output,
    changes: impl Fn(&Configuration) -> Result<Vec<Change>, Failure>,
    dry_run: bool,
    wait_s: Option<u64>,
    secret: Option<String>,
) -> Result<(), Failure> {
    let platform = HttpPlatform::new(site.platform);
    let snapshot = read_configuration(&platform).await?;
    let current = snapshot.configuration();
    let records = plan(current, &site.author, &changes(current)?)?;
    if !dry_run {
        for (stored, record) in records.iter().enumerate() {
            append(&platform, record, stored, records.len()).await?;
        }
    }
    let edit = EditResult {
        stored: !dry_run,
        from: current.version(),
        changes: records.iter().map(ChangeLine::of).collect(),
        secret,
    };
    output.print(&edit, EditResult::text);
    match (records.last(), wait_s) {
        (Some(last), Some(wait_s)) if !dry_run => {
            cluster::wait_in_force(site, last.version, wait_s).await
        }
        _ => Ok(()),
    }
}

/// Assigns versions to the changes and checks each one against the configuration that the changes
/// before it produce.
fn plan(
    current: &Configuration,
    author: &str,
    changes: &[Change],
) -> Result<Vec<ChangeRecord>, Failure> {
    let mut next = current.clone();
    let mut records = Vec::with_capacity(changes.len());
    for change in changes {
        let record = ChangeRecord {
            version: next.version().next(),
            author: author.into(),
            made_unix_ms: now_unix_ms(),
            change: change.clone(),
        };
        next.apply(&record)?;
        records.push(record);
    }
    Ok(records)
}

async fn append(
    platform: &HttpPlatform,
    record: &ChangeRecord,
    stored: usize,
    total: usize,
) -> Result<(), Failure> {
    let version = record.version;
    match append_change(platform, WriteId::new(rand::random()), record).await {
        AppendOutcome::Done => Ok(()),
        AppendOutcome::Unknown => Err(Failure::UnknownOutcome { version }),
        AppendOutcome::Conflict => {
            let previous = ConfigVersion::new(version.get() - 1);
            let other = read_changes(platform, previous).await?.into_iter().next();
            let other = other.unwrap_or_else(|| record.clone());
            Err(Failure::Conflict {
                stored,
                total,
                version,
                author: other.author.to_string(),
                kind: other.change.kind().into(),
                subject: other.change.subject().into(),
            })
        }
    }
}

fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since)
}
