//! Follows the tables of the store, and applies their rows to the state.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::{BackEndId, ConfigVersion, Instant, RowVersion};
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_rollout::RolloutRow;
use wagtailmoor_site::{ElementKind, RegistryChange, UnusableReport};
use wagtailmoor_store::{ChangeFeed, CompressedRow, FeedError, FeedPage, FeedRow, StoredRow};
use wagtailmoor_telemetry::Event;

use crate::replica_table::ReplicaTable;
use crate::rollouts::{self, ROW_PREFIX};
use crate::row_origin::{RowOrigin, RowSource};
use crate::site_decoder::{OperatorChange, SiteDecoder};
use crate::state::{RouterState, Shared};
use crate::stats::Stats;
use crate::table_feed::FeedCall;

/// Table in which the leader stores the owners of ranges.
pub(crate) const RANGES_TABLE: &str = "ranges";

/// Follows one table until the process stops.
pub(crate) async fn follow<F: ChangeFeed, S: SiteDecoder>(
    shared: Shared,
    feed: Rc<F>,
    decoder: Rc<S>,
    table: ReplicaTable,
) {
    let name = store_name::<S>(table);
    loop {
        let sent_at = shared.now();
        let page = match next_call(&shared, sent_at, table) {
            FeedCall::Pause(pause) => {
                wait_to_call(&shared, pause).await;
                continue;
            }
            FeedCall::Snapshot => feed.snapshot(name).await,
            FeedCall::Changes { after, wait } => feed.changes(name, after, wait).await,
        };
        match page {
            Ok(page) => {
                let pause = on_page(&shared, &*decoder, table, sent_at, page);
                wait_to_call(&shared, pause).await;
            }
            Err(FeedError::HistoryLost) => {
                Event::new("history-lost").field("table", name).warn();
                shared.write().replica.on_history_lost(table);
            }
            Err(FeedError::Unavailable { cause }) => {
                let pause = on_call_failed::<S>(&shared, table, sent_at, &cause);
                wait_to_call(&shared, pause).await;
            }
        }
    }
}

/// Waits for the pause before the next call, or until the store must be called at once.
async fn wait_to_call(shared: &Shared, pause: Duration) {
    // Either way the next call is due.
    drop(timeout(pause, shared.data_needed.notified()).await);
}

/// Returns the name of a table in the store.
fn store_name<S: SiteDecoder>(table: ReplicaTable) -> &'static str {
    match table {
        ReplicaTable::Operators => S::OPERATOR_TABLE,
        ReplicaTable::Targets => S::TARGET_TABLE,
        ReplicaTable::Ranges => RANGES_TABLE,
    }
}

fn next_call(shared: &Shared, now: Instant, table: ReplicaTable) -> FeedCall {
    let mut state = shared.write();
    let leader = state.leader_view(now);
    let has_leader_contact =
        now.saturating_since(state.leader_last_contact) < ReportTiming::REPLY_LIFETIME;
    let leader_relays = has_leader_contact && !leader.is_self;
    state.replica.next_feed_call(now, table, leader, leader_relays)
}

/// Applies an answer of the store; returns the pause before the next call.
fn on_page<S: SiteDecoder>(
    shared: &Shared,
    decoder: &S,
    table: ReplicaTable,
    sent_at: Instant,
    page: FeedPage,
) -> Duration {
    let received_at = shared.now();
    let mut state = shared.write();
    state.observe_era(received_at, page.version.era());
    let answer = state.replica.on_feed_page(received_at, table, sent_at, page);
    if let Some(age) = answer.recovered_after {
        state.registry.on_store_recovery(received_at);
        let name = store_name::<S>(table);
        Event::new("store-regained").field("table", name).field("away_ms", age.as_millis()).info();
    }
    if answer.is_outdated {
        state.stats.count("store-answer-outdated");
        Event::new("store-answer-outdated")
            .field("table", store_name::<S>(table))
            .field("known_version", state.replica.version(table))
            .warn();
    }
    drop(state);
    let origin = RowOrigin { source: RowSource::Store, as_of: answer.as_of, received_at };
    apply_rows(shared, decoder, table, origin, &answer.rows);
    if answer.confirms {
        shared.data_confirmed.notify_waiters();
    }
    answer.pause
}

