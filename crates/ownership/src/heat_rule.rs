//! Rule that splits hot keys off from their slots and merges them back.

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

/// Splits off a key above 1/4 of the capacity of a target and merges it back after it has stayed
/// below 1/16 for a set time.
///
/// The gap between the thresholds prevents repeated splits of a key whose load is near one of them.
#[derive(Clone, Debug)]
pub struct HeatRule {
    merge_after: Duration,
    /// Hot keys whose load is below the merge threshold, with the start of that period.
    below_threshold_since: SortedVec<KeyHash, Instant>,
}

impl HeatRule {
    const SPLIT_DIVISOR: u32 = 4;
    const MERGE_DIVISOR: u32 = 16;

    /// Creates a rule that merges a key back after it has been below the merge threshold for
    /// `merge_after`.
    pub fn new(merge_after: Duration) -> Self {
        Self { merge_after, below_threshold_since: SortedVec::new() }
    }

    /// Returns the keys of one back end to split or merge. `target_load` is the load that one
    /// target can handle; `split` lists the keys that are currently split off.
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
        self.below_threshold_since.retain(|key, _| split.contains(key));
        for key in split {
            let load = heat.iter().find(|(other, _)| other == key).map_or(0, |(_, load)| *load);
            if load >= target_load / Self::MERGE_DIVISOR {
                self.below_threshold_since.remove(key);
            } else if self.time_below_threshold(now, *key) >= self.merge_after {
                changes.push(HotKeyChange::Merge(*key));
            }
        }
        changes
    }

    fn time_below_threshold(&mut self, now: Instant, key: KeyHash) -> Duration {
        let since = *self.below_threshold_since.get_or_insert_with(key, || now);
        now.saturating_since(since)
    }
}
