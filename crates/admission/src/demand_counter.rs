//! A node's count of the requests for pooled back ends.

use wagtailmoor_core::{BackEndId, SortedVec};

use crate::{BackEndDemand, RequestClass};

/// Classes of a back end that a report names. Requests of further classes are counted as anonymous
/// ones of their priority, so that the size of a report is bounded.
const CLASSES_MAX: usize = 64;

/// A node's count of the requests for pooled back ends since its last report.
#[derive(Debug, Default)]
pub struct DemandCounter {
    counts: SortedVec<BackEndId, SortedVec<RequestClass, u32>>,
}

impl DemandCounter {
    /// Counts a request.
    pub fn count(&mut self, back_end: &BackEndId, class: RequestClass) {
        let counts = self.counts.get_or_insert_with(back_end.clone(), SortedVec::new);
        let counted_as = match counts.len() < CLASSES_MAX || counts.contains_key(&class) {
            true => class,
            false => RequestClass { customer: None, ..class },
        };
        *counts.get_or_insert_with(counted_as, || 0) += 1;
    }

    /// Returns and resets the counts.
    pub fn take(&mut self) -> Vec<BackEndDemand> {
        std::mem::take(&mut self.counts)
            .into_iter()
            .map(|(back_end, counts)| BackEndDemand {
                back_end,
                requests: counts.into_iter().collect(),
            })
            .collect()
    }
}
