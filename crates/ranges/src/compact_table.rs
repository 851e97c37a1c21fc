//! The stored form of an assignment table.

use serde::{Deserialize, Serialize};
use wagtailmoor_core::{Epoch, ShardKey};

use crate::{Assignment, AssignmentTable, KeyRange, TargetProcess};

/// The stored form of an assignment table. Each owner is listed once, and a range refers to its
/// owner by index.
///
/// A row of the store is limited to 64 KiB. A range takes about 25 bytes in this form, and 115
/// bytes with its owner written out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompactTable {
    #[serde(rename = "holders")]
    owners: Vec<TargetProcess>,
    /// First key, last key, index of the owner, epoch.
    ranges: Vec<(u16, u16, usize, u64)>,
    last_epoch: Epoch,
}

impl From<AssignmentTable> for CompactTable {
    fn from(table: AssignmentTable) -> Self {
        let mut owners: Vec<TargetProcess> =
            table.iter().map(|assignment| assignment.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        let owner_index = |owner: &TargetProcess| {
            owners.binary_search(owner).expect("every owner of the table is listed")
        };
        let ranges = table
            .iter()
            .map(|Assignment { range, owner, epoch }| {
                (range.first().get(), range.last().get(), owner_index(owner), epoch.get())
            })
            .collect();
        Self { ranges, last_epoch: table.last_epoch(), owners }
    }
}

impl TryFrom<CompactTable> for AssignmentTable {
    type Error = String;

    fn try_from(compact: CompactTable) -> Result<Self, String> {
        let mut table = Self::default();
        for (first, last, owner_index, epoch) in compact.ranges {
            let range = KeyRange::new(ShardKey::new(first), ShardKey::new(last));
            let range = range.ok_or_else(|| format!("range {first}-{last} is empty"))?;
            let owner = compact.owners.get(owner_index);
            let owner =
                owner.ok_or_else(|| format!("range {range} refers to an unlisted owner"))?.clone();
            table.insert(Assignment { range, owner, epoch: Epoch::new(epoch) });
        }
        table.mark_epochs_used(compact.last_epoch);
        Ok(table)
    }
}
