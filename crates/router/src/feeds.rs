//! Follows the tables of the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::time::sleep;
use wagtailmoor_core::{BackEndId, RowVersion};
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_site::RegistryChange;
use wagtailmoor_store::{ChangeFeed, FeedError, FeedPage, FeedRow, PackedPage, StoredRow};
use wagtailmoor_telemetry::Event;

use crate::site_decoder::{OperatorChange, SiteDecoder};
use crate::state::Shared;
use crate::stats::Stats;

/// Table in which the granter stores owners.
pub(crate) const RANGES_TABLE: &str = "ranges";

/// Longest wait for a change of what operators and targets write. A connection may go silent for
/// good, and other nodes rely on this one; only an answer shows that it still hears of changes.
const WAIT: Duration = Duration::from_millis(400);

/// The same for owners; a request to a former owner is refused and finds the new one later.
const RANGES_WAIT: Duration = Duration::from_secs(4);

/// Pause between calls, so that a series of changes comes in one answer. Cold targets change their
/// entries with every heartbeat.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// The same for owners: requests wait for the next owner of a key.
const RANGES_CHANGE_PAUSE: Duration = Duration::from_millis(60);

/// Pause after an answer without changes. It bounds the calls to a store that answers too soon.
const EMPTY_PAUSE: Duration = Duration::from_millis(20);

/// Time between looks at whether this node is to follow the store.
const SOURCE_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a call of the leader or a relay that failed, doubled by each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between calls of the leader or a relay that fail; others wait for it.
const RELAY_RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Pause between calls that fail on other nodes, of which there are many, from the second failure on.
/// They hear of the store's return from their relay.
const RETRY_PAUSE_ALONE: Duration = Duration::from_millis(2_500);

/// A leader that was not heard of for this long does not pass on owners either.
const LEADER_SILENCE_MAX: Duration = Duration::from_millis(1_000);

/// Time after the wait of its last call for a table at which a node follows the table anew.
const ANEW_AFTER: Duration = Duration::from_millis(1_000);

/// Failures in a row after which the store counts as out of reach.
const FAILURES_TO_DOWN: u32 = 2;

/// Follows one table until the process ends.
pub(crate) async fn follow<F: ChangeFeed, S: SiteDecoder>(
    shared: Shared,
    feed: Rc<F>,
    decoder: Rc<S>,
    table: &'static str,
) {
    let mut after: Option<RowVersion> = None;
    let mut failures = 0;
    let (wait, change_pause) = match table {
        RANGES_TABLE => (RANGES_WAIT, RANGES_CHANGE_PAUSE),
        _ => (WAIT, CHANGE_PAUSE),
    };
    loop {
        if !is_followed(&shared, table) {
            failures = 0;
            forget_outage(&shared);
            sleep(SOURCE_PAUSE).await;
            continue;
        }
        // While the store is away, one table is enough to find out when it returns.
        if failures > 0 && shared.read().store_down.is_some_and(|other| other != table) {
            sleep(SOURCE_PAUSE).await;
            continue;
        }
        // What another node passed on needs not be read again.
        let relayed = shared.read().rows.version(table);
        after = after.or(Some(relayed).filter(|version| version.get() > 0));
        after = after.map(|after| after.max(relayed));
        let page = match after {
            None => feed.snapshot(table).await,
            Some(after) => feed.changes(table, after, first_wait(&shared, table, wait)).await,
        };
        match page {
            Ok(page) => {
                if failures >= FAILURES_TO_DOWN {
                    note_returned(&shared, table);
                }
                failures = 0;
                note_heard::<S>(&shared, table);
                if after.is_none() {
                    drop_missing(&shared, &*decoder, table, &page);
                }
                after = Some(page.version);
                let changed = !page.rows.is_empty();
                apply(&shared, &*decoder, table, PackedPage::pack(page));
                sleep(if changed { change_pause } else { EMPTY_PAUSE }).await;
            }
            Err(FeedError::HistoryLost) => {
                Event::new("history-lost").field("table", table).warn();
                after = None;
                shared.write().rows.forget_version(table);
            }
            Err(FeedError::Unavailable { cause }) => {
                failures += 1;
                note_failed(&shared, table, failures, &cause);
                sleep(pause(&shared, failures)).await;
            }
        }
    }
}

