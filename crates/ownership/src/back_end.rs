//! State of one keyed back end in one zone.

use std::time::Duration;

use wagtailmoor_core::{GrantId, Instant, KeyHash, SegmentId};

use crate::context::{Context, Ids};
use crate::row_state::RowState;
use crate::target_table::{TargetIndex, TargetTable};
use crate::unit_state::{PublishedRoute, UnitState};
use crate::{BackEndSettings, Fencing, HeatRule, Output, OwnershipSettings, Unit};

/// Number of merges kept for incremental route updates; a puller that is further behind gets a full
/// update.
const MERGE_LOG_LEN: usize = 1_024;

#[derive(Clone, Debug)]
pub(crate) struct BackEnd {
    pub(crate) settings: BackEndSettings,
    pub(crate) targets: TargetTable,
    pub(crate) rows: Vec<RowState>,
    pub(crate) revokes: Vec<PendingRevoke>,
    /// Whether the store answered the last operation.
    pub(crate) store_available: bool,
    pub(crate) last_read: Option<Instant>,
    pub(crate) last_plan: Option<Instant>,
    pub(crate) last_failover: Option<Instant>,
    /// Fingerprint of the last placement input for which no unit had to move.
    pub(crate) balanced_fingerprint: Option<u64>,
    pub(crate) last_background_read: Option<Instant>,
    pub(crate) last_background_segment: Option<SegmentId>,
    pub(crate) heat_rule: HeatRule,
    pub(crate) key_heat: Vec<(KeyHash, u32)>,
    /// Recently merged hot keys, with the route version of the merge.
    pub(crate) merged: Vec<(KeyHash, u64)>,
    /// Route version of the newest merge that was dropped from `merged`.
    pub(crate) merge_log_start: u64,
}

/// A revocation that was sent and is not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRevoke {
    pub(crate) id: GrantId,
    pub(crate) target: TargetIndex,
    pub(crate) sent: Instant,
    pub(crate) units: Vec<(Unit, wagtailmoor_core::Epoch)>,
}

impl BackEnd {
    pub(crate) fn new(settings: BackEndSettings, shared: &OwnershipSettings) -> Self {
        let row = |segment| {
            RowState::new(SegmentId::new(segment), shared.slots_per_segment, Instant::default())
        };
        Self {
            rows: (0..settings.segments).map(row).collect(),
            settings,
            targets: TargetTable::default(),
            revokes: Vec::new(),
            store_available: true,
            last_read: None,
            last_plan: None,
            last_failover: None,
            balanced_fingerprint: None,
            last_background_read: None,
            last_background_segment: None,
            heat_rule: HeatRule::new(Duration::from_millis(shared.merge_after_ms)),
            key_heat: Vec::new(),
            merged: Vec::new(),
            merge_log_start: 0,
        }
    }

    pub(crate) fn is_unchecked(&self) -> bool {
        self.settings.fencing == Fencing::Unchecked
    }

    pub(crate) fn slots(&self, shared: &OwnershipSettings) -> u32 {
        self.settings.segments * shared.slots_per_segment
    }

    /// Resets the state at the start of an authority, because earlier controllers may have granted
    /// any unit to any target until `start`.
    pub(crate) fn take_over(&mut self, shared: &OwnershipSettings, start: Instant) {
        let lapse = start + shared.lapse(&self.settings);
        self.rows.iter_mut().for_each(|row| row.reset(lapse));
        self.targets.iter_mut().for_each(|target| target.reset());
        self.revokes.clear();
        self.merged.clear();
        self.store_available = true;
        self.last_read = None;
        self.last_plan = None;
        self.last_background_read = None;
    }

    /// Runs every step that is due: reads, queries, plans, unit transitions, writes, revocations,
    /// grants and the publication of routes.
    pub(crate) fn advance(
        &mut self,
        context: &Context<'_>,
        ids: &mut Ids,
        route_version: &mut u64,
        out: &mut Vec<Output>,
    ) {
        self.read_rows(context, out);
        self.query_targets(context, ids, out);
        self.plan_rehoming(context);
        self.plan_moves(context);
        self.step_rows(context);
        self.write_rows(context, ids, out);
        self.send_revokes(context, ids, out);
        self.send_grants(context, ids, out);
        self.publish(context, route_version);
    }

