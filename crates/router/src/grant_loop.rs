//! Grants ranges to targets while this process leads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wagtailmoor_core::{BackEndId, Epoch, Generation, Instant, RowVersion, StoreEra};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Command, GrantOutcome, Member, RangeAssigner,
    ReleaseOutcome, StoreOutcome, TargetProcess,
};
use wagtailmoor_store::{ConfirmedOutcome, Row, RowWrite, Table, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::admission_control;
use crate::epoch_reservation;
use crate::feeds::RANGES_TABLE;
use crate::granter::{Granter, GranterId};
use crate::leader_loop::write_id;
use crate::rollouts;
use crate::state::{RouterState, Shared};
use crate::target_control::{GrantCall, ReleaseCall, TargetControl};

/// Longest time between two ticks of the assigners.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Shortest time between two ticks. A tick visits all ranges and targets, and on a large site
/// hundreds of grants are answered each second.
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(15);

/// Time between two attempts to reserve further fencing tokens. The first is made when half of a block
/// is left, so a failed one need not be repeated at each tick.
const RESERVE_INTERVAL: Duration = Duration::from_secs(2);

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
            let era = shared.read().granters.get(&back_end).map(|granter| granter.era);
            match era {
                None => start(&shared, &*table, &back_end, term).await,
                Some(era) if era < term.era() => {
                    enter_era(&shared, &*table, &back_end, term.era()).await;
                }
                Some(era) => extend_epochs(&shared, &table, &back_end, era),
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
    if let Some(former) = state.lease.continued() {
        state.granters.continue_term(former, term);
    }
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
    let era = term.era();
    shared.write().observe_era(shared.now(), table.era());
    if shared.read().lease.era() != era {
        return;
    }
    let version = row.as_ref().map_or(RowVersion::default(), |row| row.version);
    let mut stored = match row.map(|row| serde_json::from_value::<AssignmentTable>(row.value)) {
        None => None,
        Some(Ok(table)) => Some(table),
        Some(Err(error)) => {
            Event::new("owners-unreadable").field("cause", error).error();
            return;
        }
    };
    if let Some(owners) = stored.as_mut().filter(|_| era == StoreEra::default()) {
        RangeAssigner::claim(owners);
    }
    // Owners of a former era may be older than the grants that were sent.
    let is_lost = match &stored {
        Some(owners) => owners.last_epoch().era() < era,
        None => era > StoreEra::default() && !is_first_leader(shared, term),
    };
    let version = match &stored {
        _ if is_lost => version,
        None => version,
        Some(owners) => match write_owners(shared, table, back_end, owners, version).await {
            // From here on writes of a previous leader fail, since they expect the old version.
            ConfirmedOutcome::Done(version) => version,
            ConfirmedOutcome::Conflict => return shared.write().lease.suspend(),
            ConfirmedOutcome::Unknown => return,
        },
    };
    let used = stored.as_ref().map(RangeAssigner::possibly_issued).unwrap_or_default();
    let Ok(block) = epoch_reservation::reserve(shared, table, back_end, era, used).await else {
        return;
    };
    let now = shared.now();
    let mut state = shared.write();
    state.observe_era(now, table.era());
    let is_current = state.lease.era() == era;
    let authority = match (state.lease.term(now), state.lease.authority(now)) {
        (Some(current), Some(authority)) if current == term && is_current => authority,
        // Another leader may have stored other owners since the read.
        _ => {
            Event::new("granter-start-abandoned").field("back_end", back_end).warn();
            return;
        }
    };
    let settings = AssignerSettings::default();
    let has_started = state.granters.has_started(back_end, term);
    let known = state.tables.get(back_end).or(stored.as_ref());
    let mut assigner = match has_started {
        _ if is_lost => RangeAssigner::after_restore(now, settings, authority, known),
        true => RangeAssigner::new(now, settings, authority, stored.as_ref()),
        false => RangeAssigner::first_under(now, settings, authority, stored.as_ref()),
    };
    if let Some(block) = &block {
        assigner.use_epochs(block);
    }
    state.granters.start(back_end.clone(), term, assigner, version);
    if let Some(table) = stored.filter(|_| !is_lost) {
        state.tables.insert(back_end.clone(), table);
    }
    Event::new("granter-started")
        .field("back_end", back_end)
        .field("row_version", version)
        .field("sole_in_ms", authority.sole_from.saturating_since(now).as_millis())
        .field("owners_lost", is_lost)
        .optional("epochs_after", block.map(|block| block.after()))
        .info();
}

/// Returns whether this term is the first one of a site that starts: no row of a leader existed, and
/// this process knows of no restore of the store. A restore may remove that row too.
fn is_first_leader(shared: &Shared, term: Generation) -> bool {
    let lease = &shared.read().lease;
    let is_first = term == Generation::in_era(term.era(), 1) && !lease.has_seen_restore();
    shared.settings.first_start && is_first
}

/// Continues a granter in a new era of the store, unless another process has stored owners in it.
async fn enter_era<T: Table>(shared: &Shared, table: &T, back_end: &BackEndId, era: StoreEra) {
    let row = match table.read(&row_name(back_end)).await {
        Ok(row) => row,
        Err(error) => {
            Event::new("owners-read-failed").field("cause", error).warn();
            return;
        }
    };
    let used = Epoch::default();
    let Ok(Some(block)) = epoch_reservation::reserve(shared, table, back_end, era, used).await
    else {
        return;
    };
    let now = shared.now();
    let mut state = shared.write();
    state.observe_era(now, table.era());
    if state.lease.era() != era || row.as_ref().is_some_and(|row| row.version.era() != era) {
        return;
    }
    let Some(authority) = state.lease.authority(now) else { return };
    if row.as_ref().is_some_and(|row| is_of_era(row, era)) {
        state.granters.remove(back_end);
        return;
    }
    let Some(granter) = state.granters.get_mut(back_end) else { return };
    granter.row_version = row.map_or(RowVersion::default(), |row| row.version);
    granter.era = era;
    granter.assigner.set_authority(authority);
    granter.assigner.enter_era(now, &block);
    Event::new("granter-continued")
        .field("back_end", back_end)
        .field("era", era)
        .field("row_version", granter.row_version)
        .field("epochs_after", block.after())
        .info();
}

/// Reserves further fencing tokens if few of the present ones are left. The store is called in the
/// background, so that a slow one does not delay the renewal of grants.
fn extend_epochs<T: Table + 'static>(
    shared: &Shared,
    table: &Rc<T>,
    back_end: &BackEndId,
    era: StoreEra,
) {
    let now = shared.now();
    let id = match shared.write().granters.get_mut(back_end) {
        Some(granter) if granter.assigner.needs_epochs() && now >= granter.reserve_at => {
            granter.reserve_at = now + RESERVE_INTERVAL;
            granter.id
        }
        _ => return,
    };
    let (shared, table, back_end) = (Rc::clone(shared), Rc::clone(table), back_end.clone());
    spawn_local(async move {
        let used = Epoch::default();
        let Ok(Some(block)) =
            epoch_reservation::reserve(&shared, &*table, &back_end, era, used).await
        else {
            return;
        };
        let mut state = shared.write();
        if let Some(granter) = state.granters.get_by_id(&back_end, id)
            && granter.era == era
        {
            granter.assigner.use_epochs(&block);
        }
    });
}

