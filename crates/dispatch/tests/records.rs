//! Attempt records under event orders that random schedules rarely reach.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{CustomerId, Instant, Outcome, Reason, RowVersion};
use wagtailmoor_dispatch::{
    AttemptRecord, CallId, ClaimId, CleanOutput, ReadResult, RecordCleaner, RecordKeeper,
    RecordKey, RecordOutput, RecordRefusal, RecordSettings, RecordState, RecordWrite, StoredRecord,
    TimeBucket, WriteResult,
};

type Keeper = RecordKeeper<ChaCha8Rng>;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

fn keeper() -> Keeper {
    let node = "n1".parse().expect("valid id");
    RecordKeeper::new(node, RecordSettings::default(), ChaCha8Rng::seed_from_u64(1))
}

fn key(number: u64) -> RecordKey {
    let customer: CustomerId = "c1".parse().expect("valid id");
    RecordKey::of(&customer, &number.to_le_bytes())
}

fn claim(keeper: &mut Keeper, ms: u64, number: u64) -> (ClaimId, Vec<RecordOutput>) {
    keeper.claim(at_ms(ms), key(number), at_ms(ms + 1000), TimeBucket::new(1))
}

fn write(out: &[RecordOutput]) -> (CallId, Vec<RecordWrite>) {
    let found = out.iter().find_map(|output| match output {
        RecordOutput::Write { call, rows, .. } => Some((*call, rows.clone())),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("expected a write, got {out:?}"))
}

fn read(out: &[RecordOutput]) -> CallId {
    let found = out.iter().find_map(|output| match output {
        RecordOutput::Read { call, .. } => Some(*call),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("expected a read, got {out:?}"))
}

fn done(versions: &[u64]) -> WriteResult {
    WriteResult::Done { versions: versions.iter().copied().map(RowVersion::new).collect() }
}

fn row(version: u64, record: AttemptRecord) -> ReadResult {
    ReadResult::Row(StoredRecord { version: RowVersion::new(version), record })
}

fn refusals(out: &[RecordOutput]) -> usize {
    let unavailable = |output: &&RecordOutput| {
        matches!(output, RecordOutput::Refused { refusal: RecordRefusal::Unavailable, .. })
    };
    out.iter().filter(unavailable).count()
}

fn record_of_other_node(state: RecordState) -> AttemptRecord {
    let node = "n2".parse().expect("valid id");
    AttemptRecord { claim: ClaimId::new(77), node, bucket: TimeBucket::new(1), state }
}

/// Guards against more than one write per 50 ms, and more than 64 rows per write.
#[test]
fn batches_claims_under_load() {
    let mut keeper = keeper();
    let mut writes = Vec::new();
    for ms in 0..200 {
        let out = claim(&mut keeper, ms, ms).1;
        writes.extend(out.iter().any(|output| matches!(output, RecordOutput::Write { .. })).then(
            || {
                let (call, rows) = write(&out);
                keeper.on_write(at_ms(ms), call, done(&vec![1; rows.len()]));
                (ms, rows.len())
            },
        ));
    }
    assert_eq!(writes, [(0, 1), (50, 50), (100, 50), (150, 50)]);
}

/// Guards against running a request whose claim has timed out, and against a record that then stays
/// `Running` although the request was not run.
#[test]
fn marks_a_timed_out_claim_not_run_if_its_write_took_effect() {
    let mut keeper = keeper();
    let (call, _) = write(&claim(&mut keeper, 0, 1).1);
    let out = keeper.tick(at_ms(200));
    assert_eq!(refusals(&out), 1, "{out:?}");
    let (call, rows) = write(&keeper.on_write(at_ms(300), call, done(&[1])));
    let written_state = rows[0].record.as_ref().map(|record| record.state);
    assert_eq!(written_state, Some(RecordState::NotRun { reason: Reason::RecordUnavailable }));
    assert_eq!(rows[0].expected, RowVersion::new(1));
    assert!(keeper.on_write(at_ms(310), call, done(&[2])).is_empty());
    assert_eq!(keeper.unsettled(), 0);
}

/// Guards against a new claim that is always refused, because the write of an earlier claim of this
/// node took effect late and the result of the write over it was lost.
#[test]
fn replaces_an_abandoned_claim_of_the_same_node() {
    let mut keeper = keeper();
    let (call, rows) = write(&claim(&mut keeper, 0, 1).1);
    let first = rows[0].record.clone().expect("a claim writes a record");
    keeper.tick(at_ms(200));
    let (second, out) = claim(&mut keeper, 210, 1);
    assert!(out.is_empty(), "the first write is still in flight: {out:?}");
    let (call, rows) = write(&keeper.on_write(at_ms(220), call, done(&[1])));
    assert_eq!(rows[0].record.as_ref().map(|record| record.claim), Some(second));
    let call = read(&keeper.on_write(at_ms(230), call, WriteResult::Unknown));
    let out = keeper.on_read(at_ms(240), call, row(1, first));
    let out = if out.is_empty() { keeper.tick(at_ms(290)) } else { out };
    let (call, rows) = write(&out);
    assert_eq!(rows[0].expected, RowVersion::new(1));
    let out = keeper.on_write(at_ms(300), call, done(&[2]));
    assert_eq!(out, [RecordOutput::Claimed { claim: second, key: key(1) }]);
}

/// Guards against applying a call result to a later entry with the same key.
#[test]
fn ignores_call_results_of_abandoned_entries() {
    let mut keeper = keeper();
    let (call, _) = write(&claim(&mut keeper, 0, 1).1);
    let stale_call = read(&keeper.on_write(at_ms(5), call, WriteResult::Conflict { key: key(1) }));
    assert_eq!(refusals(&keeper.tick(at_ms(200))), 1);
    assert!(keeper.is_empty());
    let (second, out) = claim(&mut keeper, 300, 1);
    let (call, _) = write(&out);
    let answered = record_of_other_node(RecordState::Answered { status: 200 });
    assert!(keeper.on_read(at_ms(301), stale_call, row(3, answered)).is_empty());
    let out = keeper.on_write(at_ms(302), call, done(&[1]));
    assert_eq!(out, [RecordOutput::Claimed { claim: second, key: key(1) }]);
}

/// Guards against clients that wait while the table is down, and against a table that is not used
/// after it has recovered.
#[test]
fn refuses_at_once_during_an_outage_and_recovers() {
    let mut keeper = keeper();
    let (call, rows) = write(&claim(&mut keeper, 0, 1).1);
    let call = read(&keeper.on_write(at_ms(10), call, WriteResult::Unknown));
    claim(&mut keeper, 12, 2);
    let out = keeper.on_read(at_ms(20), call, ReadResult::Unavailable);
    assert_eq!(refusals(&out), 1, "the claim that was not sent is refused: {out:?}");
    assert_eq!(refusals(&claim(&mut keeper, 30, 3).1), 1);
    assert_eq!(refusals(&keeper.tick(at_ms(200))), 1, "the claim that was sent is refused");
    let call = read(&keeper.tick(at_ms(270)));
    let own_record = rows[0].record.clone().expect("a claim writes a record");
    let (call, _) = write(&keeper.on_read(at_ms(280), call, row(1, own_record)));
    keeper.on_write(at_ms(290), call, done(&[2]));
    assert_eq!(keeper.unsettled(), 0);
    let out = claim(&mut keeper, 340, 3).1;
    assert_eq!(write(&out).1.len(), 1);
}

/// Guards against a duplicate request that does not get the recorded outcome, or that delays the
/// other rows of its write.
#[test]
fn returns_the_recorded_outcome_to_a_duplicate() {
    let mut keeper = keeper();
    let (call, _) = write(&claim(&mut keeper, 0, 1).1);
    keeper.on_write(at_ms(5), call, done(&[1]));
    let (duplicate, _) = claim(&mut keeper, 6, 2);
    let (new_claim, _) = claim(&mut keeper, 7, 3);
    let (call, rows) = write(&keeper.tick(at_ms(50)));
    assert_eq!(rows.len(), 2);
    let out = keeper.on_write(at_ms(55), call, WriteResult::Conflict { key: key(2) });
    let (read_call, (write_call, rows)) = (read(&out), write(&out));
    assert_eq!((rows.len(), &rows[0].key), (1, &key(3)));
    let answered = record_of_other_node(RecordState::Answered { status: 201 });
    let out = keeper.on_read(at_ms(57), read_call, row(4, answered));
    let refusal =
        RecordRefusal::Duplicate { outcome: Outcome::Answered, status: Some(201), reason: None };
    assert_eq!(out, [RecordOutput::Refused { claim: duplicate, refusal: refusal.clone() }]);
    let out = keeper.on_write(at_ms(58), write_call, done(&[1]));
    assert_eq!(out, [RecordOutput::Claimed { claim: new_claim, key: key(3) }]);
    let (second_duplicate, out) = claim(&mut keeper, 60, 2);
    assert_eq!(
        out,
        [RecordOutput::Refused { claim: second_duplicate, refusal }],
        "answered from memory"
    );
}

/// Guards against deleting records within the retention time, and against a sweep that stops at a
/// record that has changed.
#[test]
fn deletes_records_by_time_bucket() {
    let mut cleaner = RecordCleaner::new(&RecordSettings::default());
    let now = TimeBucket::new(100);
    let stored = |bucket| {
        let mut record = record_of_other_node(RecordState::Running);
        record.bucket = TimeBucket::new(bucket);
        StoredRecord { version: RowVersion::new(9), record }
    };
    let first = CleanOutput::ReadPage { after: None, limit: 1000 };
    assert_eq!(cleaner.next(now), Some(first));
    let page = [(key(1), stored(75)), (key(2), stored(76)), (key(3), stored(10))];
    cleaner.on_page(page.to_vec());
    let deleted = |cleaner: &mut RecordCleaner| match cleaner.next(now) {
        Some(CleanOutput::Delete { rows }) => rows.into_iter().map(|row| row.key).collect(),
        _ => Vec::new(),
    };
    assert_eq!(deleted(&mut cleaner), [key(1), key(3)]);
    cleaner.on_delete(Err(key(1)));
    assert_eq!(deleted(&mut cleaner), [key(3)]);
    cleaner.on_delete(Ok(()));
    assert_eq!(cleaner.next(now), None);
    assert_eq!(cleaner.next(now), None, "one sweep per bucket");
    assert!(cleaner.next(TimeBucket::new(101)).is_some());
}
