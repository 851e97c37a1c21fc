//! Execution of the ownership controller's outputs: calls to targets and the store.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wagtailmoor_backend::{GrantMessage, GrantResult, HeldGrants, RevocationMessage, RevokeResult};
use wagtailmoor_core::{BackEndId, Epoch, Instant, KeyHash, SlotId, TargetId, ZoneId};
use wagtailmoor_ownership::{
    Grant, GrantReply, HeldReply, HeldUnit, Input, Output, QueryHeld, ReadRows, Revoke, RowSource,
    SegmentRow, StoredRow, Unit, WriteResult, WriteRows,
};
use wagtailmoor_store::{Row, RowWrite, Table, WriteOutcome};
use wagtailmoor_telemetry::Event;

use crate::entry::Shared;
use crate::state::State;
use crate::zone_role::ZoneRole;

/// The ownership controller needs a tick at least every 50 ms.
const TICK: Duration = Duration::from_millis(25);

/// Maximum rows of one scan; the table returns at most 1,000 at a time.
const SCAN_ROWS: usize = 1_000;

/// Ticks the ownership controllers that run on this node.
pub(crate) async fn run(entry: Shared) {
    loop {
        let now = entry.now();
        let zones = entry.state().controlled_zones(now);
        zones.iter().for_each(|zone| handle(&entry, zone, Input::Tick));
        sleep(TICK).await;
    }
}

/// Passes an input to the ownership controller of a zone and executes its outputs.
pub(crate) fn handle(entry: &Shared, zone: &ZoneId, input: Input) {
    let now = entry.now();
    let update = |role: &mut ZoneRole| role.ownership.handle(now, input);
    let outputs = entry.state().roles.get_mut(zone).map(update);
    execute(entry, zone, outputs.unwrap_or_default());
}

/// Executes outputs of the ownership controllers of several zones.
pub(crate) fn execute_all(entry: &Shared, outputs: Vec<(ZoneId, Output)>) {
    outputs.into_iter().for_each(|(zone, output)| execute(entry, &zone, vec![output]));
}

/// Executes outputs of the ownership controller of a zone.
pub(crate) fn execute(entry: &Shared, zone: &ZoneId, outputs: Vec<Output>) {
    for output in outputs {
        let (entry, zone) = (entry.clone(), zone.clone());
        match output {
            Output::Grant(grant) => drop(spawn_local(send_grant(entry, zone, grant))),
            Output::Revoke(revoke) => drop(spawn_local(send_revoke(entry, zone, revoke))),
            Output::QueryHeld(query) => drop(spawn_local(send_query(entry, zone, query))),
            Output::WriteRows(write) => drop(spawn_local(write_rows(entry, zone, write))),
            Output::ReadRows(read) => drop(spawn_local(read_rows(entry, zone, read))),
        }
    }
}

fn address(entry: &Shared, target: &TargetId) -> Option<SocketAddr> {
    entry.state().directory.get(target).map(|known| known.address)
}

async fn send_grant(entry: Shared, zone: ZoneId, grant: Grant) {
    let Some(address) = address(&entry, &grant.target) else { return };
    let (slots, hot_keys) = split_units(&grant.units);
    let message = GrantMessage {
        back_end: grant.back_end.clone(),
        generation: grant.generation,
        grant_id: grant.grant_id,
        lease_ms: grant.lease_ms,
        expires_at: grant.expires_at.map(|clock| (clock.incarnation, clock.reading_us)),
        slots,
        hot_keys,
        split_keys: grant.split_keys,
        renews: grant.renews,
        complete: grant.complete,
    };
    // The process may have been paused since the decision; a late grant could outlive its lease.
    if entry.now() >= grant.drop_after {
        return;
    }
    let result = entry.targets.grant(address, &message).await;
    let accepted = GrantReply {
        target: grant.target,
        back_end: grant.back_end,
        grant_id: grant.grant_id,
        refused: Vec::new(),
        newer_generation: None,
        expired: false,
        unknown: false,
        clock: None,
    };
    let reply = match result {
        GrantResult::Accepted { refused, refused_hot_keys, clock } => {
            let refused = join_units(refused, refused_hot_keys);
            GrantReply { refused, clock: clock.map(target_clock), ..accepted }
        }
        GrantResult::StaleGeneration(generation) => {
            GrantReply { newer_generation: Some(generation), ..accepted }
        }
        GrantResult::Rejected { unknown, clock } => {
            GrantReply { expired: !unknown, unknown, clock: clock.map(target_clock), ..accepted }
        }
        GrantResult::Unknown => return,
    };
    handle(&entry, &zone, Input::GrantReply(reply));
}

async fn send_revoke(entry: Shared, zone: ZoneId, revoke: Revoke) {
    let Some(address) = address(&entry, &revoke.target) else { return };
    let (slots, hot_keys) = split_units(&revoke.units);
    let message = RevocationMessage {
        back_end: revoke.back_end.clone(),
        generation: revoke.generation,
        grant_id: revoke.grant_id,
        slots,
        hot_keys,
    };
    if entry.now() >= revoke.drop_after {
        return;
    }
    match entry.targets.revoke(address, &message).await {
        RevokeResult::Acknowledged => {
            let Revoke { target, back_end, grant_id, .. } = revoke;
            handle(&entry, &zone, Input::RevokeReply { back_end, target, grant_id });
        }
        RevokeResult::StaleGeneration(_) | RevokeResult::Unknown => {}
    }
}

