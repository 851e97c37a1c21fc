//! Executes the operations of the rollouts while this process leads.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wagtailmoor_core::{BackEndId, Generation, Instant, RowVersion, TargetId};
use wagtailmoor_rollout::{
    Inventory, NewTarget, RolloutAction, RolloutController, RolloutPhase, RolloutRow, RolloutStatus,
};
use wagtailmoor_store::{
    ConfirmedOutcome, PlainTable, Row, RowWrite, StoreClock, Table, write_and_confirm,
};
use wagtailmoor_telemetry::Event;

use crate::feeds::RANGES_TABLE;
use crate::leader_loop::write_id;
use crate::rollouts::{self, ROW_PREFIX, Rollouts};
use crate::site_decoder::SiteDecoder;
use crate::state::{RouterState, Shared};

/// Interval at which the rollouts are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A leader knows all versions of the registered targets after this time.
const REGISTRY_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Advances the rollouts until the process stops. Does nothing if they are off.
pub(crate) async fn run<T, S>(shared: Shared, table: Rc<T>, decoder: Rc<S>)
where
    T: Table + PlainTable + StoreClock + 'static,
    S: SiteDecoder + 'static,
{
    while shared.settings.rollouts.is_some() {
        sleep(TICK_INTERVAL).await;
        let Some((term, actions)) = advance(&mut shared.write(), shared.now()) else { continue };
        for (back_end, action) in actions {
            let (shared, table) = (Rc::clone(&shared), Rc::clone(&table));
            let decoder = Rc::clone(&decoder);
            spawn_local(async move {
                execute(&shared, &*table, &*decoder, term, &back_end, action).await;
            });
        }
    }
}

/// Advances the controllers of the current term. Returns `None` while this process does not lead.
fn advance(
    state: &mut RouterState,
    now: Instant,
) -> Option<(Generation, Vec<(BackEndId, RolloutAction)>)> {
    let term = state.lease.term(now);
    let rollouts = state.rollouts.as_mut()?;
    if rollouts.term != term {
        rollouts.term = term;
        rollouts.controllers.clear();
    }
    let term = term?;
    let configured = state.config.iter().flat_map(|config| config.back_ends());
    let configured = configured.map(|rule| rule.back_end.clone());
    let mut back_ends: Vec<BackEndId> = configured.chain(rollouts.orders.keys().cloned()).collect();
    back_ends.sort();
    back_ends.dedup();
    let mut actions = Vec::new();
    for back_end in back_ends {
        let to = prepare(state.rollouts.as_mut()?, now, &back_end);
        let inventory = inventory(state, now, &back_end, to.as_deref());
        let controller = state.rollouts.as_mut()?.controllers.get_mut(&back_end);
        let action = controller.and_then(|controller| controller.tick(now, &inventory));
        actions.extend(action.map(|action| (back_end, action)));
    }
    Some((term, actions))
}

/// Creates the controller of a back end if there is none, and sets its order. Returns the version
/// that the back end moves to.
fn prepare(rollouts: &mut Rollouts, now: Instant, back_end: &BackEndId) -> Option<Arc<str>> {
    let order = rollouts.orders.get(back_end).cloned();
    let settings = rollouts.settings;
    let known = rollouts
        .known(back_end)
        .and_then(|host| Some((host.policy().row()?.clone(), host.row_version())));
    let has_order = order.is_some();
    let controller = rollouts.controllers.get_or_insert_with(back_end.clone(), || {
        let mut controller = RolloutController::new(now, back_end.clone(), settings);
        // The feed's row is enough while nothing is ordered; the next write checks its version.
        let is_active = known.as_ref().is_some_and(|(row, _)| row.active().is_some());
        if !has_order && !is_active {
            controller.on_row(known);
        }
        controller
    });
    controller.set_order(order);
    controller.to().cloned()
}

fn inventory(
    state: &RouterState,
    now: Instant,
    back_end: &BackEndId,
    to: Option<&str>,
) -> Inventory {
    let registry = &state.registry;
    let config = state.config.as_ref();
    let keyed = config.and_then(|config| config.back_end(back_end)).is_some_and(|rule| rule.keyed);
    let mut inventory = Inventory {
        keyed,
        old_owns_keys: keyed && old_owns_keys(state, back_end, to),
        settled: now.saturating_since(state.leading_since) >= REGISTRY_SETTLE_TIME,
        hosts: state.reporters.keys().cloned().collect(),
        longest_request: config.map_or(Duration::ZERO, |config| config.longest_timeout(back_end)),
        ..Inventory::default()
    };
    let targets = registry.targets_of(back_end);
    for target in targets.filter(|target| registry.is_in_service(now, &target.target)) {
        if !inventory.versions.contains(&target.software) {
            inventory.versions.push(Arc::clone(&target.software));
        }
        match to == Some(&*target.software) {
            true => inventory.new.push(NewTarget {
                target: target.target.clone(),
                zone: target.zone.clone(),
                cold: registry.is_cold(now, &target.target),
            }),
            false => inventory.old += 1,
        }
    }
    inventory
}

