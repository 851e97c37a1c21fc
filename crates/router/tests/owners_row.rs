//! The size of the store's row with the owners of a back end.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Incarnation, WriteId};
use wagtailmoor_ranges::{AssignmentTable, KeyRange, TargetProcess};
use wagtailmoor_store::StoredRow;

/// Largest row of the platform's store.
const ROW_MAX_BYTES: usize = 65_536;

/// Targets that own ranges on a site of 300 hosts.
const TARGETS: usize = 2_100;

/// Ranges of these targets, including the parts of a split hot range.
const RANGES: u32 = 2_800;

// Guards against a table of owners that exceeds the row size of the store on a large site, so that
// no key gets an owner. Uncompressed the table took 147 KB, and 39% of the requests were served
// (sweep of fvmu-macerator-grown, 300 hosts).
#[test]
fn the_owners_of_a_large_site_fit_into_a_row() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let processes: Vec<TargetProcess> = (0..TARGETS)
        .map(|_| TargetProcess {
            target: format!("i-{:010x}", random.random::<u64>() >> 24).parse().unwrap(),
            incarnation: Incarnation::new(1_791_203_690_000 + random.random_range(0..10_000)),
        })
        .collect();
    let mut table = AssignmentTable::default();
    for range in KeyRange::ALL.split(RANGES) {
        table.assign(range, processes[random.random_range(0..TARGETS)].clone());
    }
    let value = serde_json::to_value(&table).unwrap();
    let plain = value.to_string().len();
    let row = StoredRow::new(WriteId::new(7), value).encode();
    assert!(row.len() < ROW_MAX_BYTES, "{} of {plain} bytes", row.len());
    let decoded = StoredRow::decode(&row).unwrap();
    assert_eq!(serde_json::from_value::<AssignmentTable>(decoded.value).unwrap(), table);
    assert!(StoredRow::decode(&row[..row.len() / 2]).is_err());
}
