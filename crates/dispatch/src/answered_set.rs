//! Set of recently answered fingerprints.

use std::time::Duration;

use wagtailmoor_core::Instant;

use crate::Fingerprint;

/// Table size, a power of two; 16 bytes per entry.
const ENTRIES: usize = 4096;

/// Fixed-size hash table of recently answered fingerprints.
///
/// On a collision the newer fingerprint replaces the older one.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredSet {
    entries: Vec<(u64, Instant)>,
}

impl AnsweredSet {
    pub(crate) fn new() -> Self {
        Self { entries: vec![(0, Instant::default()); ENTRIES] }
    }

    pub(crate) fn insert(&mut self, now: Instant, fingerprint: Fingerprint) {
        let (index, tag) = Self::index_and_tag(fingerprint);
        self.entries[index] = (tag, now);
    }

    /// Returns the time of the last answer if it is less than `window` ago.
    pub(crate) fn get(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        window: Duration,
    ) -> Option<Instant> {
        let (index, tag) = Self::index_and_tag(fingerprint);
        let (stored_tag, at) = self.entries[index];
        (stored_tag == tag && now.saturating_since(at) < window).then_some(at)
    }

    fn index_and_tag(fingerprint: Fingerprint) -> (usize, u64) {
        let hash = fingerprint.get();
        // A tag of zero marks an empty entry.
        ((hash >> 64) as usize & (ENTRIES - 1), (hash as u64).max(1))
    }
}
