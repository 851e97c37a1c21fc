//! Request plans: each way in which a request can end, retries and hedging.

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{Instant, Outcome, Reason, TargetId};
use wagtailmoor_dispatch::{
    AttemptId, AttemptState, BodyTimeout, Ending, Observation, PlanInput, PlanOutput, PlanRequest,
    PlanSettings, RequestPlan, ResponseHead, RetryBudget, Verdict,
};

const FIRST: AttemptId = AttemptId::new(0x100);
const SECOND: AttemptId = AttemptId::new(0x101);
const OK: ResponseHead =
    ResponseHead { status: 200, not_run: false, retry_after: None, cold: false };
const REFUSAL: ResponseHead = ResponseHead { status: 503, not_run: true, ..OK };
const MISDIRECTED: ResponseHead = ResponseHead { status: 421, not_run: true, ..OK };

struct Tokens(u32);

impl RetryBudget for Tokens {
    fn earn(&mut self, _now: Instant) {}

    fn spend(&mut self, _now: Instant) -> bool {
        let has_token = self.0 > 0;
        self.0 -= u32::from(has_token);
        has_token
    }
}

struct Fixture {
    plan: RequestPlan<Rc<()>>,
    budget: Tokens,
    guard: Rc<()>,
    out: Vec<PlanOutput>,
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().expect("valid id")
}

impl Fixture {
    fn new(idempotent: bool, tokens: u32, settings: PlanSettings) -> Self {
        Self::with_body(idempotent, true, tokens, settings)
    }

    fn with_body(idempotent: bool, replayable: bool, tokens: u32, settings: PlanSettings) -> Self {
        let request = PlanRequest {
            id: FIRST,
            idempotent,
            replayable,
            deadline: at_ms(100),
            hedge_after: Some(Duration::from_millis(20)),
        };
        let plan = RequestPlan::new(settings, request);
        let mut fixture =
            Self { plan, budget: Tokens(tokens), guard: Rc::new(()), out: Vec::new() };
        fixture.out = fixture.plan.start(at_ms(0), &mut fixture.budget);
        fixture
    }

    fn on(&mut self, ms: u64, input: PlanInput<Rc<()>>) -> &mut Self {
        self.out.extend(self.plan.handle(at_ms(ms), input, &mut self.budget));
        self
    }

    fn assign(&mut self, ms: u64, attempt: AttemptId, number: u32) -> &mut Self {
        let (target, guard) = (target(number), Rc::clone(&self.guard));
        self.on(ms, PlanInput::Assigned { attempt, target, guard, send_before: None })
    }

    fn send(&mut self, ms: u64, attempt: AttemptId, number: u32) -> &mut Self {
        self.assign(ms, attempt, number)
            .on(ms, PlanInput::Connected { attempt })
            .on(ms, PlanInput::BytesSent { attempt })
    }

    fn verdict(&self) -> Option<&Verdict> {
        match self.out.last() {
            Some(PlanOutput::Finish(verdict)) => Some(verdict),
            _ => None,
        }
    }

    fn has(&self, output: &PlanOutput) -> bool {
        self.out.contains(output)
    }
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Nothing,
    Connecting,
    Bytes,
    Head,
}

// Guards against another attempt of a request whose body is forwarded as it arrives and was taken by
// the first attempt: the front end has nothing left to send.
#[rstest]
#[case::refused(PlanInput::Head { attempt: FIRST, head: REFUSAL }, false)]
#[case::misdirected(PlanInput::Head { attempt: FIRST, head: MISDIRECTED }, false)]
#[case::unsent(PlanInput::Unsent { attempt: FIRST }, true)]
fn a_body_that_was_taken_is_not_sent_again(
    #[case] input: PlanInput<Rc<()>>,
    #[case] retried: bool,
    #[values(false, true)] idempotent: bool,
) {
    let settings = PlanSettings {
        trusts_refusals: true,
        trusts_misdirected: true,
        retries_refused: true,
        ..PlanSettings::default()
    };
    let mut fixture = Fixture::with_body(idempotent, false, 5, settings);
    fixture.send(0, FIRST, 1).on(5, input);
    assert_eq!(fixture.has(&PlanOutput::Choose { attempt: SECOND }), retried);
    let outcome = fixture.verdict().map(|verdict| verdict.outcome);
    assert_eq!(outcome, (!retried).then_some(Outcome::NotRun));
}

/// Guards against an outcome that is more certain than the events allow, and against another
/// attempt after bytes of a non-idempotent request were sent.
#[rstest]
#[case(Stage::Nothing, 1, PlanInput::NoTarget { attempt: FIRST, reason: Reason::TargetUnavailable },
    Outcome::NotRun, Some(Reason::TargetUnavailable), Ending::NoTarget)]