/// Returns whether this node is to follow a table itself. Owners come with the leader's rows as long
/// as the leader is heard, also while it lacks the store.
fn is_followed(shared: &Shared, table: &str) -> bool {
    let now = shared.now();
    let state = shared.read();
    let hears_leader = now.saturating_since(state.leader_heard) < LEADER_SILENCE_MAX;
    let others_tell = table == RANGES_TABLE && hears_leader && !state.lead(now).own;
    state.follows_store(now) && !others_tell
}

/// Returns how long a call waits for changes. One that follows the store anew does not wait: others
/// rely on what it knows as soon as the store answered for each table.
fn first_wait(shared: &Shared, table: &str, wait: Duration) -> Duration {
    let heard = shared.read().tables_heard.get(table).copied().unwrap_or_default();
    match shared.now().saturating_since(heard) > wait + ANEW_AFTER {
        true => Duration::ZERO,
        false => wait,
    }
}

/// Ends the search for the store's return on a node that hears of changes from another one.
fn forget_outage(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.write();
    if !state.follows_store(now) {
        state.store_down = None;
    }
}

/// The pause varies at random, so that nodes do not return all at once.
fn pause(shared: &Shared, failures: u32) -> Duration {
    let now = shared.now();
    let state = shared.read();
    let others_wait = state.source.is_relay() || state.lead(now).own;
    drop(state);
    let doubled = RETRY_PAUSE * 2u32.saturating_pow(failures.min(8));
    let longest = match others_wait {
        true => doubled.min(RELAY_RETRY_PAUSE_MAX),
        // One failure may be that of an old connection only.
        false if failures < FAILURES_TO_DOWN => doubled,
        false => RETRY_PAUSE_ALONE,
    };
    longest.mul_f64(shared.write().random.random_range(0.5..1.0))
}

/// Notes when the store answered; what operators and targets write counts, whichever is older.
fn note_heard<S: SiteDecoder>(shared: &Shared, table: &'static str) {
    let now = shared.now();
    let mut state = shared.write();
    state.tables_heard.insert(table, now);
    let heard = [S::OPERATOR_TABLE, S::TARGET_TABLE]
        .map(|table| state.tables_heard.get(table).copied().unwrap_or_default());
    state.source.note_heard(heard[0].min(heard[1]));
}

fn note_failed(shared: &Shared, table: &'static str, failures: u32, cause: &str) {
    let now = shared.now();
    let mut state = shared.write();
    state.stats.count("store-call-failed");
    let passed_on = state.source.passes_on(now);
    state.source.note_store_failed();
    if passed_on && !state.source.passes_on(now) {
        // Nodes that wait here find another source at once.
        shared.routes_changed.notify_waiters();
    }
    if failures >= FAILURES_TO_DOWN && state.store_down.is_none() {
        state.store_down = Some(table);
        Event::new("store-lost").field("table", table).field("cause", cause).warn();
    }
}

fn note_returned(shared: &Shared, table: &str) {
    let now = shared.now();
    let mut state = shared.write();
    let away_ms = state.source.age(now).as_millis();
    state.store_down = None;
    state.registry.store_returned(now);
    Event::new("store-regained").field("table", table).field("away_ms", away_ms).info();
}

/// Treats rows that a full read does not list as removed.
fn drop_missing<S: SiteDecoder>(shared: &Shared, decoder: &S, table: &str, listed: &FeedPage) {
    let missing = shared.read().rows.missing(table, listed);
    apply(shared, decoder, table, missing);
}

