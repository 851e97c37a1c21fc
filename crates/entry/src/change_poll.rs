//! Polling of configuration changes in the store, and fetching of changes from peers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;
use wagtailmoor_configuration::{ChangeRecord, MergeOutcome, Snapshot};
use wagtailmoor_core::{ConfigVersion, NodeId};
use wagtailmoor_store::{read_changes, read_configuration, write_snapshot};
use wagtailmoor_telemetry::Event;

use crate::entry::Shared;
use crate::ownership_calls;

/// Interval at which the controller of a zone reads the store; other nodes get changes by gossip.
const CONTROLLER_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the configuration above which a node other than the controller reads the store itself.
const STALE_AGE: Duration = Duration::from_secs(3);

/// Interval at which such a node reads the store.
const STALE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads new changes from the store, as the controller or while the configuration is stale.
pub(crate) async fn run(entry: Shared) {
    let mut next_read = entry.now();
    loop {
        let now = entry.now();
        let (controller, stale) = {
            let state = entry.state();
            let age = state.propagation.age(now);
            (state.is_controller(now), age.is_none_or(|age| age > STALE_AGE))
        };
        if (controller || stale) && now >= next_read {
            read_store(&entry).await;
            let interval = if controller { CONTROLLER_INTERVAL } else { STALE_INTERVAL };
            next_read = entry.now() + interval;
        }
        let notified = entry.signals.changes.notified();
        drop(timeout(Duration::from_millis(100), notified).await);
    }
}

async fn read_store(entry: &Shared) {
    let sent_at = entry.now();
    let version = entry.state().propagation.version();
    match version {
        version if version == ConfigVersion::default() => read_all(entry).await,
        version => match read_changes(&entry.platform, version).await {
            Ok(records) => {
                entry.record_store_contact(sent_at);
                let newest = records.last().map_or(version, |record| record.version);
                merge(entry, &records);
                entry.state().propagation.confirm(sent_at, newest);
                store_snapshot(entry, version).await;
            }
            Err(error) => Event::new("store-read-failed").field("error", error).debug(),
        },
    }
}

async fn read_all(entry: &Shared) {
    let sent_at = entry.now();
    match read_configuration(&entry.platform).await {
        Ok(stored) => {
            entry.record_store_contact(sent_at);
            merge_snapshot(entry, Snapshot::of(stored.configuration()));
            entry.state().propagation.confirm(sent_at, stored.version());
        }
        Err(error) => Event::new("store-read-failed").field("error", error).debug(),
    }
}

/// Stores a snapshot if this node is the controller and the version has reached another multiple of
/// the snapshot interval since `before`.
async fn store_snapshot(entry: &Shared, before: ConfigVersion) {
    let (configuration, controller) = {
        let state = entry.state();
        (state.propagation.configuration().clone(), state.is_controller(entry.now()))
    };
    let due = Snapshot::due_at(configuration.version()) > Snapshot::due_at(before);
    if controller && due {
        match write_snapshot(&entry.platform, &configuration).await {
            Ok(()) => Event::new("snapshot").field("version", configuration.version()).info(),
            Err(error) => Event::new("snapshot-failed").field("error", error).warn(),
        }
    }
}

/// Fetches the configuration changes that a peer has and this node lacks.
pub(crate) async fn fetch(entry: &Shared, peer: SocketAddr, node: &NodeId) {
    let version = entry.state().propagation.version();
    match entry.peers.changes(peer, version).await {
        Ok(Some(records)) => merge(entry, &records),
        Ok(None) => match entry.peers.snapshot(peer).await {
            Ok(snapshot) => merge_snapshot(entry, snapshot),
            Err(error) => fetch_failed(node, &error.to_string()),
        },
        Err(error) => fetch_failed(node, &error.to_string()),
    }
}

fn fetch_failed(node: &NodeId, error: &str) {
    Event::new("changes-fetch-failed").field("node", node).field("error", error).debug();
}

fn merge(entry: &Shared, records: &[ChangeRecord]) {
    let outcome = entry.state().propagation.merge_changes(records);
    on_merge(entry, &outcome);
}

fn merge_snapshot(entry: &Shared, snapshot: Snapshot) {
    let outcome = entry.state().propagation.merge_snapshot(snapshot);
    on_merge(entry, &outcome);
}

fn on_merge(entry: &Shared, outcome: &MergeOutcome) {
    match outcome {
        MergeOutcome::Advanced(version) => {
            Event::new("configuration").field("version", version).info();
            let outputs = entry.state().configure(entry.now());
            ownership_calls::execute_all(entry, outputs);
        }
        MergeOutcome::Refused(error) => {
            Event::new("configuration-refused").field("error", error).error()
        }
        MergeOutcome::Gap => Event::new("configuration-gap").warn(),
        MergeOutcome::Unchanged => {}
    }
}
