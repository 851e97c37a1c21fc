//! State of one keyed back end in one zone.

use std::time::Duration;

use wagtailmoor_core::{GrantId, Instant, KeyHash, SegmentId};

use crate::row_state::RowState;
use crate::target_table::{TargetIndex, TargetTable};
use crate::turn::{Ids, Turn};
use crate::unit_state::{Published, UnitState};
use crate::{BackEndSettings, Fencing, HeatRule, Output, OwnershipSettings, Unit};

/// Merges that are told to pullers; one that is further behind is sent everything.
const MERGES_KEPT: usize = 1_024;

#[derive(Clone, Debug)]
pub(crate) struct BackEnd {
    pub(crate) settings: BackEndSettings,
    pub(crate) targets: TargetTable,
    pub(crate) rows: Vec<RowState>,
    pub(crate) revokes: Vec<PendingRevoke>,
    /// The store answered the last operation.
    pub(crate) store_ok: bool,
    pub(crate) last_read: Option<Instant>,
    pub(crate) last_plan: Option<Instant>,
    pub(crate) last_failover: Option<Instant>,
    /// Fingerprint of a placement that needed no move.
    pub(crate) balanced: Option<u64>,
    pub(crate) last_background: Option<Instant>,
    pub(crate) background_segment: Option<SegmentId>,
    pub(crate) rule: HeatRule,
    pub(crate) key_heat: Vec<(KeyHash, u32)>,
    /// Hot keys that were merged, with the route version of the merge.
    pub(crate) merged: Vec<(KeyHash, u64)>,
    /// Route version up to which merges were forgotten.
    pub(crate) merges_forgotten: u64,
}

/// A revocation that was sent.
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
            store_ok: true,
            last_read: None,
            last_plan: None,
            last_failover: None,
            balanced: None,
            last_background: None,
            background_segment: None,
            rule: HeatRule::new(Duration::from_millis(shared.merge_after_ms)),
            key_heat: Vec::new(),
            merged: Vec::new(),
            merges_forgotten: 0,
        }
    }

    pub(crate) fn is_unchecked(&self) -> bool {
        self.settings.fencing == Fencing::Unchecked
    }

    pub(crate) fn slots(&self, shared: &OwnershipSettings) -> u32 {
        self.settings.segments * shared.slots_per_segment
    }

    /// Starts over under a new authority: earlier controllers may have granted anything until then.
    pub(crate) fn take_over(&mut self, shared: &OwnershipSettings, start: Instant) {
        let lapse = start + shared.lapse(&self.settings);
        self.rows.iter_mut().for_each(|row| row.reset(lapse));
        self.targets.iter_mut().for_each(|target| target.reset());
        self.revokes.clear();
        self.merged.clear();
        self.store_ok = true;
        self.last_read = None;
        self.last_plan = None;
        self.last_background = None;
    }

    /// Does everything that is due.
    pub(crate) fn advance(
        &mut self,
        turn: &Turn<'_>,
        ids: &mut Ids,
        route_version: &mut u64,
        out: &mut Vec<Output>,
    ) {
        self.read_rows(turn, out);
        self.query_targets(turn, ids, out);
        self.plan_rehoming(turn);
        self.plan_moves(turn);
        self.step_rows(turn);
        self.write_rows(turn, ids, out);
        self.send_revokes(turn, ids, out);
        self.send_grants(turn, ids, out);
        self.publish(turn, route_version);
    }

    fn step_rows(&mut self, turn: &Turn<'_>) {
        let stopped = turn.out_since.is_some_and(|since| {
            turn.now >= since + Duration::from_millis(turn.settings.out_stop_ms)
        });
        let step = UnitStep {
            now: turn.now,
            unchecked: self.is_unchecked(),
            withdrawal: turn.settings.lapse(&self.settings),
            write_wait: Duration::from_millis(turn.settings.write_wait_ms),
            targets: &self.targets,
        };
        for row in self.rows.iter_mut().filter(|row| row.home.as_ref() == Some(turn.zone)) {
            let (exclusive, in_flight) = (row.is_exclusive(), row.in_flight.is_some());
            let release = stopped || row.rehome.is_some();
            for (_, unit) in row.units_mut() {
                step.start_unchecked(unit);
                if step.expire(unit) {
                    self.last_failover = Some(turn.now);
                }
                step.release(unit, release || unit.merging);
                if !exclusive && !release && !unit.merging {
                    step.assign(unit, in_flight);
                    step.start_unchecked(unit);
                }
            }
        }
    }

    fn publish(&mut self, turn: &Turn<'_>, route_version: &mut u64) {
        let excess = self.merged.len().saturating_sub(MERGES_KEPT);
        if let Some((_, version)) = self.merged.drain(..excess).next_back() {
            self.merges_forgotten = version;
        }
        for row in &mut self.rows {
            let local = row.home.as_ref() == Some(turn.zone);
            for key in row.merged.drain(..) {
                *route_version += 1;
                self.merged.push((key, *route_version));
            }
            for (_, unit) in row.units_mut() {
                let state = if local { unit.route() } else { Published::Nothing };
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
    withdrawal: Duration,
    write_wait: Duration,
    targets: &'a TargetTable,
}

impl UnitStep<'_> {
    fn expire(&self, unit: &mut UnitState) -> bool {
        let Some(holder) = unit.holder else { return false };
        let ended = match (self.unchecked, holder.unsent) {
            (true, _) => holder.revoking.is_some() && self.now >= unit.lapse,
            (false, true) => !self.targets.at(holder.target).is_usable() && self.now >= unit.lapse,
            (false, false) => self.now >= unit.lapse,
        };
        if ended {
            unit.holder = None;
        }
        ended && holder.revoking.is_none()
    }

    fn release(&self, unit: &mut UnitState, wanted: bool) {
        let Some(holder) = unit.holder.filter(|holder| holder.revoking.is_none()) else { return };
        let lost = self.unchecked && !self.targets.at(holder.target).can_own();
        if !wanted && !lost && unit.move_to.is_none() {
            return;
        }
        if holder.unsent && self.now >= unit.lapse {
            unit.holder = None;
            return;
        }
        unit.revoke();
        if self.unchecked {
            // Every route lease was given before now, and none that is given later names the unit.
            unit.lapse = self.now + self.withdrawal;
        }
    }

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

    // An unchecked target is told nothing: the route is its grant.
    fn start_unchecked(&self, unit: &mut UnitState) {
        if !self.unchecked || unit.holder.is_none_or(|holder| !holder.unsent) {
            return;
        }
        unit.granted(GrantId::default(), unit.lapse);
        if let Some(holder) = unit.holder.as_mut() {
            holder.confirmed = true;
        }
    }
}