/// Takes rows of a table, from the store or from another node.
pub(crate) fn apply<S: SiteDecoder>(shared: &Shared, decoder: &S, table: &str, page: PackedPage) {
    let newer = shared.write().rows.merge(table, page);
    for packed in &newer {
        match packed.unpack() {
            Ok(row) if table == S::OPERATOR_TABLE => apply_operator(shared, decoder, &row),
            Ok(row) if table == S::TARGET_TABLE => apply_target(shared, decoder, &row),
            Ok(row) => apply_ranges(shared, &row),
            Err(error) => {
                let mut state = shared.write();
                note_unusable_row(
                    &mut state.stats,
                    &packed.key,
                    packed.version,
                    &error.to_string(),
                );
            }
        }
    }
    if !newer.is_empty() {
        shared.routes_changed.notify_waiters();
        shared.granter_due.notify_one();
    }
}

fn apply_operator<S: SiteDecoder>(shared: &Shared, decoder: &S, row: &FeedRow) {
    let now = shared.now();
    let mut state = shared.write();
    match decoder.operator_change(&row.key, row.content.as_deref()) {
        Ok(OperatorChange::Config(config)) => {
            let version = config.version();
            let known = state.config.as_ref().map(|config| config.version());
            if known.is_none_or(|known| known < version) {
                state.config = Some(*config);
                Event::new("config")
                    .field("version", version)
                    .optional("before", known)
                    .field("bytes", row.content.as_ref().map_or(0, Bytes::len))
                    .field("row_version", row.version)
                    .field("store_age_ms", state.source.age(now).as_millis())
                    .info();
            }
        }
        Ok(OperatorChange::ZoneOut(zone)) => {
            state.registry.zones_out_mut().take_out(zone.clone());
            Event::new("zone-out").field("zone", zone).field("row_version", row.version).info();
        }
        Ok(OperatorChange::ZoneBack(zone)) => {
            state.registry.zones_out_mut().put_back(&zone);
            Event::new("zone-back").field("zone", zone).field("row_version", row.version).info();
        }
        Err(unusable) => note_unusable(&mut state.stats, row, &unusable.cause),
    }
}

fn apply_target<S: SiteDecoder>(shared: &Shared, decoder: &S, row: &FeedRow) {
    let now = shared.now();
    let mut state = shared.write();
    state.drop_gone(now);
    let Some(content) = &row.content else {
        if let Ok(target) = row.key.parse() {
            let known = state.registry.get(&target).map(|known| known.incarnation);
            if let Some(incarnation) = known {
                state.note_ended(now, &target, incarnation);
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
            let before = state.registry.get(&id).map(|known| known.incarnation);
            match state.registry.upsert(now, target) {
                RegistryChange::None => {}
                RegistryChange::Changed => event.field("change", "changed").info(),
                RegistryChange::Joined => event.field("change", "joined").info(),
                RegistryChange::Restarted => {
                    state.picker.forget(&id);
                    state.note_ended(now, &id, before.unwrap_or_default());
                    event.field("change", "restarted").info();
                }
            }
        }
        Err(unusable) => note_unusable(&mut state.stats, row, &unusable.cause),
    }
}

fn apply_ranges(shared: &Shared, row: &FeedRow) {
    let mut state = shared.write();
    let Some(content) = &row.content else { return };
    let decoded = StoredRow::decode(content)
        .and_then(|stored| serde_json::from_value::<AssignmentTable>(stored.value));
    match (row.key.parse::<BackEndId>(), decoded) {
        (Ok(back_end), Ok(table)) => {
            Event::new("owners")
                .field("back_end", &back_end)
                .field("ranges", table.len())
                .field("row_version", row.version)
                .info();
            state.tables.insert(back_end, table);
        }
        (Err(error), _) => note_unusable(&mut state.stats, row, &error.to_string()),
        (_, Err(error)) => note_unusable(&mut state.stats, row, &error.to_string()),
    }
}

fn note_unusable(stats: &mut Stats, row: &FeedRow, cause: &str) {
    note_unusable_row(stats, &row.key, row.version, cause);
}

fn note_unusable_row(stats: &mut Stats, key: &str, version: RowVersion, cause: &str) {
    stats.count("row-unusable");
    Event::new("row-unusable")
        .field("key", key)
        .field("row_version", version)
        .field("cause", cause)
        .warn();
}
