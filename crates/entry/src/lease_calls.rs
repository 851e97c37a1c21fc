//! The controller lease: its messages, its row in the store, and changes of authority.

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

use crate::entry::Shared;
use crate::ownership_calls;
use crate::state::State;
use crate::zone_role::{AuthorityChange, ZoneRole};

/// The store counts as unavailable when it has not answered for this long. New versions reach every
/// zone in less time.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// One sixth of the renewal interval of promises.
const TICK: Duration = Duration::from_millis(25);

/// Ticks of the own zone's lease per tick of the other zones' leases. The lease of another zone can
/// be taken over only after its tenure, so it needs fewer ticks.
const OTHER_ZONES_TICKS: u32 = 4;

/// Runs the leases that concern this node.
pub(crate) async fn run(entry: Shared) {
    let own = entry.state().settings.zone.clone();
    for tick_count in 0_u32.. {
        match tick_count % OTHER_ZONES_TICKS {
            0 => tick(&entry),
            _ => tick_zone(&entry, &own),
        }
        sleep(TICK).await;
    }
}

/// Ticks the candidates of all relevant zones and applies changes of authority.
pub(crate) fn tick(entry: &Shared) {
    let zones = entry.state().zones_to_tick(entry.now());
    zones.iter().for_each(|zone| tick_zone(entry, zone));
}

fn tick_zone(entry: &Shared, zone: &ZoneId) {
    let now = entry.now();
    let (actions, outputs) = {
        let mut state = entry.state();
        let actions = state.tick_candidate(now, zone);
        state.confirm_via_other_zones(now);
        (actions, state.update_authority(now, zone))
    };
    ownership_calls::execute(entry, zone, outputs);
    actions.into_iter().for_each(|action| execute(entry, zone, action));
}

fn execute(entry: &Shared, zone: &ZoneId, action: LeaseAction) {
    let (entry, lease_zone) = (entry.clone(), zone.clone());
    match action {
        LeaseAction::SendNodeRequest { node, request } => {
            spawn_local(
                async move { send_node_request(&entry, &lease_zone, &node, request).await },
            );
        }
        LeaseAction::SendZoneRequest { zone, request } => {
            spawn_local(
                async move { send_zone_request(&entry, &lease_zone, &zone, request).await },
            );
        }
        LeaseAction::WriteRow { row, expected, write } => {
            spawn_local(async move { write_row(&entry, &lease_zone, row, expected, write).await });
        }
        LeaseAction::ReadRow => {
            spawn_local(async move { read_row(&entry, &lease_zone).await });
        }
    }
}

async fn send_node_request(
    entry: &Shared,
    lease_zone: &ZoneId,
    node: &NodeId,
    request: PromiseRequest,
) {
    let address = entry.state().address(entry.now(), node);
    let Some(address) = address else { return };
    if let Ok(reply) = entry.peers.promise(address, request).await {
        let now = entry.now();
        let update = |role: &mut ZoneRole| role.candidate.on_promise_reply(now, node, reply);
        entry.state().roles.get_mut(lease_zone).map(update);
        tick_zone(entry, lease_zone);
    }
}

async fn send_zone_request(
    entry: &Shared,
    lease_zone: &ZoneId,
    zone: &ZoneId,
    request: ZoneRequest,
) {
    let address = {
        let now = entry.now();
        let state = entry.state();
        state.controllers.get(zone).and_then(|node| state.address(now, node))
    };
    let Some(address) = address else { return };
    if let Ok(reply) = entry.peers.zone_promise(address, request).await {
        let now = entry.now();
        let update = |role: &mut ZoneRole| role.candidate.on_zone_reply(now, reply);
        entry.state().roles.get_mut(lease_zone).map(update);
    }
}

fn row_name(zone: &ZoneId) -> Arc<str> {
    format!("controller/{zone}").into()
}

async fn write_row(
    entry: &Shared,
    lease_zone: &ZoneId,
    row: ControllerRow,
    expected: Option<RowVersion>,
    write: WriteId,
) {
    let name = row_name(lease_zone);
    let value = serde_json::to_value(&row).expect("a row is representable in JSON");
    let rows = [RowWrite { row: name, expected: expected.unwrap_or_default(), value: Some(value) }];
    let sent_at = entry.now();
    let outcome = match entry.platform.write(write, &rows).await {
        wagtailmoor_store::WriteOutcome::Done(versions) => {
            entry.record_store_contact(sent_at);
            versions.first().map_or(WriteOutcome::Unknown, |version| WriteOutcome::Done(*version))
        }
        wagtailmoor_store::WriteOutcome::Conflict { .. } => WriteOutcome::Conflict,
        wagtailmoor_store::WriteOutcome::Unknown => WriteOutcome::Unknown,
    };
    let now = entry.now();
    let update = |role: &mut ZoneRole| role.candidate.on_write(now, WriteResult { write, outcome });
    entry.state().roles.get_mut(lease_zone).map(update);
    tick_zone(entry, lease_zone);
}

