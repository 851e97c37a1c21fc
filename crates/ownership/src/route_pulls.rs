//! Answers to pulls of routes.

use wagtailmoor_core::TargetId;

use crate::back_end::BackEnd;
use crate::target_table::{TargetIndex, TargetTable};
use crate::unit_state::{PublishedRoute, UnitState};
use crate::{BackEndRoutes, OwnershipSettings, RouteEntry, RoutePull, RouteState, Unit};

/// Ids of the targets in one update; route entries refer to them by position.
#[derive(Default)]
pub(crate) struct UpdateTargets {
    ids: Vec<TargetId>,
}

impl UpdateTargets {
    pub(crate) fn into_ids(self) -> Vec<TargetId> {
        self.ids
    }

    fn index_of(&mut self, target: &TargetId) -> u16 {
        let known = self.ids.iter().position(|id| id == target);
        let number = known.unwrap_or_else(|| {
            self.ids.push(target.clone());
            self.ids.len() - 1
        });
        u16::try_from(number).expect("a zone has fewer than 65,536 targets")
    }
}

impl BackEnd {
    /// Returns the routes that changed after the version `since`, or all routes when it is `None`.
    pub(crate) fn routes(
        &self,
        shared: &OwnershipSettings,
        since: Option<u64>,
        pull: &RoutePull,
        ids: &mut UpdateTargets,
    ) -> Option<BackEndRoutes> {
        let back_end = &self.settings.back_end;
        let recheck: Vec<Unit> =
            pull.recheck.iter().filter(|(id, _)| id == back_end).map(|(_, unit)| *unit).collect();
        let mut numbers: Vec<Option<u16>> = vec![None; self.targets.len() as usize];
        let mut entries = Vec::new();
        for (unit, state) in self.rows.iter().flat_map(|row| row.units()) {
            let changed = match since {
                Some(version) => state.version > version || recheck.contains(&unit),
                None => state.published != PublishedRoute::Nothing,
            };
            if changed {
                let state = state.route_state(&self.targets, &mut numbers, ids);
                entries.push(RouteEntry { unit, state });
            }
        }
        let merged =
            self.merged.iter().filter(|(_, at)| since.is_some_and(|version| *at > version));
        entries.extend(
            merged.map(|(key, _)| RouteEntry { unit: Unit::HotKey(*key), state: RouteState::Gone }),
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
    /// Returns the route that should be published to entry processes.
    pub(crate) fn route(&self) -> PublishedRoute {
        match self.grantee {
            Some(grantee) if grantee.confirmed && grantee.revoking.is_none() => {
                PublishedRoute::Owner(grantee.target, grantee.epoch)
            }
            Some(_) => PublishedRoute::Moving,
            None if self.move_to.is_some() || self.proposed.is_some() => PublishedRoute::Moving,
            None => PublishedRoute::NoOwner,
        }
    }

    fn route_state(
        &self,
        targets: &TargetTable,
        numbers: &mut [Option<u16>],
        ids: &mut UpdateTargets,
    ) -> RouteState {
        let mut number = |target: TargetIndex| {
            *numbers[target as usize]
                .get_or_insert_with(|| ids.index_of(&targets.at(target).target))
        };
        match self.published {
            PublishedRoute::Nothing => RouteState::Gone,
            PublishedRoute::Owner(target, epoch) => RouteState::Owner(number(target), epoch),
            PublishedRoute::Moving => RouteState::Moving,
            PublishedRoute::NoOwner => RouteState::NoOwner,
        }
    }
}