/// Records a failed call of the store; returns the pause before the next one.
fn on_call_failed<S: SiteDecoder>(
    shared: &Shared,
    table: ReplicaTable,
    sent_at: Instant,
    cause: &str,
) -> Duration {
    let now = shared.now();
    let mut state = shared.write();
    let state = &mut *state;
    state.stats.count("store-call-failed");
    let leader = state.leader_view(now);
    let failure = state.replica.on_feed_failure(now, table, sent_at, leader, &mut state.random);
    if failure.stops_relaying {
        // Wakes the pending calls of other nodes, so that these switch to another source at once.
        shared.routes_changed.notify_waiters();
    }
    if failure.store_lost {
        let name = store_name::<S>(table);
        Event::new("store-lost").field("table", name).field("cause", cause).warn();
    }
    failure.pause
}

/// Applies rows that went back when the store was restored and were not written again in time.
pub(crate) fn apply_due<S: SiteDecoder>(shared: &Shared, decoder: &S) {
    for table in ReplicaTable::ALL {
        let due = shared.write().replica.take_due(shared.now(), table);
        if !due.is_empty() {
            let name = store_name::<S>(table);
            Event::new("restored-rows").field("table", name).field("rows", due.len()).info();
        }
        let now = shared.now();
        let origin = RowOrigin { source: RowSource::OwnCopy, as_of: now, received_at: now };
        apply_rows(shared, decoder, table, origin, &due);
    }
}

/// Applies rows of a table, from the store or from another node.
pub(crate) fn apply_rows<S: SiteDecoder>(
    shared: &Shared,
    decoder: &S,
    table: ReplicaTable,
    origin: RowOrigin,
    rows: &[CompressedRow],
) {
    for compressed in rows {
        match compressed.decompress() {
            Ok(row) => match table {
                ReplicaTable::Operators => apply_operator(shared, decoder, origin, &row),
                ReplicaTable::Targets => apply_target(shared, decoder, &row),
                ReplicaTable::Ranges => apply_ranges(shared, &row),
            },
            Err(error) => {
                let mut state = shared.write();
                log_unusable_row(
                    &mut state.stats,
                    &compressed.key,
                    compressed.version,
                    &error.to_string(),
                );
            }
        }
    }
    if !rows.is_empty() {
        shared.routes_changed.notify_waiters();
        shared.assigner_due.notify_one();
    }
}

fn apply_operator<S: SiteDecoder>(shared: &Shared, decoder: &S, origin: RowOrigin, row: &FeedRow) {
    let mut state = shared.write();
    match decoder.operator_change(&row.key, row.content.as_deref()) {
        Ok(OperatorChange::Config(config)) => {
            let version = config.version();
            let previous = state.config.as_ref().map(|config| config.version());
            if previous.is_none_or(|previous| previous < version) {
                log_unusable_elements(version, config.unusable());
                state.config = Some(*config);
                let now = shared.now();
                Event::new("config")
                    .field("version", version)
                    .optional("before", previous)
                    .field("bytes", row.content.as_ref().map_or(0, Bytes::len))
                    .field("row_version", row.version)
                    .field("source", origin.source)
                    .field("age_ms", origin.received_at.saturating_since(origin.as_of).as_millis())
                    .field("work_us", now.saturating_since(origin.received_at).as_micros())
                    .field("store_age_ms", state.replica.age(now).as_millis())
                    .info();
            }
        }
        Ok(OperatorChange::ZoneDisabled(zone)) => {
            state.registry.disabled_zones_mut().disable(zone.clone());
            Event::new("zone-out").field("zone", zone).field("row_version", row.version).info();
        }
        Ok(OperatorChange::ZoneEnabled(zone)) => {
            state.registry.disabled_zones_mut().enable(&zone);
            Event::new("zone-back").field("zone", zone).field("row_version", row.version).info();
        }
        Ok(OperatorChange::RolloutOrdered(order)) => {
            let back_end = order.back_end.clone();
            rollouts::set_order(&mut state, &back_end, Some(order));
        }
        Ok(OperatorChange::RolloutWithdrawn(back_end)) => {
            rollouts::set_order(&mut state, &back_end, None);
        }
        Err(unusable) => log_unusable(&mut state.stats, row, &unusable.cause),
    }
}

/// Writes one line for a version with elements that cannot be used.
fn log_unusable_elements(version: ConfigVersion, report: &UnusableReport) {
    if report.is_empty() {
        return;
    }
    Event::new("config-unusable")
        .field("version", version)
        .field("routes", report.count(ElementKind::Route))
        .field("back_ends", report.count(ElementKind::BackEnd))
        .field("customers", report.count(ElementKind::Customer))
        .field("limits", report.count(ElementKind::Limits))
        .field("unknown_types", report.unknown_types())
        .field("first", report)
        .warn();
}

