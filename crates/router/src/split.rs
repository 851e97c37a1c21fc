//! Chooses the back end of a request on a route with several.

use std::time::Duration;

use rand::Rng;
use wagtailmoor_admission::SplitCandidate;
use wagtailmoor_core::{BackEndId, Instant, ShardKey, SortedVec, ZoneId};
use wagtailmoor_ranges::{Assignment, AssignmentTable, KeyRange};
use wagtailmoor_site::{Registry, RouteRule, SiteConfig};

/// The share of a back end's requests that are run in the own zone is computed again after this
/// time.
const LOCAL_SHARE_AGE_MAX: Duration = Duration::from_secs(1);

/// Share of the requests to a back end that are run in this node's zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalShare {
    share: f64,
    computed_at: Instant,
}

/// The data by which a node chooses the back end of a request.
pub(crate) struct Split<'s> {
    pub(crate) now: Instant,
    pub(crate) zone: &'s ZoneId,
    pub(crate) config: &'s SiteConfig,
    pub(crate) tables: &'s SortedVec<BackEndId, AssignmentTable>,
    pub(crate) registry: &'s Registry,
    pub(crate) local_shares: &'s mut SortedVec<BackEndId, LocalShare>,
}

impl Split<'_> {
    /// Returns the back end of a request on `route`.
    pub(crate) fn choose<R: Rng>(
        &mut self,
        route: &RouteRule,
        key: Option<ShardKey>,
        random: &mut R,
    ) -> BackEndId {
        if let [only] = &route.split[..] {
            return only.back_end.clone();
        }
        let candidates: Vec<SplitCandidate> = route
            .split
            .iter()
            .map(|part| self.candidate(&part.back_end, part.weight.get(), key))
            .collect();
        route.split[SplitCandidate::choose(&candidates, random)].back_end.clone()
    }

    fn candidate(
        &mut self,
        back_end: &BackEndId,
        weight: u32,
        key: Option<ShardKey>,
    ) -> SplitCandidate {
        let keyed = self.config.back_end(back_end).is_some_and(|rule| rule.keyed);
        let table = self.tables.get(back_end).filter(|_| keyed);
        let local_share = self.local_share(back_end, table);
        let is_local = match (table, key) {
            (Some(table), Some(key)) => {
                table.assignment_of(key).is_some_and(|assignment| self.is_in_zone(assignment))
            }
            _ => local_share > 0.0,
        };
        SplitCandidate { weight, is_local, local_share }
    }

    /// Returns the share of the requests to a back end that are run in the zone: those on keys with
    /// an owner there or, without keys, all if any target is there.
    fn local_share(&mut self, back_end: &BackEndId, table: Option<&AssignmentTable>) -> f64 {
        let known = self.local_shares.get(back_end);
        match known.filter(|known| self.now < known.computed_at + LOCAL_SHARE_AGE_MAX) {
            Some(known) => known.share,
            None => {
                let share = match table {
                    Some(table) => self.owned_share(table),
                    None => f64::from(u8::from(self.has_target_in_zone(back_end))),
                };
                let computed = LocalShare { share, computed_at: self.now };
                self.local_shares.insert(back_end.clone(), computed);
                share
            }
        }
    }

    fn owned_share(&self, table: &AssignmentTable) -> f64 {
        let in_zone = table.iter().filter(|assignment| self.is_in_zone(assignment));
        let keys: u32 = in_zone.map(|assignment| assignment.range.len()).sum();
        f64::from(keys) / f64::from(KeyRange::ALL.len())
    }

    fn is_in_zone(&self, assignment: &Assignment) -> bool {
        let owner = self.registry.get(&assignment.owner.target);
        owner.is_some_and(|target| target.zone == *self.zone)
    }

    fn has_target_in_zone(&self, back_end: &BackEndId) -> bool {
        let mut targets = self.registry.targets_of(back_end);
        targets.any(|target| {
            target.zone == *self.zone && self.registry.is_in_service(self.now, &target.target)
        })
    }
}
