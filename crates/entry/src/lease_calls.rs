//! The controller lease: messages, the row in the store, and the duties that follow from it.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wagtailmoor_core::{Instant, NodeId, RowVersion, WriteId, ZoneId};
use wagtailmoor_lease::{
    ControllerRow, LeaseAction, Member, PromiseRequest, StoredRow, WriteOutcome, WriteResult,
    ZoneRequest,
};
use wagtailmoor_limits::IssuerTerm;
use wagtailmoor_membership::Liveness;
use wagtailmoor_ownership::{Input, Output};
use wagtailmoor_store::{Row, RowWrite, Table};
use wagtailmoor_telemetry::Event;

use crate::duty::{Duty, Turnover};
use crate::entry::Shared;
use crate::ownership_calls;
use crate::state::State;

/// A store that answered nothing for this long counts as silent. Versions reach every zone in less.
const STORE_SILENT: Duration = Duration::from_secs(5);

/// A sixth of the interval at which promises are renewed.
const TICK: Duration = Duration::from_millis(25);

/// The leases of other zones change hands only after a tenure, so they are looked at less often.
const FOREIGN_TURNS: u32 = 4;

/// Runs the leases that concern this node.
pub(crate) async fn run(entry: Shared) {
    let own = entry.state().settings.zone.clone();
    for turn in 0_u32.. {
        match turn % FOREIGN_TURNS {
            0 => tick(&entry),
            _ => tick_zone(&entry, &own),
        }
        sleep(TICK).await;
    }
}

/// Lets the candidates act and passes their authority on.
pub(crate) fn tick(entry: &Shared) {
    let zones = entry.state().zones_to_tick(entry.now());
    zones.iter().for_each(|zone| tick_zone(entry, zone));
}

fn tick_zone(entry: &Shared, zone: &ZoneId) {
    let now = entry.now();
    let (actions, outputs) = {
        let mut state = entry.state();
        let actions = state.tick_candidate(now, zone);
        state.confirm_by_zones(now);
        (actions, state.pass_authority(now, zone))
    };
    ownership_calls::carry_out(entry, zone, outputs);
    actions.into_iter().for_each(|action| carry_out(entry, zone, action));
}

fn carry_out(entry: &Shared, zone: &ZoneId, action: LeaseAction) {
    let (entry, of) = (entry.clone(), zone.clone());
    match action {
        LeaseAction::SendNodeRequest { node, request } => {
            spawn_local(async move { ask_node(&entry, &of, &node, request).await });
        }
        LeaseAction::SendZoneRequest { zone, request } => {
            spawn_local(async move { ask_zone(&entry, &of, &zone, request).await });
        }
        LeaseAction::WriteRow { row, expected, write } => {
            spawn_local(async move { write_row(&entry, &of, row, expected, write).await });
        }
        LeaseAction::ReadRow => {
            spawn_local(async move { read_row(&entry, &of).await });
        }
    }
}

async fn ask_node(entry: &Shared, of: &ZoneId, node: &NodeId, request: PromiseRequest) {
    let address = entry.state().address(entry.now(), node);
    let Some(address) = address else { return };
    if let Ok(reply) = entry.peers.promise(address, request).await {
        let now = entry.now();
        let with = |duty: &mut Duty| duty.candidate.on_promise_reply(now, node, reply);
        entry.state().duties.get_mut(of).map(with);
        tick_zone(entry, of);
    }
}

async fn ask_zone(entry: &Shared, of: &ZoneId, zone: &ZoneId, request: ZoneRequest) {
    let address = {
        let now = entry.now();
        let state = entry.state();
        state.controllers.get(zone).and_then(|node| state.address(now, node))
    };
    let Some(address) = address else { return };
    if let Ok(reply) = entry.peers.zone_promise(address, request).await {
        let now = entry.now();
        let with = |duty: &mut Duty| duty.candidate.on_zone_reply(now, reply);
        entry.state().duties.get_mut(of).map(with);
    }
}

fn row_name(zone: &ZoneId) -> Arc<str> {
    format!("controller/{zone}").into()
}

async fn write_row(
    entry: &Shared,
    of: &ZoneId,
    row: ControllerRow,
    expected: Option<RowVersion>,
    write: WriteId,
) {
    let name = row_name(of);
    let value = serde_json::to_value(&row).expect("a row is representable in JSON");
    let rows = [RowWrite { row: name, expected: expected.unwrap_or_default(), value: Some(value) }];
    let sent_at = entry.now();
    let outcome = match entry.platform.write(write, &rows).await {
        wagtailmoor_store::WriteOutcome::Done(versions) => {
            entry.store_heard(sent_at);
            versions.first().map_or(WriteOutcome::Unknown, |version| WriteOutcome::Done(*version))
        }
        wagtailmoor_store::WriteOutcome::Conflict { .. } => WriteOutcome::Conflict,
        wagtailmoor_store::WriteOutcome::Unknown => WriteOutcome::Unknown,
    };
    let now = entry.now();
    let with = |duty: &mut Duty| duty.candidate.on_write(now, WriteResult { write, outcome });
    entry.state().duties.get_mut(of).map(with);
    tick_zone(entry, of);
}

