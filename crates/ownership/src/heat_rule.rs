//! When a key is split off from its slot and when it is merged back.

use std::time::Duration;

use wagtailmoor_core::{Instant, KeyHash, SortedVec};
use wagtailmoor_derive::scalar;

/// A decision about a key.
#[scalar]
pub enum HotKeyChange {
    /// Split the key off from its slot.
    Split(KeyHash),
    /// Merge the key back into its slot.
    Merge(KeyHash),
}

/// Splits a key above 1/4 of the load of a target and merges it after some time below 1/16.
///
/// The gap between the two thresholds keeps a key near one of them from being split repeatedly.
#[derive(Clone, Debug)]
pub struct HeatRule {
    merge_after: Duration,
    cool_since: SortedVec<KeyHash, Instant>,
}

impl HeatRule {
    const SPLIT_DIVISOR: u32 = 4;
    const MERGE_DIVISOR: u32 = 16;

    /// Creates a rule that merges keys after `merge_after` below the threshold.
    pub fn new(merge_after: Duration) -> Self {
        Self { merge_after, cool_since: SortedVec::new() }
    }

    /// Decides about the keys of one back end. `target_load` is what one target can handle, `split`
    /// are the keys that are split off now.
    pub fn decide(
        &mut self,
        now: Instant,
        target_load: u32,
        heat: &[(KeyHash, u32)],
        split: &[KeyHash],
    ) -> Vec<HotKeyChange> {
        let hot = heat.iter().filter(|(key, load)| {
            *load > target_load / Self::SPLIT_DIVISOR && !split.contains(key)
        });
        let mut changes: Vec<HotKeyChange> =
            hot.map(|(key, _)| HotKeyChange::Split(*key)).collect();
        self.cool_since.retain(|key, _| split.contains(key));
        for key in split {
            let load = heat.iter().find(|(other, _)| other == key).map_or(0, |(_, load)| *load);
            if load >= target_load / Self::MERGE_DIVISOR {
                self.cool_since.remove(key);
            } else if self.cool_for(now, *key) >= self.merge_after {
                changes.push(HotKeyChange::Merge(*key));
            }
        }
        changes
    }

    fn cool_for(&mut self, now: Instant, key: KeyHash) -> Duration {
        let since = *self.cool_since.get_or_insert_with(key, || now);
        now.saturating_since(since)
    }
}
