//! Key ranges, the assignment table and its stored form.

use rstest::rstest;
use wagtailmoor_core::{Incarnation, ShardKey};
use wagtailmoor_ranges::{AssignmentTable, KeyRange, TargetProcess};

fn range(text: &str) -> KeyRange {
    text.parse().unwrap()
}

fn process(name: &str) -> TargetProcess {
    TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(7) }
}

// Guards against a split that omits keys, such as those at the ends of the key space.
#[rstest]
#[case("0-65535", 20)]
#[case("0-65535", 7)]
#[case("5-5", 3)]
#[case("65530-65535", 4)]
fn split_covers_the_whole_range(#[case] text: &str, #[case] parts: u32) {
    let whole = range(text);
    let split = whole.split(parts);
    assert_eq!(split.first().unwrap().first(), whole.first());
    assert_eq!(split.last().unwrap().last(), whole.last());
    assert!(split.windows(2).all(|pair| pair[0].is_followed_by(pair[1])));
}

#[rstest]
#[case("7-3")]
#[case("7")]
#[case("0-65536")]
fn invalid_ranges_are_rejected(#[case] text: &str) {
    assert!(text.parse::<KeyRange>().is_err());
}

// Guards against overlapping assignments, epochs that are used twice, and keys that lose their
// owner when another part of their range is reassigned.
#[test]
fn assigning_a_part_keeps_the_rest() {
    let mut table = AssignmentTable::default();
    let first = table.assign(KeyRange::ALL, process("a"));
    let second = table.assign(range("100-200"), process("b"));
    assert!(second > first);
    for (key, owner, epoch) in [(99, "a", first), (100, "b", second), (201, "a", first)] {
        let found = table.assignment_of(ShardKey::new(key)).unwrap();
        assert_eq!((found.owner.clone(), found.epoch), (process(owner), epoch));
    }
    assert!(table.gaps().is_empty());
    table.remove(range("0-9"));
    table.remove(range("65535-65535"));
    assert_eq!(table.gaps(), [range("0-9"), range("65535-65535")]);
    assert!(table.assignment_of(ShardKey::new(9)).is_none());
}

// Guards against a table that changes when it is stored and read back, or exceeds a row of the
// store: 2,000 ranges of 200 targets must fit into 64 KiB.
#[test]
fn the_stored_form_fits_into_a_row() {
    const ROW_MAX_BYTES: usize = 65_536;
    let mut table = AssignmentTable::default();
    for (number, part) in KeyRange::ALL.split(2_000).into_iter().enumerate() {
        table.assign(part, process(&format!("i-{:010x}", number % 200)));
    }
    let stored = serde_json::to_vec(&table).unwrap();
    assert!(stored.len() < ROW_MAX_BYTES, "{} bytes", stored.len());
    assert_eq!(serde_json::from_slice::<AssignmentTable>(&stored).unwrap(), table);
    assert!(
        serde_json::from_str::<AssignmentTable>(
            r#"{"holders":[],"ranges":[[0,1,0,1]],"last_epoch":1}"#
        )
        .is_err()
    );
}

// Guards against a removal that drops or keeps the wrong keys where it overlaps several ranges.
#[rstest]
#[case("5-25", &["0-4 a", "26-29 c", "30-39 d"])]
#[case("10-19", &["0-9 a", "20-29 c", "30-39 d"])]
#[case("12-15", &["0-9 a", "10-11 b", "16-19 b", "20-29 c", "30-39 d"])]
#[case("0-39", &[])]
#[case("40-99", &["0-9 a", "10-19 b", "20-29 c", "30-39 d"])]
fn removal_trims_overlapping_ranges(#[case] removed: &str, #[case] left: &[&str]) {
    let mut table = AssignmentTable::default();
    for (text, name) in [("20-29", "c"), ("0-9", "a"), ("30-39", "d"), ("10-19", "b")] {
        table.assign(range(text), process(name));
    }
    table.remove(range(removed));
    let found: Vec<String> = table
        .iter()
        .map(|assignment| format!("{} {}", assignment.range, assignment.owner.target))
        .collect();
    assert_eq!(found, left);
}
