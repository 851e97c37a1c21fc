//! Moves of segments between zones.

use std::time::Duration;

use wagtailmoor_core::{Epoch, PartsPerMillion, SegmentId, SortedVec, ZoneId};

use crate::back_end::BackEnd;
use crate::context::Context;
use crate::row_state::RowState;
use crate::successors::unit_hash;
use crate::target_table::TargetTable;
use crate::unit_state::UnitState;
use crate::{
    Assignment, Candidate, HotKey, Item, Placed, Placement, SegmentRow, TargetState, Unit,
};

/// Load cap of one target within a single segment, relative to the mean.
const SEGMENT_LOAD_CAP: PartsPerMillion = PartsPerMillion::new(2_000_000);

impl BackEnd {
    /// Starts moves of segments to their preferred zones: at most one segment at a time for each
    /// receiving target, so that a returning zone of cold targets is not overloaded.
    pub(crate) fn plan_rehoming(&mut self, context: &Context<'_>) {
        if !self.store_available {
            return;
        }
        let urgent = context.out_since.is_some();
        let pause_ms = if urgent {
            context.settings.rehome_pause_ms
        } else {
            context.settings.return_pause_ms
        };
        let pause = Duration::from_millis(pause_ms);
        for zone in
            context.zones.iter().filter(|zone| zone.in_service && zone.zone != *context.zone)
        {
            let busy = self
                .rows
                .iter()
                .filter(|row| row.occupies_receiver_in(context, &zone.zone))
                .count();
            // When a zone returns to service, all other zones move segments to it at the same time,
            // so each of them uses its share of the receiving targets.
            let sending_zones =
                if urgent { 1 } else { context.zones.len().saturating_sub(1).max(1) };
            let receiver_share = receiver_count(&self.targets, &zone.zone).div_ceil(sending_zones);
            let free = receiver_share.saturating_sub(busy);
            let leaving = self.rows.iter_mut().filter(|row| row.can_move_to(context, &zone.zone));
            for row in leaving.take(free) {
                row.rehome = Some(zone.zone.clone());
                row.rehomed_until = context.now + pause;
            }
        }
    }
}

fn receiver_count(targets: &TargetTable, zone: &ZoneId) -> usize {
    let in_zone = targets.iter().filter(|(_, entry)| entry.zone.as_ref() == Some(zone));
    in_zone
        .filter(|(_, entry)| matches!(entry.state, TargetState::Live | TargetState::Cold))
        .count()
}

impl RowState {
    fn occupies_receiver_in(&self, context: &Context<'_>, zone: &ZoneId) -> bool {
        let recently = context.now < self.rehomed_until && self.home.as_ref() == Some(zone);
        self.rehome.as_ref() == Some(zone) || recently
    }

    fn can_move_to(&self, context: &Context<'_>, zone: &ZoneId) -> bool {
        self.home.as_ref() == Some(context.zone)
            && self.rehome.is_none()
            && self.in_flight.is_none()
            && context.preferred_home(self.segment) == Some(zone)
    }

    /// Returns the row as placed in its new zone. Returns `None` while a target of this zone may
    /// still serve one of its units, or if the new zone has no target that may own units.
    pub(crate) fn rehomed_row(
        &self,
        context: &Context<'_>,
        to: &ZoneId,
        targets: &TargetTable,
    ) -> Option<SegmentRow> {
        let released = self.units().all(|(_, unit)| unit.is_free(context.now));
        // This controller does not know the loads of the other zone; the controller there moves
        // units off targets above the cap.
        let placement = Placement::new(candidates(targets, to), SEGMENT_LOAD_CAP);
        let placed = released.then(|| placement.place(&self.items(self.units())))??;
        let epochs = self.units().map(|(unit, state)| (unit, state.next_epoch()));
        Some(self.placed_row(to, &placement, epochs, &placed))
    }

    fn items<'a>(&self, units: impl Iterator<Item = (Unit, &'a UnitState)>) -> Vec<Item> {
        let item = |(unit, state): (Unit, &UnitState)| Item {
            hash: unit_hash(unit),
            heat: state.heat.max(1),
            owner: None,
            successor: None,
        };
        units.map(item).collect()
    }

    fn placed_row(
        &self,
        home: &ZoneId,
        placement: &Placement,
        units: impl Iterator<Item = (Unit, Epoch)>,
        placed: &[Placed],
    ) -> SegmentRow {
        let target = |index: usize| placement.candidates()[index].target.clone();
        let mut row = SegmentRow {
            segment: self.segment,
            home: home.clone(),
            slots: Vec::with_capacity(self.slots.len()),
            hot_keys: Vec::new(),
        };
        for ((unit, epoch), placed) in units.zip(placed) {
            let (owner, successor) = (target(placed.owner), placed.successor.map(target));
            let assignment = Assignment { owner, successor, epoch };
            match unit {
                Unit::Slot(_) => row.slots.push(assignment),
                Unit::HotKey(key) => row.hot_keys.push(HotKey { key, assignment }),
            }
        }
        row
    }
}

/// Returns initial rows for segments that have no row and whose preferred zone is this one.
pub(crate) fn initial_rows(
    context: &Context<'_>,
    rows: &[RowState],
    targets: &TargetTable,
) -> SortedVec<SegmentId, SegmentRow> {
    let missing = |row: &&RowState| {
        row.known && row.home.is_none() && context.preferred_home(row.segment) == Some(context.zone)
    };
    let missing: Vec<&RowState> = rows.iter().filter(missing).collect();
    if missing.is_empty() {
        return SortedVec::new();
    }
    let items: Vec<Item> = missing.iter().flat_map(|row| row.items(row.units())).collect();
    let placement = Placement::new(candidates(targets, context.zone), context.settings.cap_ppm);
    let Some(placed) = placement.place(&items) else {
        return SortedVec::new();
    };
    let mut remaining = placed.as_slice();
    let row = |row: &&RowState| {
        let (own, others) = remaining.split_at(row.units().count());
        remaining = others;
        let units = row.units().map(|(unit, _)| (unit, Epoch::new(1)));
        (row.segment, row.placed_row(context.zone, &placement, units, own))
    };
    missing.iter().map(row).collect()
}

fn candidates(targets: &TargetTable, zone: &ZoneId) -> Vec<Candidate> {
    let in_zone = targets.iter().filter(|(_, entry)| entry.zone.as_ref() == Some(zone));
    in_zone
        .filter(|(_, entry)| matches!(entry.state, TargetState::Live | TargetState::Cold))
        .map(|(_, entry)| Candidate { target: entry.target.clone(), capacity: entry.capacity })
        .collect()
}
