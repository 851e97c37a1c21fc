//! Follows the tables of the store, and applies their rows to the state.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::time::sleep;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::{BackEndId, ConfigVersion, Instant, RowVersion};
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_rollout::RolloutRow;
use wagtailmoor_site::{ElementKind, RegistryChange, UnusableReport};
use wagtailmoor_store::{ChangeFeed, CompressedPage, CompressedRow, FeedError, FeedRow, StoredRow};
use wagtailmoor_telemetry::Event;

use crate::AnswerClock;
use crate::rollouts::{self, ROW_PREFIX};
use crate::row_origin::{RowOrigin, RowSource};
use crate::site_decoder::{OperatorChange, SiteDecoder};
use crate::state::{RouterState, Shared};
use crate::stats::Stats;

/// Table in which the leader stores the owners of ranges.
pub(crate) const RANGES_TABLE: &str = "ranges";

/// A feed call on the tables of operators and targets waits at most this long for a change. A
/// connection may fail without notice, and other nodes rely on this one; only an answer shows that
/// it still receives changes.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// Wait of a feed call on the table of owners. A request to a previous owner is refused, and is
/// sent to the new one later.
const RANGES_FEED_WAIT: Duration = Duration::from_secs(4);

/// Pause after an answer with changes, so that the next answer contains a series of changes. Cold
/// targets change their entries with every heartbeat.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// The same pause for the table of owners, shorter because requests wait for the next owner of a
/// key.
const RANGES_CHANGE_PAUSE: Duration = Duration::from_millis(60);

/// Pause after an answer without changes. It limits the rate of calls to a store that does not
/// wait.
const EMPTY_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which a node checks whether it must follow the store.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Base of the pause after failed calls; each consecutive failure doubles the pause.
const RETRY_PAUSE_BASE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls of the leader or a relay, since other nodes wait for it.
const RELAY_RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Pause of all other nodes from the second consecutive failure on. There are many of these, and
/// their relay sends them changes as soon as the store is reachable again.
const RETRY_PAUSE_OTHERS: Duration = Duration::from_millis(2_500);

/// A node whose rows of a table are older than the feed wait plus this margin is starting to
/// follow the table again.
const RESTART_MARGIN: Duration = Duration::from_millis(800);

/// Consecutive failures after which the store counts as unreachable.
const STORE_DOWN_FAILURES: u32 = 2;

/// Follows one table until the process stops.
pub(crate) async fn follow<F: ChangeFeed, S: SiteDecoder>(
    shared: Shared,
    feed: Rc<F>,
    decoder: Rc<S>,
    table: &'static str,
) {
    let mut after: Option<RowVersion> = None;
    let mut failures = 0;
    let mut clock = AnswerClock::default();
    let (wait, change_pause) = match table {
        RANGES_TABLE => (RANGES_FEED_WAIT, RANGES_CHANGE_PAUSE),
        _ => (FEED_WAIT, CHANGE_PAUSE),
    };
    loop {
        if !is_followed(&shared, table) {
            failures = 0;
            clear_outage(&shared);
            sleep(SOURCE_CHECK_INTERVAL).await;
            continue;
        }
        // While the store is unreachable, only one table's feed is retried to detect its return.
        if failures > 0 && shared.read().store_down.is_some_and(|other| other != table) {
            sleep(SOURCE_CHECK_INTERVAL).await;
            continue;
        }
        // Rows that another node relayed need not be read again.
        let relayed = shared.read().rows.version(table);
        after = after.or(Some(relayed).filter(|version| version.get() > 0));
        after = after.map(|after| after.max(relayed));
        let sent_at = shared.now();
        let page = match after {
            None => feed.snapshot(table).await,
            Some(after) => {
                let wait = match clock.needs_reference(sent_at) {
                    true => Duration::ZERO,
                    false => feed_wait(&shared, table, wait),
                };
                feed.changes(table, after, wait).await
            }
        };
        match page {
            Ok(page) => {
                if failures >= STORE_DOWN_FAILURES {
                    on_store_recovery(&shared, table);
                }
                failures = 0;
                let received_at = shared.now();
                let as_of = clock.date(sent_at, received_at, page.store_time);
                let origin = RowOrigin { source: RowSource::Store, as_of, received_at };
                let changed = !page.rows.is_empty();
                let page = match after {
                    None => CompressedPage::compress_listing(page),
                    Some(_) => CompressedPage::compress(page),
                };
                after = Some(page.version);
                apply(&shared, &*decoder, table, origin, page);
                record_answer::<S>(&shared, table, as_of);
                sleep(if changed { change_pause } else { EMPTY_PAUSE }).await;
            }
            Err(FeedError::HistoryLost) => {
                Event::new("history-lost").field("table", table).warn();
                after = None;
                shared.write().rows.reset_version(table);
            }
            Err(FeedError::Unavailable { cause }) => {
                failures += 1;
                on_call_failed(&shared, table, failures, sent_at, &cause);
                sleep(retry_pause(&shared, failures)).await;
            }
        }
    }
}

/// Returns whether this node must follow a table itself. Other nodes relay the owners as long as
/// the leader is in contact with this node, even if the leader cannot reach the store.
fn is_followed(shared: &Shared, table: &str) -> bool {
    let now = shared.now();
    let state = shared.read();
    let has_leader_contact =
        now.saturating_since(state.leader_last_contact) < ReportTiming::REPLY_LIFETIME;
    let is_relayed = table == RANGES_TABLE && has_leader_contact && !state.leader_view(now).is_self;
    state.follows_store(now) && !is_relayed
}

