//! The controller of one zone.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{BackEndId, Generation, Instant, SortedVec, ZoneId};
use wagtailmoor_derive::scalar;

use crate::back_end::BackEnd;
use crate::context::{Context, Ids};
use crate::route_pulls::UpdateTargets;
use crate::row_writes::RowsRead;
use crate::{
    BackEndSettings, Input, Output, OwnershipSettings, RoutePull, RouteStamp, RouteUpdate,
    StoredRow, ZoneState,
};

/// Period after a change of the zones during which rows of other zones are read every second.
const ZONE_CHANGE_READ_WINDOW: Duration = Duration::from_secs(15);

/// Permission to act as controller.
#[scalar]
pub struct Authority {
    /// Generation of the panel that granted the authority.
    pub generation: Generation,
    /// Earliest instant at which the authority can end, on the clock of this node.
    pub until: Instant,
}

/// An authority and the start of the period in which this node has held it without a gap.
#[scalar]
pub(crate) struct ActiveAuthority {
    pub(crate) generation: Generation,
    pub(crate) start: Instant,
    pub(crate) until: Instant,
}

/// Grants the units of one zone to targets.
///
/// Without authority, the controller records rows, targets and zones and emits nothing. Every
/// output is computed from the `now` of the call; once `now` reaches the end of the authority,
/// nothing is emitted.
#[derive(Clone, Debug)]
pub struct Controller {
    zone: ZoneId,
    settings: OwnershipSettings,
    authority: Option<ActiveAuthority>,
    zones: Vec<ZoneState>,
    out_since: Option<Instant>,
    zones_changed_until: Instant,
    back_ends: SortedVec<BackEndId, BackEnd>,
    ids: Ids,
    session: u64,
    route_version: u64,
}

impl Controller {
    /// Creates the controller of a zone. `random` generates write ids, so every process needs a
    /// different seed.
    pub fn new(zone: ZoneId, settings: OwnershipSettings, random: ChaCha8Rng) -> Self {
        Self {
            zone,
            settings,
            authority: None,
            zones: Vec::new(),
            out_since: None,
            zones_changed_until: Instant::default(),
            back_ends: SortedVec::new(),
            ids: Ids::new(random),
            session: 0,
            route_version: 0,
        }
    }