#[case(
    Stage::Nothing,
    100,
    PlanInput::Timer,
    Outcome::NotRun,
    Some(Reason::DeadlineExceeded),
    Ending::DeadlineExceeded
)]
#[case(
    Stage::Nothing,
    1,
    PlanInput::ClientGone,
    Outcome::NotRun,
    Some(Reason::ClientTooSlow),
    Ending::ClientGone
)]
#[case(Stage::Connecting, 100, PlanInput::Connected { attempt: FIRST },
    Outcome::NotRun, Some(Reason::DeadlineExceeded), Ending::DeadlineExceeded)]
#[case(
    Stage::Connecting,
    1,
    PlanInput::ClientStalled,
    Outcome::NotRun,
    Some(Reason::ClientTooSlow),
    Ending::ClientStalled
)]
#[case(Stage::Connecting, 1, PlanInput::NoTarget { attempt: FIRST, reason: Reason::CrashesTargets },
    Outcome::NotRun, Some(Reason::CrashesTargets), Ending::NoTarget)]
#[case(Stage::Bytes, 1, PlanInput::Lost { attempt: FIRST },
    Outcome::Unknown, Some(Reason::TargetLost), Ending::TargetLost)]
#[case(
    Stage::Bytes,
    100,
    PlanInput::Timer,
    Outcome::Unknown,
    Some(Reason::DeadlineExceeded),
    Ending::DeadlineExceeded
)]
#[case(
    Stage::Bytes,
    1,
    PlanInput::ClientGone,
    Outcome::Unknown,
    Some(Reason::ClientTooSlow),
    Ending::ClientGone
)]
#[case(
    Stage::Bytes,
    1,
    PlanInput::ClientStalled,
    Outcome::Unknown,
    Some(Reason::ClientTooSlow),
    Ending::ClientStalled
)]
#[case(Stage::Bytes, 1, PlanInput::Head { attempt: FIRST, head: REFUSAL },
    Outcome::NotRun, Some(Reason::TargetRefused), Ending::Refused)]
#[case(Stage::Bytes, 1, PlanInput::Head { attempt: FIRST, head: MISDIRECTED },
    Outcome::NotRun, Some(Reason::OwnerMoving), Ending::Refused)]
#[case(Stage::Head, 1, PlanInput::Lost { attempt: FIRST },
    Outcome::Unknown, Some(Reason::TargetLost), Ending::Truncated)]
#[case(
    Stage::Head,
    100,
    PlanInput::Timer,
    Outcome::Unknown,
    Some(Reason::DeadlineExceeded),
    Ending::DeadlineExceeded
)]
#[case(Stage::Head, 1, PlanInput::BodyEnded { attempt: FIRST },
    Outcome::Answered, None, Ending::Answered)]
fn reports_outcome_and_ending(
    #[case] stage: Stage,
    #[case] ms: u64,
    #[case] input: PlanInput<Rc<()>>,
    #[case] outcome: Outcome,
    #[case] reason: Option<Reason>,
    #[case] ending: Ending,
) {
    let settings =
        PlanSettings { trusts_refusals: true, trusts_misdirected: true, ..PlanSettings::default() };
    let mut fixture = Fixture::new(false, 9, settings);
    match stage {
        Stage::Nothing => {}
        Stage::Connecting => drop(fixture.assign(0, FIRST, 1)),
        Stage::Bytes => drop(fixture.send(0, FIRST, 1)),
        Stage::Head => {
            fixture.send(0, FIRST, 1).on(1, PlanInput::Head { attempt: FIRST, head: OK });
        }
    }
    fixture.on(ms, input);
    let verdict = fixture.verdict().expect("the request is over");
    assert_eq!((verdict.outcome, verdict.reason, verdict.ending), (outcome, reason, ending));
    let cut = matches!(stage, Stage::Head) && outcome != Outcome::Answered;
    assert_eq!(verdict.is_response_incomplete(), cut);
    assert_eq!((fixture.plan.attempts(), Rc::strong_count(&fixture.guard)), (1, 1));
}

/// Guards against a not-run response that is trusted although the settings do not allow it.
#[rstest]
#[case(REFUSAL)]
#[case(MISDIRECTED)]
fn forwards_refusals_of_untrusted_targets(#[case] head: ResponseHead) {
    let mut fixture = Fixture::new(true, 9, PlanSettings::default());
    fixture.send(0, FIRST, 1).on(1, PlanInput::Head { attempt: FIRST, head });
    assert!(fixture.has(&PlanOutput::Answer { attempt: FIRST }), "{:?}", fixture.out);
}

/// Guards against a retry without budget, and against a not-run outcome when the first attempt was
/// lost and a later one was not run.
#[rstest]
#[case(0, Reason::TargetUnavailable, Reason::TargetLost)]
#[case(1, Reason::TargetUnavailable, Reason::TargetLost)]
#[case(1, Reason::CrashesTargets, Reason::CrashesTargets)]
fn retries_within_budget(#[case] tokens: u32, #[case] refusal: Reason, #[case] reported: Reason) {
    let mut fixture = Fixture::new(true, tokens, PlanSettings::default());
    fixture.send(0, FIRST, 1).on(1, PlanInput::Lost { attempt: FIRST });
    assert_eq!(fixture.has(&PlanOutput::Choose { attempt: SECOND }), tokens > 0);
    fixture.on(1, PlanInput::NoTarget { attempt: SECOND, reason: refusal });
    let verdict = fixture.verdict().expect("the request is over");
    assert_eq!((verdict.outcome, verdict.reason), (Outcome::Unknown, Some(reported)));
}