async fn send_query(entry: Shared, zone: ZoneId, query: QueryHeld) {
    let Some(address) = address(&entry, &query.target) else { return };
    let Some(held) = entry.targets.held_grants(address).await else { return };
    let HeldGrants { slots, hot_keys, split_keys, clock, .. } = held;
    let slots = slots.into_iter().map(|(slot, epoch, remaining_ms)| HeldUnit {
        unit: Unit::Slot(slot),
        epoch,
        remaining_ms,
    });
    let hot_keys = hot_keys.into_iter().map(|(key, epoch, remaining_ms)| HeldUnit {
        unit: Unit::HotKey(key),
        epoch,
        remaining_ms,
    });
    let reply = HeldReply {
        target: query.target,
        back_end: query.back_end,
        query_id: query.query_id,
        held: slots.chain(hot_keys).collect(),
        split_keys,
        clock: clock.map(target_clock),
    };
    handle(&entry, &zone, Input::HeldReply(reply));
}

async fn write_rows(entry: Shared, zone: ZoneId, write: WriteRows) {
    let back_end = write.back_end.clone();
    let result = match entry.now() >= write.drop_after {
        true => WriteResult::Unknown,
        false => {
            let rows: Vec<RowWrite> =
                write.rows.iter().map(|row| row_write(&back_end, row)).collect();
            match entry.platform.write(write.write_id, &rows).await {
                WriteOutcome::Done(versions) => WriteResult::Done(versions),
                WriteOutcome::Conflict { .. } => WriteResult::Conflict,
                WriteOutcome::Unknown => WriteResult::Unknown,
            }
        }
    };
    handle(&entry, &zone, Input::WriteResult { back_end, write_id: write.write_id, result });
}

async fn read_rows(entry: Shared, zone: ZoneId, read: ReadRows) {
    let requested_at = entry.now();
    let prefix = row_prefix(&read.back_end);
    let rows = match read.segments.is_empty() {
        true => entry.platform.scan(&prefix, "", SCAN_ROWS).await,
        false => read_segments(&entry, &read).await,
    };
    let decoded = rows.map(|rows| rows.into_iter().map(stored_row).collect::<Result<_, _>>());
    let input = match decoded {
        Ok(Ok(rows)) => Input::Rows {
            back_end: read.back_end,
            source: RowSource::Store,
            requested_at,
            complete: read.segments.is_empty(),
            rows,
        },
        Ok(Err(error)) => {
            Event::new("segment-row-invalid").field("error", error).error();
            Input::ReadFailed(read.back_end)
        }
        Err(_) => Input::ReadFailed(read.back_end),
    };
    handle(&entry, &zone, input);
}

async fn read_segments(
    entry: &Shared,
    read: &ReadRows,
) -> Result<Vec<Row>, wagtailmoor_store::StoreError> {
    let mut rows = Vec::with_capacity(read.segments.len());
    for segment in &read.segments {
        rows.extend(entry.platform.read(&row_name(&read.back_end, segment.get())).await?);
    }
    Ok(rows)
}

fn row_prefix(back_end: &BackEndId) -> String {
    format!("segment/{back_end}/")
}

fn row_name(back_end: &BackEndId, segment: u32) -> String {
    format!("segment/{back_end}/{segment:06}")
}

fn row_write(back_end: &BackEndId, write: &wagtailmoor_ownership::RowWrite) -> RowWrite {
    RowWrite {
        row: row_name(back_end, write.row.segment.get()).into(),
        expected: write.expected,
        value: Some(serde_json::to_value(&write.row).expect("a row is representable in JSON")),
    }
}

fn stored_row(row: Row) -> Result<StoredRow, serde_json::Error> {
    let contents: SegmentRow = serde_json::from_value(row.value)?;
    Ok(StoredRow { version: row.version, write_id: row.write_id, row: contents })
}

fn target_clock(
    (incarnation, reading_us): (wagtailmoor_core::Incarnation, u64),
) -> wagtailmoor_ownership::TargetClock {
    wagtailmoor_ownership::TargetClock { incarnation, reading_us }
}

type Slots = Vec<(SlotId, Epoch)>;
type HotKeys = Vec<(KeyHash, Epoch)>;

fn split_units(units: &[(Unit, Epoch)]) -> (Slots, HotKeys) {
    let mut slots = Vec::with_capacity(units.len());
    let mut hot_keys = Vec::new();
    for (unit, epoch) in units {
        match unit {
            Unit::Slot(slot) => slots.push((*slot, *epoch)),
            Unit::HotKey(key) => hot_keys.push((*key, *epoch)),
        }
    }
    (slots, hot_keys)
}

fn join_units(slots: Slots, hot_keys: HotKeys) -> Vec<(Unit, Epoch)> {
    let slots = slots.into_iter().map(|(slot, epoch)| (Unit::Slot(slot), epoch));
    let hot_keys = hot_keys.into_iter().map(|(key, epoch)| (Unit::HotKey(key), epoch));
    slots.chain(hot_keys).collect()
}

impl State {
    /// Returns this node's own zone and the other zones that it controls.
    fn controlled_zones(&self, now: Instant) -> Vec<ZoneId> {
        let own = &self.settings.zone;
        let roles = self.roles.iter();
        let controlled = roles.filter(|(zone, role)| *zone == own || role.is_controller(now));
        controlled.map(|(zone, _)| zone.clone()).collect()
    }
}
