//! Grants ranges to targets while this process leads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_core::{BackEndId, Instant, RowVersion};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, GrantOutcome, Member, RangeAssigner,
    ReleaseOutcome, StoreOutcome, TargetProcess,
};
use wagtailmoor_store::{ConfirmedOutcome, RowWrite, Table, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::feeds::RANGES_TABLE;
use crate::leader_loop::write_id;
use crate::state::{RouterState, Shared};
use crate::target_choice::DEFAULT_LATENCY;
use crate::target_control::{GrantCall, ReleaseCall, TargetControl};

/// Longest time between two ticks of the assigners.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Shortest time between two ticks. A tick visits all ranges and targets, and on a large site
/// hundreds of grants are answered each second.
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(15);

/// Interval at which the admitted shares of ranges are computed.
const SHARES_INTERVAL: Duration = Duration::from_millis(200);

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
        let now = shared.now();
        let Some(authority) = shared.read().lease.authority(now) else { continue };
        let back_ends = keyed_back_ends(&shared.read());
        for back_end in back_ends {
            if !shared.read().assigners.contains_key(&back_end) {
                start(&shared, &*table, &back_end, authority).await;
            }
            let commands = tick(&shared, &back_end, authority);
            for command in commands {
                execute(&shared, &table, &control, &back_end, command);
            }
        }
    }
}

fn keyed_back_ends(state: &RouterState) -> Vec<BackEndId> {
    let rules = state.config.iter().flat_map(|config| config.back_ends());
    rules.filter(|rule| rule.keyed).map(|rule| rule.back_end.clone()).collect()
}

/// Reads the stored owners of a back end, writes them back so that no previous leader can change
/// them, and starts the assigner.
async fn start<T: Table>(shared: &Shared, table: &T, back_end: &BackEndId, authority: Authority) {
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
    let settings = AssignerSettings::default();
    let assigner = RangeAssigner::new(now, settings, authority, stored.as_ref());
    let mut state = shared.write();
    state.assigners.insert(back_end.clone(), assigner);
    state.table_versions.insert(back_end.clone(), version);
    if let Some(table) = stored {
        state.tables.insert(back_end.clone(), table);
    }
    Event::new("granter-started")
        .field("back_end", back_end)
        .field("row_version", version)
        .field("sole_in_ms", authority.sole_from.saturating_since(now).as_millis())
        .info();
}

fn tick(shared: &Shared, back_end: &BackEndId, authority: Authority) -> Vec<Command> {
    let now = shared.now();
    let mut state = shared.write();
    state.remove_expired_targets(now);
    let state = &mut *state;
    let mean = mean_service_time(state, now, back_end);
    let members = members(state, now, back_end, mean);
    update_shares(state, now, back_end, mean);
    let Some(assigner) = state.assigners.get_mut(back_end) else { return Vec::new() };
    assigner.set_authority(authority);
    assigner.set_members(now, members);
    assigner.tick(now)
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

/// Returns the mean service time of a back end's targets, or the default without recent answers.
fn mean_service_time(state: &RouterState, now: Instant, back_end: &BackEndId) -> Duration {
    let all = state.registry.targets_of(back_end).map(|target| &target.target);
    state.speeds.mean_service_time(now, all).unwrap_or(DEFAULT_LATENCY)
}

/// Computes the admitted shares of ranges that get more requests than their owners can run in time.
fn update_shares(state: &mut RouterState, now: Instant, back_end: &BackEndId, mean: Duration) {
    if state.shares_computed_at.get(back_end).is_some_and(|at| now < *at + SHARES_INTERVAL) {
        return;
    }
    let objective = state.config.as_ref().and_then(|config| config.objective(back_end));
    let (Some(objective), Some(assigner)) = (objective, state.assigners.get(back_end)) else {
        return;
    };
    let capacity = |process: &TargetProcess| {
        let target = state.registry.get(&process.target)?;
        Some(state.speeds.capacity(now, target, mean, objective))
    };
    let shares = assigner.limited_shares(now, capacity);
    state.shares_computed_at.insert(back_end.clone(), now);
    state.shares.insert(back_end.clone(), shares);
}

fn row_name(back_end: &BackEndId) -> String {
    format!("{RANGES_TABLE}/{back_end}")
}

/// Starts a task that executes a command and reports its outcome to the assigner.
fn execute<T: Table + 'static, C: TargetControl + 'static>(
    shared: &Shared,
    table: &Rc<T>,
    control: &Rc<C>,
    back_end: &BackEndId,
    command: Command,
) {
    let (shared, table, control) = (Rc::clone(shared), Rc::clone(table), Rc::clone(control));
    let back_end = back_end.clone();
    spawn_local(async move {
        match command {
            Command::Grant { process, range, epoch, validity, handover } => {
                let target = process.target.clone();
                let call = GrantCall { target, range, epoch, validity, handover };
                grant(&shared, &*control, &back_end, &process, &call).await;
            }
            Command::Release { process, range, epoch } => {
                let target = process.target.clone();
                let call = ReleaseCall { target, range, epoch };
                release(&shared, &*control, &back_end, &process, &call).await;
            }
            Command::Store { table: owners } => store(&shared, &*table, &back_end, owners).await,
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
    if let Some(assigner) = state.assigners.get_mut(back_end) {
        assigner.on_grant_outcome(now, process, call.range, call.epoch, sent_at, outcome);
    }
}

async fn release<C: TargetControl>(
    shared: &Shared,
    control: &C,
    back_end: &BackEndId,
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
    if let Some(assigner) = state.assigners.get_mut(back_end) {
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
    owners: AssignmentTable,
) {
    let expected = shared.read().table_versions.get(back_end).copied().unwrap_or_default();
    let outcome = write_owners(shared, table, back_end, &owners, expected).await;
    let now = shared.now();
    let mut state = shared.write();
    let state = &mut *state;
    let outcome = match outcome {
        ConfirmedOutcome::Done(version) => {
            state.table_versions.insert(back_end.clone(), version);
            state.tables.insert(back_end.clone(), owners);
            StoreOutcome::Stored
        }
        ConfirmedOutcome::Conflict => StoreOutcome::Conflict,
        ConfirmedOutcome::Unknown => StoreOutcome::Failed,
    };
    Event::new("owners-stored")
        .field("back_end", back_end)
        .field("expected", expected)
        .field("outcome", format!("{outcome:?}"))
        .info();
    match (outcome, state.assigners.get_mut(back_end)) {
        // Another process stored owners and may lead, so this assigner's state is invalid.
        (StoreOutcome::Conflict, _) => {
            state.assigners.remove(back_end);
            state.lease.suspend();
        }
        (outcome, Some(assigner)) => assigner.on_store_outcome(now, outcome),
        (_, None) => {}
    }
    shared.routes_changed.notify_waiters();
}