/// Returns whether a row with owners was written in an era. A row of a former era was written before
/// the store was restored, or by a write that arrived after it.
fn is_of_era(row: &Row, era: StoreEra) -> bool {
    let owners = serde_json::from_value::<AssignmentTable>(row.value.clone());
    owners.is_ok_and(|owners| owners.last_epoch().era() >= era)
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
    let mut members = members(state, now, back_end, mean);
    rollouts::restrict_members(state, now, back_end, &mut members);
    admission_control::update_keyed(state, now, back_end, mean);
    let granter = state.granters.get_mut(back_end)?;
    // Owners of a former era must be stored again before anything else.
    if granter.generation != term || granter.era < state.lease.era() {
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
    let known = shared
        .write()
        .granters
        .get_by_id(back_end, granter)
        .map(|known| (known.row_version, known.era));
    let Some((expected, era)) = known else { return };
    let written = write_owners(shared, table, back_end, &owners, expected).await;
    let foreign = match written {
        ConfirmedOutcome::Conflict if table.era() > StoreEra::default() => {
            table.read(&row_name(back_end)).await.ok().flatten()
        }
        _ => None,
    };
    let now = shared.now();
    let mut state = shared.write();
    state.observe_era(now, table.era());
    let state = &mut *state;
    Event::new("owners-stored")
        .field("back_end", back_end)
        .field("expected", expected)
        .field("outcome", format!("{written:?}"))
        .info();
    let Some(granter) = state.granters.get_by_id(back_end, granter) else { return };
    if granter.era != era {
        // The assigner has continued in a new era since, and stores the owners again.
        return;
    }
    match written {
        // The write was applied after a restore, or its conflict is due to one.
        _ if era < state.lease.era() => {
            granter.assigner.on_store_outcome(now, StoreOutcome::Failed);
        }
        // A write of a former era arrived late. No process grants by it.
        ConfirmedOutcome::Conflict if foreign.as_ref().is_some_and(|row| !is_of_era(row, era)) => {
            granter.row_version = foreign.map_or(RowVersion::default(), |row| row.version);
            granter.assigner.on_store_outcome(now, StoreOutcome::Failed);
            state.lease.suspend();
        }
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