    fn step_rows(&mut self, context: &Context<'_>) {
        let zone_stopped = context.out_since.is_some_and(|since| {
            context.now >= since + Duration::from_millis(context.settings.zone_out_revoke_ms)
        });
        let step = UnitStep {
            now: context.now,
            unchecked: self.is_unchecked(),
            withdrawal_wait: context.settings.lapse(&self.settings),
            write_wait: Duration::from_millis(context.settings.write_wait_ms),
            targets: &self.targets,
        };
        for row in self.rows.iter_mut().filter(|row| row.home.as_ref() == Some(context.zone)) {
            let (exclusive, in_flight) = (row.is_exclusive(), row.in_flight.is_some());
            let release = zone_stopped || row.rehome.is_some();
            for (_, unit) in row.units_mut() {
                step.confirm_unchecked(unit);
                if step.expire(unit) {
                    self.last_failover = Some(context.now);
                }
                step.release(unit, release || unit.merging);
                if !exclusive && !release && !unit.merging {
                    step.assign(unit, in_flight);
                    step.confirm_unchecked(unit);
                }
            }
        }
    }

    fn publish(&mut self, context: &Context<'_>, route_version: &mut u64) {
        let excess = self.merged.len().saturating_sub(MERGE_LOG_LEN);
        if let Some((_, version)) = self.merged.drain(..excess).next_back() {
            self.merge_log_start = version;
        }
        for row in &mut self.rows {
            let local = row.home.as_ref() == Some(context.zone);
            for key in row.merged.drain(..) {
                *route_version += 1;
                self.merged.push((key, *route_version));
            }
            for (_, unit) in row.units_mut() {
                let state = if local { unit.route() } else { PublishedRoute::Nothing };
                if state != unit.published {
                    *route_version += 1;
                    unit.published = state;
                    unit.version = *route_version;
                }
            }
        }
    }
}

struct UnitStep<'a> {
    now: Instant,
    unchecked: bool,
    withdrawal_wait: Duration,
    write_wait: Duration,
    targets: &'a TargetTable,
}

impl UnitStep<'_> {
    // Removes the grantee of a unit whose grants have lapsed; a usable target whose first grant is
    // still to be sent stays grantee. Returns whether the grantee was removed without a revocation.
    fn expire(&self, unit: &mut UnitState) -> bool {
        let Some(grantee) = unit.grantee else { return false };
        let ended = match (self.unchecked, grantee.unsent) {
            (true, _) => grantee.revoking.is_some() && self.now >= unit.lapse,
            (false, true) => !self.targets.at(grantee.target).is_usable() && self.now >= unit.lapse,
            (false, false) => self.now >= unit.lapse,
        };
        if ended {
            unit.grantee = None;
        }
        ended && grantee.revoking.is_none()
    }

    // Starts to revoke a unit if `required`, for a planned move, or if its unchecked target can no
    // longer own units. A unit without a grant that may be unexpired is released at once.
    fn release(&self, unit: &mut UnitState, required: bool) {
        let Some(grantee) = unit.grantee.filter(|grantee| grantee.revoking.is_none()) else {
            return;
        };
        let lost = self.unchecked && !self.targets.at(grantee.target).can_own();
        if !required && !lost && unit.move_to.is_none() {
            return;
        }
        if grantee.unsent && self.now >= unit.lapse {
            unit.grantee = None;
            return;
        }
        unit.revoke();
        if self.unchecked {
            // Only route leases issued before now contain the unit, so it is free once these have
            // lapsed.
            unit.lapse = self.now + self.withdrawal_wait;
        }
    }

    // Assigns a free unit to a target that the row names, or proposes a new owner. A unit that has
    // waited for a row write for `write_wait` goes to the recorded owner or successor if that needs
    // no write.
    fn assign(&self, unit: &mut UnitState, in_flight: bool) {
        if !unit.is_free(self.now) || unit.recorded.is_none() {
            return;
        }
        let free_since = *unit.free_since.get_or_insert(self.now);
        let overdue = self.now >= free_since + self.write_wait;
        if unit.move_to.is_some_and(|to| overdue || !self.targets.at(to).is_usable()) {
            unit.move_to = None;
        }
        if unit.proposed.is_some() && !in_flight && overdue {
            unit.proposed = None;
        }
        let waits = unit.proposed.is_some() && !overdue;
        if waits || (unit.move_to.is_none() && unit.assign(self.targets)) {
            return;
        }
        if unit.proposed.is_none() {
            unit.propose(self.targets);
        }
    }

    // Confirms the grant at once: an unchecked target receives no message, its route is the grant.
    fn confirm_unchecked(&self, unit: &mut UnitState) {
        if !self.unchecked || unit.grantee.is_none_or(|grantee| !grantee.unsent) {
            return;
        }
        unit.on_grant_sent(GrantId::default(), unit.lapse);
        if let Some(grantee) = unit.grantee.as_mut() {
            grantee.confirmed = true;
        }
    }
}
