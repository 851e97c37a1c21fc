//! Answers to pulls of routes.

use wagtailmoor_core::TargetId;

use crate::back_end::BackEnd;
use crate::target_table::{TargetIndex, TargetTable};
use crate::unit_state::{Published, UnitState};
use crate::{BackEndRoutes, OwnershipSettings, RouteEntry, RouteMark, RoutePull, Unit};

/// Names of the targets in one update.
#[derive(Default)]
pub(crate) struct UpdateTargets {
    names: Vec<TargetId>,
}

impl UpdateTargets {
    pub(crate) fn into_names(self) -> Vec<TargetId> {
        self.names
    }

    fn number(&mut self, target: &TargetId) -> u16 {
        let known = self.names.iter().position(|name| name == target);
        let number = known.unwrap_or_else(|| {
            self.names.push(target.clone());
            self.names.len() - 1
        });
        u16::try_from(number).expect("a zone has fewer than 65,536 servers")
    }
}

impl BackEnd {
    /// Returns the routes that changed after a version, all when there is none.
    pub(crate) fn routes(
        &self,
        shared: &OwnershipSettings,
        since: Option<u64>,
        pull: &RoutePull,
        names: &mut UpdateTargets,
    ) -> Option<BackEndRoutes> {
        let back_end = &self.settings.back_end;
        let recheck: Vec<Unit> =
            pull.recheck.iter().filter(|(id, _)| id == back_end).map(|(_, unit)| *unit).collect();
        let mut numbers: Vec<Option<u16>> = vec![None; self.targets.len() as usize];
        let mut entries = Vec::new();
        for (unit, state) in self.rows.iter().flat_map(|row| row.units()) {
            let changed = match since {
                Some(version) => state.version > version || recheck.contains(&unit),
                None => state.published != Published::Nothing,
            };
            if changed {
                let mark = state.mark(&self.targets, &mut numbers, names);
                entries.push(RouteEntry { unit, mark });
            }
        }
        let merged =
            self.merged.iter().filter(|(_, at)| since.is_some_and(|version| *at > version));
        entries.extend(
            merged.map(|(key, _)| RouteEntry { unit: Unit::HotKey(*key), mark: RouteMark::Gone }),
        );
        (since.is_none() || !entries.is_empty()).then(|| BackEndRoutes {
            back_end: back_end.clone(),
            slots: self.slots(shared),
            leased: self.is_unchecked(),
            request_max_ms: self.settings.request_max_ms,
            entries,
        })
    }
}

impl UnitState {
    /// Returns what entry processes should be told.
    pub(crate) fn route(&self) -> Published {
        match self.holder {
            Some(holder) if holder.confirmed && holder.revoking.is_none() => {
                Published::Owner(holder.target, holder.epoch)
            }
            Some(_) => Published::Moving,
            None if self.move_to.is_some() || self.proposed.is_some() => Published::Moving,
            None => Published::NoOwner,
        }
    }

    fn mark(
        &self,
        targets: &TargetTable,
        numbers: &mut [Option<u16>],
        names: &mut UpdateTargets,
    ) -> RouteMark {
        let mut number = |target: TargetIndex| {
            *numbers[target as usize]
                .get_or_insert_with(|| names.number(&targets.at(target).target))
        };
        match self.published {
            Published::Nothing => RouteMark::Gone,
            Published::Owner(target, epoch) => RouteMark::Owner(number(target), epoch),
            Published::Moving => RouteMark::Moving,
            Published::NoOwner => RouteMark::NoOwner,
        }
    }
}
