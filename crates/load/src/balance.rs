//! Distribution of load over targets, and changes of the owners of keys.

use std::collections::BTreeMap;

use wagtailmoor_core::PartsPerMillion;
use wagtailmoor_derive::value;
use wagtailmoor_history::{Execution, History};

/// Distribution of the executions of a back end over its targets.
#[value]
pub struct Balance {
    /// Name of the back end.
    pub back_end: String,
    /// Number of targets with at least one execution; idle targets are not known here.
    pub targets: u64,
    /// Executions at all targets of the back end.
    pub executions: u64,
    /// Greatest number of executions at a target divided by the mean; 1,000,000 is perfect balance.
    pub most_executions_ppm: PartsPerMillion,
    /// Greatest total execution time of a target divided by the mean.
    pub most_busy_ppm: PartsPerMillion,
}

/// Returns the load distribution of each back end.
pub(crate) fn balance(history: &History) -> Vec<Balance> {
    let mut back_ends: BTreeMap<&str, BTreeMap<&str, (u64, u64)>> = BTreeMap::new();
    for execution in &history.executions {
        let targets = back_ends.entry(&execution.back_end).or_default();
        let (count, busy_us) = targets.entry(&execution.target).or_default();
        *count += 1;
        *busy_us +=
            execution.end_us.unwrap_or(execution.start_us).saturating_sub(execution.start_us);
    }
    let balance = back_ends.into_iter().map(|(back_end, targets)| Balance {
        back_end: back_end.to_owned(),
        targets: targets.len() as u64,
        executions: targets.values().map(|(count, _)| count).sum(),
        most_executions_ppm: max_over_mean(targets.values().map(|(count, _)| *count)),
        most_busy_ppm: max_over_mean(targets.values().map(|(_, busy_us)| *busy_us)),
    });
    balance.collect()
}

/// Returns how often the target that executed a key changed, and for how many keys it did.
pub(crate) fn owner_changes(history: &History) -> (u64, u64) {
    let mut keys: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            keys.entry((&execution.back_end, key)).or_default().push(execution);
        }
    }
    let changes = keys.into_values().map(|mut executions| {
        executions.sort_by_key(|execution| execution.start_us);
        executions.windows(2).filter(|pair| pair[0].target != pair[1].target).count() as u64
    });
    changes.fold((0, 0), |(total, moved), count| (total + count, moved + u64::from(count > 0)))
}

fn max_over_mean(values: impl Iterator<Item = u64> + Clone) -> PartsPerMillion {
    let count = values.clone().count() as u128;
    let sum: u128 = values.clone().map(u128::from).sum();
    let max = u128::from(values.max().unwrap_or_default());
    let ppm = (max * count * 1_000_000).checked_div(sum).unwrap_or_default();
    PartsPerMillion::new(u32::try_from(ppm).unwrap_or(u32::MAX))
}
