//! Counts requests of the hottest keys in bounded memory.

use wagtailmoor_core::{KeyHash, SortedVec};

/// Space-Saving sketch, which counts the most frequent of any number of keys.
///
/// An entry overcounts by at most the total number of requests divided by the number of entries.
#[derive(Clone, Debug, Default)]
pub struct HeatSketch {
    entries: SortedVec<KeyHash, Count>,
    last_minimum: u32,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    count: u32,
    error: u32,
}

impl HeatSketch {
    /// Number of keys that are counted at the same time.
    pub const ENTRIES: usize = 256;

    /// Creates an empty sketch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request of a key.
    pub fn record(&mut self, key: KeyHash) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.count = entry.count.saturating_add(1);
        } else if self.entries.len() < Self::ENTRIES {
            self.entries.insert(key, Count { count: 1, error: 0 });
        } else {
            self.replace_least(key);
        }
    }

    /// Returns keys with a lower bound of their count, hottest first.
    pub fn hottest(&self) -> Vec<(KeyHash, u32)> {
        let certain = self.entries.iter().map(|(key, entry)| (*key, entry.count - entry.error));
        let mut keys: Vec<(KeyHash, u32)> = certain.filter(|(_, count)| *count > 0).collect();
        keys.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        keys
    }

    /// Halves all counts and drops keys that reach zero; called once per reporting interval.
    pub fn decay(&mut self) {
        self.entries.retain(|_, entry| {
            entry.count /= 2;
            entry.error /= 2;
            entry.count > 0
        });
        self.last_minimum = 0;
    }

    fn replace_least(&mut self, key: KeyHash) {
        let least = self.least();
        self.entries.remove(&least.0);
        let error = least.1;
        self.entries.insert(key, Count { count: error.saturating_add(1), error });
    }

    // Counts never fall between decays, so the search stops at an entry equal to the last minimum.
    fn least(&mut self) -> (KeyHash, u32) {
        let mut least = (KeyHash::new(0), u32::MAX);
        for (key, entry) in self.entries.iter() {
            if entry.count < least.1 {
                least = (*key, entry.count);
            }
            if least.1 <= self.last_minimum {
                break;
            }
        }
        self.last_minimum = least.1;
        least
    }
}
