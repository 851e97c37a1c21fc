//! Moves of segments between zones.

use std::time::Duration;

use wagtailmoor_core::{Epoch, PartsPerMillion, SegmentId, SortedVec, ZoneId};

use crate::back_end::BackEnd;
use crate::row_state::RowState;
use crate::successors::unit_hash;
use crate::target_table::TargetTable;
use crate::turn::Turn;
use crate::unit_state::UnitState;
use crate::{
    Assignment, Candidate, HotKey, Item, Placed, Placement, SegmentRow, TargetState, Unit,
};

/// Cap on the share of one target in a single segment.
const LOOSE_CAP: PartsPerMillion = PartsPerMillion::new(2_000_000);

impl BackEnd {
    /// Starts moves of segments to the zones that should have them: at most one segment at a time
    /// for each receiving target, so that a returning zone of cold targets is not overrun.
    pub(crate) fn plan_rehoming(&mut self, turn: &Turn<'_>) {
        if !self.store_ok {
            return;
        }
        let urgent = turn.out_since.is_some();
        let pause_ms =
            if urgent { turn.settings.rehome_pause_ms } else { turn.settings.return_pause_ms };
        let pause = Duration::from_millis(pause_ms);
        for zone in turn.zones.iter().filter(|zone| zone.in_service && zone.zone != *turn.zone) {
            let busy = self.rows.iter().filter(|row| row.occupies(turn, &zone.zone)).count();
            // When a zone returns, every other zone sends segments to it.
            let senders = if urgent { 1 } else { turn.zones.len().saturating_sub(1).max(1) };
            let places = receivers(&self.targets, &zone.zone).div_ceil(senders);
            let free = places.saturating_sub(busy);
            let leaving = self.rows.iter_mut().filter(|row| row.may_leave_for(turn, &zone.zone));
            for row in leaving.take(free) {
                row.rehome = Some(zone.zone.clone());
                row.rehomed_until = turn.now + pause;
            }
        }
    }
}

fn receivers(targets: &TargetTable, zone: &ZoneId) -> usize {
    let in_zone = targets.iter().filter(|(_, entry)| entry.zone.as_ref() == Some(zone));
    in_zone
        .filter(|(_, entry)| matches!(entry.state, TargetState::Live | TargetState::Cold))
        .count()
}

impl RowState {
    fn occupies(&self, turn: &Turn<'_>, zone: &ZoneId) -> bool {
        let recently = turn.now < self.rehomed_until && self.home.as_ref() == Some(zone);
        self.rehome.as_ref() == Some(zone) || recently
    }

    fn may_leave_for(&self, turn: &Turn<'_>, zone: &ZoneId) -> bool {
        self.home.as_ref() == Some(turn.zone)
            && self.rehome.is_none()
            && self.in_flight.is_none()
            && turn.preferred_home(self.segment) == Some(zone)
    }

    /// Returns the row in its new zone once no target of this zone may hold any of its units.
    pub(crate) fn rehomed_row(
        &self,
        turn: &Turn<'_>,
        to: &ZoneId,
        targets: &TargetTable,
    ) -> Option<SegmentRow> {
        let released = self.units().all(|(_, unit)| unit.is_free(turn.now));
        // The loads of the other zone are not known here; its controller moves what is above the cap.
        let placement = Placement::new(candidates(targets, to), LOOSE_CAP);
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

/// Returns the first rows of the segments that do not exist and that this zone should have.
pub(crate) fn first_rows(
    turn: &Turn<'_>,
    rows: &[RowState],
    targets: &TargetTable,
) -> SortedVec<SegmentId, SegmentRow> {
    let missing = |row: &&RowState| {
        row.known && row.home.is_none() && turn.preferred_home(row.segment) == Some(turn.zone)
    };
    let missing: Vec<&RowState> = rows.iter().filter(missing).collect();
    if missing.is_empty() {
        return SortedVec::new();
    }
    let items: Vec<Item> = missing.iter().flat_map(|row| row.items(row.units())).collect();
    let placement = Placement::new(candidates(targets, turn.zone), turn.settings.cap_ppm);
    let Some(placed) = placement.place(&items) else {
        return SortedVec::new();
    };
    let mut rest = placed.as_slice();
    let row = |row: &&RowState| {
        let (own, others) = rest.split_at(row.units().count());
        rest = others;
        let units = row.units().map(|(unit, _)| (unit, Epoch::new(1)));
        (row.segment, row.placed_row(turn.zone, &placement, units, own))
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