/// Returns how long a feed call waits for changes. A node that starts to follow the store again
/// does not wait: others, and requests, rely on its data as soon as the store has answered for each
/// table.
fn feed_wait(shared: &Shared, table: &str, wait: Duration) -> Duration {
    let (now, state) = (shared.now(), shared.read());
    let confirmed_to = state.tables_confirmed_to.get(table).copied().unwrap_or_default();
    match now.saturating_since(confirmed_to) > wait + RESTART_MARGIN {
        true => Duration::ZERO,
        false => wait,
    }
}

/// Clears the outage on a node that gets changes from another node and does not call the store.
fn clear_outage(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.write();
    if !state.follows_store(now) {
        state.store_down = None;
    }
}

/// Returns the pause after a failed call, with jitter so that nodes do not all retry at once.
fn retry_pause(shared: &Shared, failures: u32) -> Duration {
    let now = shared.now();
    let state = shared.read();
    let others_depend = state.source.is_relay() || state.leader_view(now).is_self;
    let doubled = RETRY_PAUSE_BASE * 2u32.saturating_pow(failures.min(8));
    let is_cut_off = state.source.is_cut_off(now);
    drop(state);
    let longest = match others_depend {
        // The call may have failed because this process stood still; requests wait for the next one.
        _ if is_cut_off && failures == 1 => return EMPTY_PAUSE,
        true => doubled.min(RELAY_RETRY_PAUSE_MAX),
        // A single failure may concern only an old connection.
        false if failures < STORE_DOWN_FAILURES => doubled,
        false => RETRY_PAUSE_OTHERS,
    };
    longest.mul_f64(shared.write().random.random_range(0.5..1.0))
}

/// Records that all rows of a table up to an instant are in force. The older one of the tables of
/// operators and targets determines the age of this node's data.
fn record_answer<S: SiteDecoder>(shared: &Shared, table: &'static str, as_of: Instant) {
    let mut state = shared.write();
    state.tables_confirmed_to.insert(table, as_of);
    let confirmed_to = [S::OPERATOR_TABLE, S::TARGET_TABLE]
        .map(|table| state.tables_confirmed_to.get(table).copied().unwrap_or_default());
    let is_newer = state.source.record_store_answer(confirmed_to[0].min(confirmed_to[1]));
    drop(state);
    if is_newer {
        shared.data_confirmed.notify_waiters();
    }
}

fn on_call_failed(
    shared: &Shared,
    table: &'static str,
    failures: u32,
    sent_at: Instant,
    cause: &str,
) {
    let now = shared.now();
    let mut state = shared.write();
    state.stats.count("store-call-failed");
    let leader = state.leader_view(now);
    let could_relay = state.source.can_relay(now, leader);
    state.source.record_store_failure();
    state.decision_gate.record_failure(now, sent_at);
    if could_relay && !state.source.can_relay(now, leader) {
        // Wakes the pending calls of other nodes, so that these switch to another source at once.
        shared.routes_changed.notify_waiters();
    }
    if failures >= STORE_DOWN_FAILURES && state.store_down.is_none() {
        state.store_down = Some(table);
        Event::new("store-lost").field("table", table).field("cause", cause).warn();
    }
}

fn on_store_recovery(shared: &Shared, table: &str) {
    let now = shared.now();
    let mut state = shared.write();
    let outage_ms = state.source.age(now).as_millis();
    state.store_down = None;
    state.registry.on_store_recovery(now);
    Event::new("store-regained").field("table", table).field("away_ms", outage_ms).info();
}

/// Applies rows of a table, from the store or from another node.
pub(crate) fn apply<S: SiteDecoder>(
    shared: &Shared,
    decoder: &S,
    table: &str,
    origin: RowOrigin,
    page: CompressedPage,
) {
    let now = shared.now();
    let mut state = shared.write();
    state.observe_era(now, page.version.era());
    let newer = state.rows.merge(now, table, page);
    drop(state);
    apply_rows(shared, decoder, table, origin, &newer);
}

/// Applies rows that went back when the store was restored and were not written again in time.
pub(crate) fn apply_due<S: SiteDecoder>(shared: &Shared, decoder: &S) {
    for table in [S::OPERATOR_TABLE, S::TARGET_TABLE, RANGES_TABLE] {
        let due = shared.write().rows.take_due(shared.now(), table);
        if !due.is_empty() {
            Event::new("restored-rows").field("table", table).field("rows", due.len()).info();
        }
        let now = shared.now();
        let origin = RowOrigin { source: RowSource::OwnCopy, as_of: now, received_at: now };
        apply_rows(shared, decoder, table, origin, &due);
    }
}

fn apply_rows<S: SiteDecoder>(
    shared: &Shared,
    decoder: &S,
    table: &str,
    origin: RowOrigin,
    rows: &[CompressedRow],
) {
    for compressed in rows {
        match compressed.decompress() {
            Ok(row) if table == S::OPERATOR_TABLE => apply_operator(shared, decoder, origin, &row),
            Ok(row) if table == S::TARGET_TABLE => apply_target(shared, decoder, &row),
            Ok(row) => apply_ranges(shared, &row),
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
                    .field("store_age_ms", state.source.age(now).as_millis())
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
