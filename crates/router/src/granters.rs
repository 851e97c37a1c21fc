//! The granters of all keyed back ends.

use wagtailmoor_core::{BackEndId, Generation, Instant, RowVersion, SortedVec};
use wagtailmoor_ranges::RangeAssigner;

use crate::granter::{Granter, GranterId};

/// The granters of all keyed back ends, in one term of this process as the leader.
///
/// A granter knows only the owners of its own term: other leaders may have stored others since.
#[derive(Debug, Default)]
pub(crate) struct Granters {
    granters: SortedVec<BackEndId, Granter>,
    /// The last term in which a granter of each back end was started.
    started_in: SortedVec<BackEndId, Generation>,
    started: u64,
}

impl Granters {
    /// Adds the granter of a back end.
    pub(crate) fn start(
        &mut self,
        back_end: BackEndId,
        generation: Generation,
        assigner: RangeAssigner,
        row_version: RowVersion,
    ) {
        self.started += 1;
        let id = GranterId(self.started);
        self.started_in.insert(back_end.clone(), generation);
        let era = generation.era();
        let reserve_at = Instant::default();
        let granter = Granter { id, generation, assigner, row_version, era, reserve_at };
        self.granters.insert(back_end, granter);
    }

    /// Returns whether this process has started a granter of a back end in a term, and may have sent
    /// grants in it.
    pub(crate) fn has_started(&self, back_end: &BackEndId, generation: Generation) -> bool {
        self.started_in.get(back_end) == Some(&generation)
    }

    /// Moves the granters of a term to the one that continues it in a new era of the store.
    pub(crate) fn continue_term(&mut self, former: Generation, generation: Generation) {
        for granter in self.granters.values_mut().filter(|known| known.generation == former) {
            granter.generation = generation;
        }
        for started_in in self.started_in.values_mut().filter(|known| **known == former) {
            *started_in = generation;
        }
    }

    /// Removes the granters of other terms.
    pub(crate) fn retain_term(&mut self, generation: Generation) {
        self.granters.retain(|_, granter| granter.generation == generation);
    }

    pub(crate) fn get(&self, back_end: &BackEndId) -> Option<&Granter> {
        self.granters.get(back_end)
    }

    pub(crate) fn get_mut(&mut self, back_end: &BackEndId) -> Option<&mut Granter> {
        self.granters.get_mut(back_end)
    }

    /// Returns the granter of a back end if it is still the one with this id.
    pub(crate) fn get_by_id(
        &mut self,
        back_end: &BackEndId,
        id: GranterId,
    ) -> Option<&mut Granter> {
        self.granters.get_mut(back_end).filter(|granter| granter.id == id)
    }

    pub(crate) fn remove(&mut self, back_end: &BackEndId) {
        self.granters.remove(back_end);
    }

    pub(crate) fn clear(&mut self) {
        self.granters.clear();
    }
}