    /// Returns the zone whose units this controller grants.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Returns whether the controller has authority at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.authority.is_some_and(|authority| now < authority.until)
    }

    /// Handles an input and returns the operations that the caller has to perform.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.check_authority(now);
        let mut out = Vec::new();
        let due = match input {
            Input::Authority(authority) => self.on_authority(now, authority),
            Input::BackEnds(settings) => self.on_back_ends(settings),
            Input::Zones(zones) => self.on_zones(now, zones),
            other => self.on_back_end_input(now, other, &mut out),
        };
        if due {
            self.advance(now, &mut out);
        }
        out
    }

    /// Returns the known rows of a back end, for nodes that may become controller while the store
    /// is down. These pass the rows on as [`RowSource::Copy`](crate::RowSource::Copy).
    pub fn rows(&self, back_end: &BackEndId) -> Vec<StoredRow> {
        let known = self.back_ends.get(back_end).into_iter();
        known
            .flat_map(|known| known.rows.iter().filter_map(|row| row.stored(&known.targets)))
            .collect()
    }

    /// Answers a pull of routes. Returns `None` when this process is not the controller, or has
    /// just become controller and still waits for replies of targets to its queries.
    pub fn routes(&mut self, now: Instant, pull: &RoutePull) -> Option<RouteUpdate> {
        self.check_authority(now);
        let authority = self.authority.filter(|_| pull.zone == self.zone)?;
        // Until the targets have been queried, the puller keeps its older routes, which are better
        // than none.
        let query_deadline = authority.start + self.settings.call_timeout();
        if now < query_deadline
            && self.back_ends.values().any(|back_end| back_end.has_unqueried_target())
        {
            return None;
        }
        let stamp = RouteStamp {
            generation: authority.generation,
            session: self.session,
            version: self.route_version,
        };
        let forgotten = self.back_ends.values().map(|back_end| back_end.merge_log_start).max();
        let known = pull.have.filter(|have| {
            have.session == stamp.session && have.version >= forgotten.unwrap_or_default()
        });
        let since = known.map(|have| have.version);
        let mut targets = UpdateTargets::default();
        let back_ends = self
            .back_ends
            .values()
            .filter_map(|back_end| back_end.routes(&self.settings, since, pull, &mut targets))
            .collect();
        Some(RouteUpdate {
            zone: self.zone.clone(),
            stamp,
            full: since.is_none(),
            lease_ms: self.settings.lease_ms,
            targets: targets.into_ids(),
            back_ends,
        })
    }

    // A process that was paused until its authority ended must not act on its old state.
    fn check_authority(&mut self, now: Instant) {
        if self.authority.is_some_and(|authority| now >= authority.until) {
            self.authority = None;
        }
    }

    // Each handler returns whether work may be due before the next tick.
    fn on_authority(&mut self, now: Instant, authority: Option<Authority>) -> bool {
        let Some(new) = authority.filter(|new| now < new.until) else {
            self.authority = None;
            return false;
        };
        if let Some(active) = self.authority.as_mut() {
            active.generation = new.generation;
            active.until = new.until;
            return false;
        }
        let (generation, until) = (new.generation, new.until);
        self.authority = Some(ActiveAuthority { generation, start: now, until });
        self.session = self.ids.session();
        let settings = &self.settings;
        self.back_ends.values_mut().for_each(|back_end| back_end.take_over(settings, now));
        true
    }

    fn on_back_ends(&mut self, settings: Vec<BackEndSettings>) -> bool {
        self.back_ends.retain(|id, _| settings.iter().any(|each| each.back_end == *id));
        let shared = &self.settings;
        let start = self.authority.map(|authority| authority.start).unwrap_or_default();
        for each in settings {
            let back_end = each.back_end.clone();
            let known = self.back_ends.get_or_insert_with(back_end, || {
                let mut created = BackEnd::new(each.clone(), shared);
                created.take_over(shared, start);
                created
            });
            known.settings.request_max_ms = each.request_max_ms;
            known.settings.target_capacity = each.target_capacity;
        }
        true
    }

    fn on_zones(&mut self, now: Instant, zones: Vec<ZoneState>) -> bool {
        let out = zones.iter().any(|zone| zone.zone == self.zone && !zone.in_service);
        self.out_since = out.then(|| self.out_since.unwrap_or(now));
        if self.zones != zones {
            self.zones_changed_until = now + ZONE_CHANGE_READ_WINDOW;
        }
        self.zones = zones;
        true
    }

    fn on_back_end_input(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) -> bool {
        let id = match &input {
            Input::Targets { back_end, .. }
            | Input::Rows { back_end, .. }
            | Input::RevokeReply { back_end, .. }
            | Input::WriteResult { back_end, .. }
            | Input::Heat { back_end, .. }
            | Input::ReadFailed(back_end) => back_end,
            Input::GrantReply(reply) => &reply.back_end,
            Input::HeldReply(reply) => &reply.back_end,
            Input::HeldRoutes(routes) => &routes.back_end,
            Input::Authority(_) | Input::BackEnds(_) | Input::Zones(_) | Input::Tick => {
                return true;
            }
        };
        let Some(back_end) = self.back_ends.get_mut(id) else { return false };
        let standby = ActiveAuthority { generation: Generation::default(), start: now, until: now };
        let context = Context {
            now,
            active: self.authority.is_some(),
            authority: self.authority.unwrap_or(standby),
            zone: &self.zone,
            zones: &self.zones,
            out_since: self.out_since,
            zones_changed: now < self.zones_changed_until,
            settings: &self.settings,
        };
        match &input {
            Input::Targets { targets, .. } => {
                let unchecked = back_end.is_unchecked();
                back_end.targets.update(&self.zone, unchecked, targets);
            }
            Input::Rows { source, requested_at, complete, rows, .. } => {
                let read = RowsRead {
                    source: *source,
                    requested_at: *requested_at,
                    complete: *complete,
                    rows,
                };
                back_end.on_rows(&context, &read, out);
            }
            Input::RevokeReply { target, grant_id, .. } => {
                back_end.on_revoke_reply(&context, target, *grant_id);
            }
            Input::WriteResult { write_id, result, .. } => {
                back_end.on_write_result(&context, *write_id, result);
            }
            Input::Heat { slots, keys, .. } => back_end.on_heat(slots, keys),
            Input::ReadFailed(_) => back_end.store_available = false,
            Input::GrantReply(reply) => return back_end.on_grant_reply(&context, reply),
            Input::HeldReply(reply) => back_end.on_held_reply(&context, reply),
            Input::HeldRoutes(routes) => back_end.on_held_routes(&context, routes),
            Input::Authority(_) | Input::BackEnds(_) | Input::Zones(_) | Input::Tick => {}
        }
        !matches!(input, Input::Heat { .. } | Input::ReadFailed(_))
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(authority) = self.authority else {
            out.clear();
            return;
        };
        let context = Context {
            now,
            active: true,
            authority,
            zone: &self.zone,
            zones: &self.zones,
            out_since: self.out_since,
            zones_changed: now < self.zones_changed_until,
            settings: &self.settings,
        };
        for back_end in self.back_ends.values_mut() {
            back_end.advance(&context, &mut self.ids, &mut self.route_version, out);
        }
    }
}
