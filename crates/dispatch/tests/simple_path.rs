//! Requests and claims without failures.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{CustomerId, Instant, Outcome, Reason, Requests, RowVersion, TargetId};
use wagtailmoor_dispatch::{
    AttemptId, ChoiceRequest, Ending, Member, MemberState, PlanInput, PlanOutput, PlanRequest,
    PlanSettings, PowerOfTwo, ReadResult, RecordKeeper, RecordKey, RecordOutput, RecordRefusal,
    RecordSettings, RecordState, RequestPlan, ResponseHead, RetryBudget, TargetSettings,
    TargetTable, TimeBucket, WriteResult,
};

struct NoRetries;

impl RetryBudget for NoRetries {
    fn earn(&mut self, _now: Instant) {}

    fn spend(&mut self, _now: Instant) -> bool {
        false
    }
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(ms * 1000)
}

fn table() -> TargetTable {
    let zone: wagtailmoor_core::ZoneId = "z1".parse().expect("valid id");
    let member = |id: &str| Member {
        target: id.parse().expect("valid id"),
        zone: zone.clone(),
        slots: Requests::new(2),
        state: MemberState::Live,
    };
    let mut table = TargetTable::new(zone.clone(), TargetSettings::default());
    table.set_members(at_ms(0), vec![member("t1"), member("t2")]);
    table
}

/// Guards against an answer that is not forwarded, and a guard that is not released when it ends.
#[test]
fn answered_request_releases_its_guard() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut table = table();
    let request = PlanRequest {
        id: AttemptId::new(0x500),
        idempotent: true,
        replayable: true,
        deadline: at_ms(100),
        hedge_after: None,
    };
    let mut plan = RequestPlan::new(PlanSettings::default(), request);
    let out = plan.start(at_ms(1), &mut NoRetries);
    let attempt = AttemptId::new(0x500);
    assert!(out.contains(&PlanOutput::Choose { attempt }), "{out:?}");

    let choice_request = ChoiceRequest { idempotent: true, avoid: &[] };
    let mut permits = |_: Instant, _: &TargetId| Some(());
    let chosen = table
        .choose(at_ms(1), choice_request, &mut PowerOfTwo, &mut permits, &mut random)
        .expect("a target is free");
    let target = chosen.target.clone();
    assert_eq!(table.in_flight(&target), Requests::new(1));

    let assigned = PlanInput::Assigned {
        attempt,
        target: target.clone(),
        guard: chosen.in_flight,
        send_before: None,
    };
    plan.handle(at_ms(1), assigned, &mut NoRetries);
    let out = plan.handle(at_ms(2), PlanInput::Connected { attempt }, &mut NoRetries);
    assert_eq!(out, [PlanOutput::Send { attempt }]);
    plan.handle(at_ms(2), PlanInput::BytesSent { attempt }, &mut NoRetries);
    let head = ResponseHead { status: 200, not_run: false, retry_after: None, cold: false };
    let out = plan.handle(at_ms(5), PlanInput::Head { attempt, head }, &mut NoRetries);
    assert!(out.contains(&PlanOutput::Answer { attempt }), "{out:?}");
    let out = plan.handle(at_ms(6), PlanInput::BodyEnded { attempt }, &mut NoRetries);
    match out.as_slice() {
        [PlanOutput::Finish(verdict)] => {
            assert_eq!((verdict.outcome, verdict.ending), (Outcome::Answered, Ending::Answered));
        }
        _ => panic!("expected the end of the request, got {out:?}"),
    }
    assert_eq!(table.in_flight(&target), Requests::new(0));
}

/// Guards against a request that runs twice, and one that is still refused after the request of the
/// first claim was not run.
#[test]
fn claims_once_unless_the_request_was_not_run() {
    let customer: CustomerId = "c1".parse().expect("valid id");
    let key = RecordKey::of(&customer, b"order 1");
    let node = "n1".parse().expect("valid id");
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut keeper = RecordKeeper::new(node, RecordSettings::default(), random);
    let bucket = TimeBucket::new(1);

    let (first, out) = keeper.claim(at_ms(1000), key.clone(), at_ms(2000), bucket);
    let [RecordOutput::Write { call, rows, .. }] = out.as_slice() else {
        panic!("an idle keeper writes at once, got {out:?}");
    };
    assert_eq!((rows.len(), rows[0].expected), (1, RowVersion::new(0)));
    let done = WriteResult::Done { versions: vec![RowVersion::new(7)] };
    let out = keeper.on_write(at_ms(1005), *call, done);
    assert_eq!(out, [RecordOutput::Claimed { claim: first, key: key.clone() }]);

    let (second, out) = keeper.claim(at_ms(1010), key.clone(), at_ms(2000), bucket);
    let running =
        RecordRefusal::Duplicate { outcome: Outcome::Unknown, status: None, reason: None };
    assert_eq!(out, [RecordOutput::Refused { claim: second, refusal: running }]);

    let state = RecordState::NotRun { reason: Reason::TargetUnavailable };
    keeper.finish(at_ms(1020), &key, first, state);
    let (third, out) = keeper.claim(at_ms(1060), key.clone(), at_ms(2000), bucket);
    let [RecordOutput::Write { call, rows, .. }] = out.as_slice() else {
        panic!("the record is taken over, got {out:?}");
    };
    assert_eq!(rows[0].expected, RowVersion::new(7));
    let done = WriteResult::Done { versions: vec![RowVersion::new(8)] };
    let out = keeper.on_write(at_ms(1065), *call, done);
    assert_eq!(out, [RecordOutput::Claimed { claim: third, key }]);
    assert!(keeper.on_read(at_ms(1070), *call, ReadResult::Absent).is_empty());
}