/// Guards against accepting a stale response on a pooled connection as the answer.
#[test]
fn drops_a_connection_that_responds_before_the_request() {
    let mut fixture = Fixture::new(false, 1, PlanSettings::default());
    fixture.assign(0, FIRST, 1).on(1, PlanInput::Head { attempt: FIRST, head: OK });
    assert!(fixture.has(&PlanOutput::Cancel { attempt: FIRST }), "{:?}", fixture.out);
    assert!(!fixture.has(&PlanOutput::Answer { attempt: FIRST }));
    assert!(fixture.has(&PlanOutput::Choose { attempt: SECOND }), "nothing was sent");
}

/// Guards against a request that is sent after the lease of its route ended.
#[test]
fn does_not_send_after_the_route_lease() {
    let mut fixture = Fixture::new(false, 0, PlanSettings::default());
    let (target, guard) = (target(1), Rc::clone(&fixture.guard));
    let send_before = Some(at_ms(5));
    fixture.on(0, PlanInput::Assigned { attempt: FIRST, target, guard, send_before });
    fixture.on(5, PlanInput::Connected { attempt: FIRST });
    assert!(!fixture.has(&PlanOutput::Send { attempt: FIRST }));
    let verdict = fixture.verdict().expect("the request is over");
    assert_eq!((verdict.outcome, verdict.reason), (Outcome::NotRun, Some(Reason::OwnerMoving)));
}

/// Guards against a losing attempt that is not cancelled, stays counted as in flight, or answers.
#[test]
fn hedges_once_and_cancels_the_loser() {
    let mut fixture = Fixture::new(true, 9, PlanSettings::default());
    fixture.send(0, FIRST, 1).on(19, PlanInput::Timer);
    assert_eq!(fixture.plan.attempts(), 1);
    fixture.on(20, PlanInput::Timer).on(21, PlanInput::Timer);
    assert_eq!(fixture.plan.attempts(), 2);
    fixture.send(21, SECOND, 2).on(25, PlanInput::Head { attempt: SECOND, head: OK });
    let observation = Observation::Cancelled { elapsed: Duration::from_millis(25) };
    assert!(fixture.has(&PlanOutput::Cancel { attempt: FIRST }));
    assert!(fixture.has(&PlanOutput::Observe { target: target(1), observation }));
    assert_eq!(Rc::strong_count(&fixture.guard), 2, "one attempt is in flight");
    let before = fixture.out.len();
    fixture.on(26, PlanInput::Head { attempt: FIRST, head: OK });
    fixture
        .on(26, PlanInput::BodyEnded { attempt: FIRST })
        .on(26, PlanInput::Lost { attempt: FIRST });
    assert_eq!(fixture.out.len(), before, "events of an attempt that is over have no effect");
    assert_eq!(fixture.plan.attempt_state(FIRST), Some(AttemptState::Done));
    fixture.on(27, PlanInput::BodyEnded { attempt: SECOND });
    assert_eq!(fixture.verdict().map(|verdict| verdict.outcome), Some(Outcome::Answered));
}

/// Guards against resending a request whose body is no longer fully buffered.
#[test]
fn does_not_resend_a_body_that_is_not_buffered() {
    let mut fixture = Fixture::new(true, 9, PlanSettings::default());
    fixture.send(0, FIRST, 1).on(5, PlanInput::BodyNotReplayable).on(20, PlanInput::Timer);
    assert_eq!(fixture.plan.attempts(), 1);
    fixture.on(21, PlanInput::Lost { attempt: FIRST });
    assert_eq!(fixture.verdict().map(|verdict| verdict.outcome), Some(Outcome::Unknown));
}

/// Guards against a response body that stalls without a timeout, and one that is cut off at the
/// request's deadline although it makes progress.
#[test]
fn limits_the_time_without_body_progress() {
    let body_timeout = BodyTimeout::Stall(Duration::from_millis(80));
    let mut fixture =
        Fixture::new(true, 0, PlanSettings { body_timeout, ..PlanSettings::default() });
    fixture.send(0, FIRST, 1).on(5, PlanInput::Head { attempt: FIRST, head: OK });
    fixture.on(85, PlanInput::BodyProgress { attempt: FIRST }).on(100, PlanInput::Timer);
    assert!(fixture.verdict().is_none(), "{:?}", fixture.out);
    assert!(fixture.has(&PlanOutput::SetTimer { at: at_ms(165) }));
    fixture.on(165, PlanInput::Timer);
    let verdict = fixture.verdict().expect("the request is over");
    assert_eq!((verdict.outcome, verdict.ending), (Outcome::Unknown, Ending::BodyStalled));
}