async fn read_row(entry: &Shared, of: &ZoneId) {
    let name = row_name(of);
    let sent_at = entry.now();
    let read = entry.platform.read(&name).await;
    match read.map(|row| row.map(stored_row).transpose()) {
        Ok(Ok(row)) => {
            entry.store_heard(sent_at);
            let now = entry.now();
            let with = |duty: &mut Duty| duty.candidate.on_row(now, row);
            entry.state().duties.get_mut(of).map(with);
            tick_zone(entry, of);
        }
        Ok(Err(error)) => Event::new("controller-row-invalid").field("error", error).error(),
        Err(error) => Event::new("store-read-failed").field("error", error).debug(),
    }
}

fn stored_row(row: Row) -> Result<StoredRow, serde_json::Error> {
    let contents = serde_json::from_value(row.value)?;
    Ok(StoredRow { row: contents, version: row.version, write: row.write_id })
}

impl State {
    /// Returns the zones whose lease concerns this node: its own, and all of the region while it
    /// is on the panel of its own, so that few nodes read the rows of other zones.
    fn zones_to_tick(&self, now: Instant) -> Vec<ZoneId> {
        let own = &self.settings.zone;
        let watches = self.is_panel_member();
        let concerns = |zone: &ZoneId, duty: &Duty| {
            zone == own || watches || duty.issuers.is_some() || duty.is_controller(now)
        };
        let duties = self.duties.iter().filter(|(zone, duty)| concerns(zone, duty));
        duties.map(|(zone, _)| zone.clone()).collect()
    }

    fn tick_candidate(&mut self, now: Instant, zone: &ZoneId) -> Vec<LeaseAction> {
        let members = self.lease_members(now, &self.settings.zone);
        let home = (*zone != self.settings.zone).then(|| self.lease_members(now, zone));
        let leaving = self.leaving_nodes(now);
        let Some(duty) = self.duties.get_mut(zone) else { return Vec::new() };
        duty.candidate.on_members(now, members);
        duty.candidate.on_leaving(leaving);
        if let Some(home) = home {
            duty.candidate.on_home_members(now, home);
        }
        duty.candidate.tick(now)
    }

    /// Returns the live nodes of a zone, this one included.
    fn lease_members(&self, now: Instant, zone: &ZoneId) -> Vec<Member> {
        let own = self.membership.own();
        let this = Member { node: own.node.clone(), rack: own.rack.clone() };
        let others = self
            .membership
            .members(now)
            .filter(|(record, liveness)| record.zone == *zone && *liveness == Liveness::Live)
            .map(|(record, _)| Member { node: record.node.clone(), rack: record.rack.clone() });
        (own.zone == *zone).then_some(this).into_iter().chain(others).collect()
    }

    fn leaving_nodes(&self, now: Instant) -> Vec<NodeId> {
        let members = self.membership.members(now);
        members
            .filter(|(_, liveness)| *liveness == Liveness::Leaving)
            .map(|(record, _)| record.node.clone())
            .collect()
    }

    /// Counts the configuration as fresh while the store answers no zone.
    ///
    /// The other zones' controllers support this one, so they exchange versions with it; without
    /// the store nobody can accept a withdrawal that this zone does not hear of.
    fn confirm_by_zones(&mut self, now: Instant) {
        let silent = self.store_heard_at.is_none_or(|at| now >= at + STORE_SILENT);
        if silent && self.own_duty().candidate.is_supported_by_zones(now) {
            let version = self.propagation.version();
            self.propagation.confirm(now - STORE_SILENT, version);
        }
    }

    /// Returns whether this node is a member of the panel of its zone.
    pub(crate) fn is_panel_member(&self) -> bool {
        let row = self.duties.get(&self.settings.zone).and_then(|duty| duty.candidate.row());
        row.is_some_and(|stored| stored.row.panel.contains(&self.settings.node))
    }

    fn pass_authority(&mut self, now: Instant, zone: &ZoneId) -> Vec<Output> {
        let term = IssuerTerm::new(self.random.random_range(1..=u32::MAX));
        let Some(duty) = self.duties.get_mut(zone) else { return Vec::new() };
        let (turnover, mut outputs) = duty.pass_authority(now, term);
        match turnover {
            Turnover::Started => {
                self.configure_issuers(now, zone);
                self.controllers.believe(zone, self.settings.node.clone());
                Event::new("controller-start").field("zone", zone).info();
                outputs.extend(self.pass_held_routes(now, zone));
            }
            Turnover::Ended => {
                self.controllers.doubt(zone, &self.settings.node);
                Event::new("controller-end").field("zone", zone).info();
            }
            Turnover::Unchanged => {}
        }
        outputs
    }

    /// Tells a new controller which owners its predecessor named.
    fn pass_held_routes(&mut self, now: Instant, zone: &ZoneId) -> Vec<Output> {
        let Self { back_ends, routes, duties, .. } = self;
        let Some(duty) = duties.get_mut(zone) else { return Vec::new() };
        let keyed = back_ends.iter().filter(|(_, back_end)| back_end.is_keyed());
        let held = keyed.filter_map(|(id, _)| routes.held_routes(zone, id));
        held.flat_map(|held| duty.ownership.handle(now, Input::HeldRoutes(held))).collect()
    }
}