/// Returns whether a target of another version owns keys, as far as this process knows as the leader.
fn old_owns_keys(state: &RouterState, back_end: &BackEndId, to: Option<&str>) -> bool {
    let controllers = state.rollouts.as_ref().map(|rollouts| &rollouts.controllers);
    let row = controllers.and_then(|known| known.get(back_end)).and_then(|known| known.row());
    // Only the last phase waits for the keys, and large tables are expensive to compare.
    let phase = row.and_then(|row| row.active()).map(|rollout| rollout.phase);
    if phase != Some(RolloutPhase::Settle) {
        return true;
    }
    let Some(granter) = state.granters.get(back_end) else { return true };
    let owners = granter.assigner.table();
    let is_new = |owner: &TargetId| {
        state.registry.get(owner).is_some_and(|target| to == Some(&*target.software))
    };
    !owners.iter().all(|assignment| is_new(&assignment.owner.target))
}

/// Runs `update` on the controller of a back end if this process is still in the same term.
fn with_controller(
    state: &mut RouterState,
    term: Generation,
    back_end: &BackEndId,
    update: impl FnOnce(&mut RolloutController),
) {
    let rollouts = state.rollouts.as_mut().filter(|rollouts| rollouts.term == Some(term));
    if let Some(controller) = rollouts.and_then(|known| known.controllers.get_mut(back_end)) {
        update(controller);
    }
}

async fn execute<T: Table + PlainTable + StoreClock, S: SiteDecoder>(
    shared: &Shared,
    table: &T,
    decoder: &S,
    term: Generation,
    back_end: &BackEndId,
    action: RolloutAction,
) {
    match action {
        RolloutAction::ReadRow => {
            let read = table.read(&row_name(back_end)).await;
            let decoded = read.map_err(|error| error.to_string()).and_then(decode_row);
            if let Err(cause) = &decoded {
                Event::new("rollout-read-failed").field("cause", cause).warn();
            }
            with_controller(&mut shared.write(), term, back_end, |controller| match decoded {
                Ok(row) => controller.on_row(row),
                Err(_) => controller.on_failed(),
            });
        }
        RolloutAction::ReadClock => {
            let sent_at = shared.now();
            let time = table.store_time().await;
            with_controller(&mut shared.write(), term, back_end, |controller| match time {
                Ok(time) => controller.on_clock(sent_at, time),
                Err(_) => controller.on_failed(),
            });
        }
        RolloutAction::WriteRow { row, expected, cause } => {
            write_row(shared, table, term, back_end, row, expected, cause).await;
        }
        RolloutAction::WriteStatus(status) => {
            let written = write_status(table, decoder, &status).await;
            with_controller(&mut shared.write(), term, back_end, |controller| match written {
                true => controller.on_status_written(status),
                false => controller.on_failed(),
            });
        }
    }
}

async fn write_row<T: Table>(
    shared: &Shared,
    table: &T,
    term: Generation,
    back_end: &BackEndId,
    row: RolloutRow,
    expected: RowVersion,
    cause: &'static str,
) {
    let value = serde_json::to_value(&row).expect("a rollout row is representable in JSON");
    let write = RowWrite { row: row_name(back_end).into(), expected, value: Some(value) };
    let outcome = write_and_confirm(table, write_id(shared), write).await;
    let now = shared.now();
    let mut state = shared.write();
    let rollout = row.rollout.as_ref();
    Event::new("rollout")
        .field("back_end", back_end)
        .optional("to", rollout.map(|rollout| &rollout.to))
        .optional("phase", rollout.map(|rollout| rollout.phase))
        .field("cause", cause)
        .field("expected", expected)
        .field("outcome", format!("{outcome:?}"))
        .info();
    match outcome {
        ConfirmedOutcome::Done(version) => {
            rollouts::set_row(&mut state, back_end, Some(row.clone()), version);
            with_controller(&mut state, term, back_end, |controller| {
                controller.on_row_written(now, row, version);
            });
        }
        ConfirmedOutcome::Conflict | ConfirmedOutcome::Unknown => {
            with_controller(&mut state, term, back_end, RolloutController::on_row_uncertain);
        }
    }
    shared.routes_changed.notify_waiters();
}

/// Writes the status unless it is stored already. Returns whether it is stored.
async fn write_status<T: PlainTable, S: SiteDecoder>(
    table: &T,
    decoder: &S,
    status: &RolloutStatus,
) -> bool {
    let (name, content) = decoder.rollout_status(status);
    let expected = match table.read_plain(&name).await {
        Ok(Some((_, known))) if known == content => return true,
        Ok(known) => known.map_or(RowVersion::default(), |(version, _)| version),
        Err(_) => return false,
    };
    matches!(table.write_plain(&name, expected, &content).await, ConfirmedOutcome::Done(_))
}

fn decode_row(row: Option<Row>) -> Result<Option<(RolloutRow, RowVersion)>, String> {
    let Some(Row { value, version, .. }) = row else { return Ok(None) };
    let decoded = serde_json::from_value(value).map_err(|error| error.to_string())?;
    Ok(Some((decoded, version)))
}

fn row_name(back_end: &BackEndId) -> String {
    format!("{RANGES_TABLE}/{ROW_PREFIX}{back_end}")
}