fn apply_target<S: SiteDecoder>(shared: &Shared, decoder: &S, row: &FeedRow) {
    let now = shared.now();
    let mut state = shared.write();
    state.remove_expired_targets(now);
    let Some(content) = &row.content else {
        if let Ok(target) = row.key.parse() {
            let previous = state.registry.get(&target).map(|known| known.incarnation);
            if let Some(incarnation) = previous {
                state.on_target_exited(now, &target, incarnation);
            }
            state.registry.remove(now, &target);
            Event::new("target-gone").field("target", target).info();
        }
        return;
    };
    match decoder.target(&row.key, content) {
        Ok(target) => {
            let event = Event::new("target")
                .field("target", &target.target)
                .field("incarnation", target.incarnation)
                .field("back_end", &target.back_end)
                .field("zone", &target.zone)
                .field("state", format!("{:?}", target.state))
                .optional("cold_ms", target.cold_for.map(|cold| cold.as_millis()));
            let id = target.target.clone();
            let previous = state.registry.get(&id).map(|known| known.incarnation);
            match state.registry.upsert(now, target) {
                RegistryChange::None => {}
                RegistryChange::Changed => event.field("change", "changed").info(),
                RegistryChange::Joined => event.field("change", "joined").info(),
                RegistryChange::Restarted => {
                    state.picker.remove(&id);
                    state.on_target_exited(now, &id, previous.unwrap_or_default());
                    event.field("change", "restarted").info();
                }
            }
        }
        Err(unusable) => log_unusable(&mut state.stats, row, &unusable.cause),
    }
}

fn apply_ranges(shared: &Shared, row: &FeedRow) {
    let now = shared.now();
    let mut state = shared.write();
    if let Some(back_end) = row.key.strip_prefix(ROW_PREFIX) {
        return apply_rollout(&mut state, row, back_end);
    }
    let Some(content) = &row.content else { return };
    let decoded = StoredRow::decode(content)
        .and_then(|stored| serde_json::from_value::<AssignmentTable>(stored.value));
    match (row.key.parse::<BackEndId>(), decoded) {
        // Written before the store was restored, or by a write that arrived late. The newest owners
        // that this node knows are more recent.
        (Ok(back_end), Ok(table)) if table.last_epoch().era() < row.version.era() => {
            Event::new("owners-of-former-era")
                .field("back_end", &back_end)
                .field("row_version", row.version)
                .info();
            if state.tables.get(&back_end).is_none() {
                state.tables.insert(back_end.clone(), table);
            }
            if let Some(granter) = state.granters.get_mut(&back_end)
                && granter.era == row.version.era()
                && granter.row_version < row.version
            {
                granter.row_version = row.version;
                granter.assigner.store_again(now);
                // The late write may hide the owners of another leader.
                state.lease.suspend();
            }
        }
        (Ok(back_end), Ok(table)) => {
            Event::new("owners")
                .field("back_end", &back_end)
                .field("ranges", table.len())
                .field("row_version", row.version)
                .info();
            state.tables.insert(back_end, table);
        }
        (Err(error), _) => log_unusable(&mut state.stats, row, &error.to_string()),
        (_, Err(error)) => log_unusable(&mut state.stats, row, &error.to_string()),
    }
}

fn apply_rollout(state: &mut RouterState, row: &FeedRow, back_end: &str) {
    let decoded = row.content.as_deref().map(|content| {
        StoredRow::decode(content)
            .and_then(|stored| serde_json::from_value::<RolloutRow>(stored.value))
    });
    match (back_end.parse(), decoded.transpose()) {
        (Ok(back_end), Ok(decoded)) => rollouts::set_row(state, &back_end, decoded, row.version),
        (Err(error), _) => log_unusable(&mut state.stats, row, &error.to_string()),
        (_, Err(error)) => log_unusable(&mut state.stats, row, &error.to_string()),
    }
}

fn log_unusable(stats: &mut Stats, row: &FeedRow, cause: &str) {
    log_unusable_row(stats, &row.key, row.version, cause);
}

fn log_unusable_row(stats: &mut Stats, key: &str, version: RowVersion, cause: &str) {
    stats.count("row-unusable");
    Event::new("row-unusable")
        .field("key", key)
        .field("row_version", version)
        .field("cause", cause)
        .warn();
}