async fn read_row(entry: &Shared, lease_zone: &ZoneId) {
    let name = row_name(lease_zone);
    let sent_at = entry.now();
    let read = entry.platform.read(&name).await;
    match read.map(|row| row.map(stored_row).transpose()) {
        Ok(Ok(row)) => {
            entry.record_store_contact(sent_at);
            let now = entry.now();
            let update = |role: &mut ZoneRole| role.candidate.on_row(now, row);
            entry.state().roles.get_mut(lease_zone).map(update);
            tick_zone(entry, lease_zone);
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
    /// Returns the zones whose lease this node ticks: its own, those that it controls, and all
    /// zones of the region while it is on the panel of its own zone, so that few nodes read the
    /// rows of other zones.
    fn zones_to_tick(&self, now: Instant) -> Vec<ZoneId> {
        let own = &self.settings.zone;
        let watches_region = self.is_panel_member();
        let is_relevant = |zone: &ZoneId, role: &ZoneRole| {
            zone == own || watches_region || role.issuers.is_some() || role.is_controller(now)
        };
        let roles = self.roles.iter().filter(|(zone, role)| is_relevant(zone, role));
        roles.map(|(zone, _)| zone.clone()).collect()
    }

    fn tick_candidate(&mut self, now: Instant, zone: &ZoneId) -> Vec<LeaseAction> {
        let members = self.lease_members(now, &self.settings.zone);
        let home_members = (*zone != self.settings.zone).then(|| self.lease_members(now, zone));
        let leaving = self.leaving_nodes(now);
        let Some(role) = self.roles.get_mut(zone) else { return Vec::new() };
        role.candidate.on_members(now, members);
        role.candidate.on_leaving(leaving);
        if let Some(home_members) = home_members {
            role.candidate.on_home_members(now, home_members);
        }
        role.candidate.tick(now)
    }

    /// Returns the live nodes of a zone, this one included.
    fn lease_members(&self, now: Instant, zone: &ZoneId) -> Vec<Member> {
        let own = self.membership.own();
        let own_member = Member { node: own.node.clone(), rack: own.rack.clone() };
        let other_members = self
            .membership
            .members(now)
            .filter(|(record, liveness)| record.zone == *zone && *liveness == Liveness::Live)
            .map(|(record, _)| Member { node: record.node.clone(), rack: record.rack.clone() });
        (own.zone == *zone).then_some(own_member).into_iter().chain(other_members).collect()
    }

    fn leaving_nodes(&self, now: Instant) -> Vec<NodeId> {
        let members = self.membership.members(now);
        members
            .filter(|(_, liveness)| *liveness == Liveness::Leaving)
            .map(|(record, _)| record.node.clone())
            .collect()
    }

    /// Counts the configuration as fresh while the store is unavailable to all zones.
    ///
    /// The controllers of the other zones support this one, so they exchange versions with it.
    /// Without the store, no zone can accept a key withdrawal that does not reach this zone.
    fn confirm_via_other_zones(&mut self, now: Instant) {
        let store_unavailable =
            self.store_last_contact.is_none_or(|at| now >= at + STORE_CONTACT_TIMEOUT);
        if store_unavailable && self.own_role().candidate.is_supported_by_zones(now) {
            let version = self.propagation.version();
            self.propagation.confirm(now - STORE_CONTACT_TIMEOUT, version);
        }
    }

    /// Returns whether this node is a member of the panel of its zone.
    pub(crate) fn is_panel_member(&self) -> bool {
        let row = self.roles.get(&self.settings.zone).and_then(|role| role.candidate.row());
        row.is_some_and(|stored| stored.row.panel.contains(&self.settings.node))
    }

    fn update_authority(&mut self, now: Instant, zone: &ZoneId) -> Vec<Output> {
        let term = IssuerTerm::new(self.random.random_range(1..=u32::MAX));
        let Some(role) = self.roles.get_mut(zone) else { return Vec::new() };
        let (change, mut outputs) = role.update_authority(now, term);
        match change {
            AuthorityChange::Gained => {
                self.configure_issuers(now, zone);
                self.controllers.insert(zone, self.settings.node.clone());
                Event::new("controller-start").field("zone", zone).info();
                outputs.extend(self.apply_held_routes(now, zone));
            }
            AuthorityChange::Lost => {
                self.controllers.invalidate(zone, &self.settings.node);
                Event::new("controller-end").field("zone", zone).info();
            }
            AuthorityChange::Unchanged => {}
        }
        outputs
    }

    /// Passes the routes of the previous controller to the ownership state machine of the new one.
    fn apply_held_routes(&mut self, now: Instant, zone: &ZoneId) -> Vec<Output> {
        let Self { back_ends, routes, roles, .. } = self;
        let Some(role) = roles.get_mut(zone) else { return Vec::new() };
        let keyed = back_ends.iter().filter(|(_, back_end)| back_end.is_keyed());
        let held = keyed.filter_map(|(id, _)| routes.held_routes(zone, id));
        held.flat_map(|held| role.ownership.handle(now, Input::HeldRoutes(held))).collect()
    }
}
