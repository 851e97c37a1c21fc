//! Grants ranges to targets while this process leads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_core::{BackEndId, Generation, Instant, RowVersion};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Command, GrantOutcome, Member, RangeAssigner,
    ReleaseOutcome, StoreOutcome, TargetProcess,
};
use wagtailmoor_store::{ConfirmedOutcome, RowWrite, Table, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::admission_control;
use crate::feeds::RANGES_TABLE;
use crate::granter::{Granter, GranterId};
use crate::leader_loop::write_id;
use crate::state::{RouterState, Shared};
use crate::target_control::{GrantCall, ReleaseCall, TargetControl};

/// Longest time between two ticks of the assigners.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Shortest time between two ticks. A tick visits all ranges and targets, and on a large site
/// hundreds of grants are answered each second.
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(15);

/// Runs the assigners until the process stops.
pub(crate) async fn run<T: Table + 'static, C: TargetControl + 'static>(
    shared: Shared,
    table: Rc<T>,
    control: Rc<C>,
) {
    loop {
        // A notification ends the wait, but not before the shortest interval has passed.
        sleep(TICK_INTERVAL_MIN).await;
        drop(timeout(TICK_INTERVAL_MAX - TICK_INTERVAL_MIN, shared.assigner_due.notified()).await);
        let back_ends = keyed_back_ends(&shared.read());
        for back_end in back_ends {
            let Some(term) = current_term(&shared) else { break };
            if shared.read().granters.get(&back_end).is_none() {
                start(&shared, &*table, &back_end, term).await;
            }
            let Some((granter, commands)) = tick(&shared, &back_end) else { continue };
            for command in commands {
                execute(&shared, &table, &control, &back_end, granter, command);
            }
        }
    }
}

/// Returns the current term, and removes the granters of earlier ones.
fn current_term(shared: &Shared) -> Option<Generation> {
    let mut state = shared.write();
    let term = state.lease.term(shared.now())?;
    state.granters.retain_term(term);
    Some(term)
}

fn keyed_back_ends(state: &RouterState) -> Vec<BackEndId> {
    let rules = state.config.iter().flat_map(|config| config.back_ends());
    rules.filter(|rule| rule.keyed).map(|rule| rule.back_end.clone()).collect()
}

/// Reads the stored owners of a back end, writes them back so that no previous leader can change
/// them, and starts the granter, unless the term has ended meanwhile.
async fn start<T: Table>(shared: &Shared, table: &T, back_end: &BackEndId, term: Generation) {
    let row = match table.read(&row_name(back_end)).await {
        Ok(row) => row,
        Err(error) => {
            Event::new("owners-read-failed").field("cause", error).warn();
            return;
        }
    };
    let version = row.as_ref().map_or(RowVersion::default(), |row| row.version);
    let stored = match row.map(|row| serde_json::from_value::<AssignmentTable>(row.value)) {
        None => None,
        Some(Ok(table)) => Some(table),
        Some(Err(error)) => {
            Event::new("owners-unreadable").field("cause", error).error();
            return;
        }
    };
    let version = match &stored {
        None => version,
        Some(owners) => match write_owners(shared, table, back_end, owners, version).await {
            // From here on writes of a previous leader fail, since they expect the old version.
            ConfirmedOutcome::Done(version) => version,
            ConfirmedOutcome::Conflict => return shared.write().lease.suspend(),
            ConfirmedOutcome::Unknown => return,
        },
    };
    let now = shared.now();
    let mut state = shared.write();
    let authority = match (state.lease.term(now), state.lease.authority(now)) {
        (Some(current), Some(authority)) if current == term => authority,
        // Another leader may have stored other owners since the read.
        _ => {
            Event::new("granter-start-abandoned").field("back_end", back_end).warn();
            return;
        }
    };
    let settings = AssignerSettings::default();
    let assigner = match state.granters.has_started(back_end, term) {
        true => RangeAssigner::new(now, settings, authority, stored.as_ref()),
        false => RangeAssigner::first_under(now, settings, authority, stored.as_ref()),
    };
    state.granters.start(back_end.clone(), term, assigner, version);
    if let Some(table) = stored {
        state.tables.insert(back_end.clone(), table);
    }
    Event::new("granter-started")
        .field("back_end", back_end)
        .field("row_version", version)
        .field("sole_in_ms", authority.sole_from.saturating_since(now).as_millis())
        .info();
}

/// Advances the granter of a back end. Returns the commands to execute with its id; `None` if the
/// back end has no granter in the current term.
fn tick(shared: &Shared, back_end: &BackEndId) -> Option<(GranterId, Vec<Command>)> {
    let now = shared.now();
    let mut state = shared.write();
    let (term, authority) = (state.lease.term(now)?, state.lease.authority(now)?);
    state.remove_expired_targets(now);
    let state = &mut *state;
    let mean = state.mean_service_time(now, back_end);
    let members = members(state, now, back_end, mean);
    admission_control::update_keyed(state, now, back_end, mean);
    let granter = state.granters.get_mut(back_end)?;
    if granter.generation != term {
        return None;
    }
    granter.assigner.set_authority(authority);
    granter.assigner.set_members(now, members);
    Some((granter.id, granter.assigner.tick(now)))
}

fn members(state: &RouterState, now: Instant, back_end: &BackEndId, mean: Duration) -> Vec<Member> {
    let registry = &state.registry;
    let mean_s = mean.as_secs_f64().max(f64::EPSILON);
    registry
        .targets_of(back_end)
        .map(|target| {
            let in_service = registry.is_in_service(now, &target.target);
            let speed = state.speeds.relative_speed(now, &target.target, mean);
            Member {
                process: TargetProcess {
                    target: target.target.clone(),
                    incarnation: target.incarnation,
                },
                capacity_per_s: f64::from(target.slots.get().max(1)) * speed / mean_s,
                eligible: in_service && !registry.is_cold(now, &target.target),
                leaving: !in_service,
            }
        })
        .collect()
}

fn row_name(back_end: &BackEndId) -> String {
    format!("{RANGES_TABLE}/{back_end}")
}

/// Starts a task that executes a command of a granter and reports its outcome to it.
fn execute<T: Table + 'static, C: TargetControl + 'static>(
    shared: &Shared,
    table: &Rc<T>,
    control: &Rc<C>,
    back_end: &BackEndId,
    granter: GranterId,
    command: Command,
) {
    let (shared, table, control) = (Rc::clone(shared), Rc::clone(table), Rc::clone(control));
    let back_end = back_end.clone();
    spawn_local(async move {
        match command {
            Command::Grant { process, range, epoch, validity, handover } => {
                let target = process.target.clone();
                let call = GrantCall { target, range, epoch, validity, handover };
                grant(&shared, &*control, &back_end, granter, &process, &call).await;
            }
            Command::Release { process, range, epoch } => {
                let target = process.target.clone();
                let call = ReleaseCall { target, range, epoch };
                release(&shared, &*control, &back_end, granter, &process, &call).await;
            }
            Command::Store { table: owners } => {
                store(&shared, &*table, &back_end, granter, owners).await;
            }
        }
        shared.assigner_due.notify_one();
    });
}

fn address(shared: &Shared, process: &TargetProcess) -> Option<SocketAddr> {
    let state = shared.read();
    let target = state.registry.get(&process.target)?;
    (target.incarnation == process.incarnation).then_some(target.address)
}

async fn grant<C: TargetControl>(
    shared: &Shared,
    control: &C,
    back_end: &BackEndId,
    granter: GranterId,
    process: &TargetProcess,
    call: &GrantCall,
) {
    let sent_at = shared.now();
    let outcome = match address(shared, process) {
        Some(address) => control.grant(address, call).await,
        None => GrantOutcome::NotDelivered,
    };
    let now = shared.now();
    let mut state = shared.write();
    let event = Event::new("grant")
        .field("back_end", back_end)
        .field("target", process)
        .field("range", call.range)
        .field("epoch", call.epoch)
        .field("outcome", format!("{outcome:?}"))
        .field("elapsed_ms", now.saturating_since(sent_at).as_millis());
    match outcome {
        GrantOutcome::Held => event.debug(),
        _ => event.warn(),
    }
    if let Some(Granter { assigner, .. }) = state.granters.get_by_id(back_end, granter) {
        assigner.on_grant_outcome(now, process, call.range, call.epoch, sent_at, outcome);
    }
}

async fn release<C: TargetControl>(
    shared: &Shared,
    control: &C,
    back_end: &BackEndId,
    granter: GranterId,
    process: &TargetProcess,
    call: &ReleaseCall,
) {
    let sent_at = shared.now();
    let outcome = match address(shared, process) {
        Some(address) => control.release(address, call).await,
        None => ReleaseOutcome::Unknown,
    };
    let now = shared.now();
    let mut state = shared.write();
    Event::new("release")
        .field("back_end", back_end)
        .field("target", process)
        .field("range", call.range)
        .field("epoch", call.epoch)
        .field("outcome", format!("{outcome:?}"))
        .field("elapsed_ms", now.saturating_since(sent_at).as_millis())
        .info();
    if let Some(Granter { assigner, .. }) = state.granters.get_by_id(back_end, granter) {
        assigner.on_release_outcome(now, process, call.range, call.epoch, &outcome);
    }
}

async fn write_owners<T: Table>(
    shared: &Shared,
    table: &T,
    back_end: &BackEndId,
    owners: &AssignmentTable,
    expected: RowVersion,
) -> ConfirmedOutcome {
    let value = serde_json::to_value(owners).expect("an assignment table is representable in JSON");
    let write = RowWrite { row: row_name(back_end).into(), expected, value: Some(value) };
    write_and_confirm(table, write_id(shared), write).await
}

async fn store<T: Table>(
    shared: &Shared,
    table: &T,
    back_end: &BackEndId,
    granter: GranterId,
    owners: AssignmentTable,
) {
    let known = shared.write().granters.get_by_id(back_end, granter).map(|known| known.row_version);
    let Some(expected) = known else { return };
    let written = write_owners(shared, table, back_end, &owners, expected).await;
    let now = shared.now();
    let mut state = shared.write();
    let state = &mut *state;
    Event::new("owners-stored")
        .field("back_end", back_end)
        .field("expected", expected)
        .field("outcome", format!("{written:?}"))
        .info();
    let Some(granter) = state.granters.get_by_id(back_end, granter) else { return };
    match written {
        ConfirmedOutcome::Done(version) => {
            granter.row_version = version;
            granter.assigner.on_store_outcome(now, StoreOutcome::Stored);
            state.tables.insert(back_end.clone(), owners);
        }
        // Another process stored owners and may lead, so the assigner's state is invalid.
        ConfirmedOutcome::Conflict => {
            state.granters.remove(back_end);
            state.lease.suspend();
        }
        ConfirmedOutcome::Unknown => granter.assigner.on_store_outcome(now, StoreOutcome::Failed),
    }
    shared.routes_changed.notify_waiters();
}
