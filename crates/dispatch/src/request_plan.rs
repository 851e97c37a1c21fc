//! The state machine of one request over its attempts.

use wagtailmoor_core::{Instant, Outcome, Reason, TargetId};

use crate::attempts::Attempts;
use crate::failure::Failure;
use crate::{
    AttemptId, AttemptState, BodyBound, Ending, Observation, PlanInput, PlanOutput, PlanRequest,
    PlanSettings, ResponseHead, RetryBudget, Verdict,
};

const MISDIRECTED: u16 = 421;
const SERVICE_UNAVAILABLE: u16 = 503;
const TOO_MANY_REQUESTS: u16 = 429;

/// The state machine of one request over its attempts.
///
/// `G` is the guard that counts an attempt at its target; it is dropped as soon as the attempt is
/// over. Inputs for attempts that are over, or that belong to other requests, have no effect.
#[derive(Debug)]
pub struct RequestPlan<G> {
    settings: PlanSettings,
    request: PlanRequest,
    attempts: Attempts<G>,
    may_have_run: bool,
    head: Option<ResponseHead>,
    hedge_at: Option<Instant>,
    body_end: Option<Instant>,
    ended: bool,
}

impl<G> RequestPlan<G> {
    /// Creates the plan of a request; nothing happens before `start`.
    pub fn new(settings: PlanSettings, request: PlanRequest) -> Self {
        Self {
            settings,
            request,
            attempts: Attempts::new(),
            may_have_run: false,
            head: None,
            hedge_at: None,
            body_end: None,
            ended: false,
        }
    }

    /// Starts the first attempt.
    pub fn start<B: RetryBudget>(&mut self, now: Instant, budget: &mut B) -> Vec<PlanOutput> {
        let mut out = Vec::new();
        if now >= self.request.deadline {
            self.deadline_passed(now, &mut out);
            return out;
        }
        budget.earn(now);
        out.push(PlanOutput::SetTimer { at: self.request.deadline });
        self.choose(&mut out);
        out
    }

    /// Takes what happened and returns what to do.
    pub fn on<B: RetryBudget>(
        &mut self,
        now: Instant,
        input: PlanInput<G>,
        budget: &mut B,
    ) -> Vec<PlanOutput> {
        let mut out = Vec::new();
        if self.ended {
            return out;
        }
        match input {
            PlanInput::Assigned { attempt, target, guard, send_before } => {
                self.assigned(now, attempt, target, guard, send_before, &mut out);
            }
            PlanInput::NoTarget { attempt, reason } => self.no_target(attempt, reason, &mut out),
            PlanInput::Connected { attempt } => self.connected(now, attempt, budget, &mut out),
            PlanInput::BytesSent { attempt } => self.bytes_sent(attempt),
            PlanInput::Unsent { attempt } => {
                self.unsent(attempt);
                self.lost(now, attempt, budget, &mut out);
            }
            PlanInput::Lost { attempt } => self.lost(now, attempt, budget, &mut out),
            PlanInput::Head { attempt, head } => {
                self.head_arrived(now, attempt, head, budget, &mut out);
            }
            PlanInput::BodyProgress { attempt } => self.progressed(now, attempt, &mut out),
            PlanInput::BodyEnded { attempt } => self.body_ended(attempt, &mut out),
            PlanInput::BodyNotKept => self.request.replayable = false,
            PlanInput::ClientGone => self.client_failed(now, Ending::ClientGone, &mut out),
            PlanInput::ClientStalled => self.client_failed(now, Ending::ClientStalled, &mut out),
            PlanInput::Timer => self.timer(now, budget, &mut out),
        }
        out
    }

    /// Returns the targets tried so far, which further attempts avoid.
    pub fn tried(&self) -> Vec<TargetId> {
        self.attempts.targets().cloned().collect()
    }

    /// Returns the state of an attempt of this request.
    pub fn attempt_state(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.attempts.get(attempt).map(|known| known.state)
    }

    /// Returns the number of attempts started so far.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    fn choose(&mut self, out: &mut Vec<PlanOutput>) {
        let attempt = self.attempts.start(self.request.id);
        out.push(PlanOutput::Choose { attempt });
    }

    fn assigned(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        target: TargetId,
        guard: G,
        send_before: Option<Instant>,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(found) = self.attempts.find(attempt, &[AttemptState::Queued]) else { return };
        found.assign(now, target.clone(), guard, send_before);
        if now >= self.request.deadline {
            return self.deadline_passed(now, out);
        }
        out.push(PlanOutput::Connect { attempt, target });
        let first = self.attempts.len() == 1;
        if let (true, true, Some(wait)) = (first, self.may_repeat(), self.request.hedge_after) {
            self.hedge_at = Some(now + wait);
            out.push(PlanOutput::SetTimer { at: now + wait });
        }
    }

    fn no_target(&mut self, attempt: AttemptId, reason: Reason, out: &mut Vec<PlanOutput>) {
        let unsent = [AttemptState::Queued, AttemptState::Sent];
        let Some(found) = self.attempts.find(attempt, &unsent) else { return };
        if found.state == AttemptState::Sent {
            out.push(PlanOutput::Cancel { attempt });
        }
        found.end();
        self.give_up(Failure::new(reason, Ending::NoTarget), out);
    }

    fn connected<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(found) = self.attempts.find(attempt, &[AttemptState::Sent]) else { return };
        if now >= self.request.deadline {
            self.deadline_passed(now, out);
        } else if found.may_send(now) {
            out.push(PlanOutput::Send { attempt });
        } else {
            out.push(PlanOutput::Cancel { attempt });
            found.end();
            self.again(now, Failure::new(Reason::OwnerMoving, Ending::NoTarget), budget, out);
        }
    }

    fn bytes_sent(&mut self, attempt: AttemptId) {
        if let Some(found) = self.attempts.find(attempt, &[AttemptState::Sent]) {
            found.state = AttemptState::BytesSent;
        }
    }

    fn unsent(&mut self, attempt: AttemptId) {
        if let Some(found) = self.attempts.find(attempt, &[AttemptState::BytesSent]) {
            found.state = AttemptState::Sent;
        }
    }

    fn lost<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let sent = [AttemptState::Sent, AttemptState::BytesSent, AttemptState::HeadReceived];
        let Some(found) = self.attempts.find(attempt, &sent) else { return };
        let (state, sent_at) = (found.state, found.sent_at);
        let target = found.target.clone();
        found.end();
        match state {
            AttemptState::Sent => {
                let seen = Observation::ConnectFailed;
                out.extend(target.map(|target| PlanOutput::Observe { target, seen }));
                let failure = Failure::new(self.settings.unreachable, Ending::NoTarget);
                self.again(now, failure, budget, out);
            }
            AttemptState::BytesSent => {
                self.may_have_run = true;
                out.extend(target.map(|target| PlanOutput::Lost { target, sent_at }));
                let failure = Failure::new(Reason::TargetLost, Ending::TargetLost);
                self.again(now, failure, budget, out);
            }
            AttemptState::HeadReceived => {
                let failure = Failure::new(Reason::TargetLost, Ending::Truncated);
                self.fail(Outcome::Unknown, failure, out);
            }
            AttemptState::Queued | AttemptState::Done => {}
        }
    }

    fn head_arrived<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        if self.attempts.find(attempt, &[AttemptState::Sent]).is_some() {
            // A response before the request was sent belongs to an earlier request of the
            // connection.
            out.push(PlanOutput::Cancel { attempt });
            return self.lost(now, attempt, budget, out);
        }
        match self.believes_not_run(head) {
            true => self.refused(now, attempt, head, budget, out),
            false => self.answered(now, attempt, head, out),
        }
    }

    fn believes_not_run(&self, head: ResponseHead) -> bool {
        match head.status {
            SERVICE_UNAVAILABLE | TOO_MANY_REQUESTS => {
                head.not_run && self.settings.trusts_refusals
            }
            MISDIRECTED => head.not_run && self.settings.trusts_misdirected,
            _ => false,
        }
    }

    fn refused<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(found) = self.attempts.find(attempt, &[AttemptState::BytesSent]) else { return };
        let seen = match head.status {
            MISDIRECTED => Observation::Misdirected,
            _ => Observation::Refused { retry_after: head.retry_after },
        };
        let target = found.target.clone();
        out.extend(target.map(|target| PlanOutput::Observe { target, seen }));
        found.end();
        let reason = match head.status {
            MISDIRECTED => Reason::OwnerMoving,
            _ => Reason::TargetRefused,
        };
        let retry_after = head.retry_after;
        let failure = Failure { reason, ending: Ending::Refused, retry_after };
        match self.may_repeat() || self.settings.repeats_refused {
            true => self.again(now, failure, budget, out),
            false => self.give_up(failure, out),
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(found) = self.attempts.find(attempt, &[AttemptState::BytesSent]) else { return };
        found.state = AttemptState::HeadReceived;
        let seen = Observation::Answered { waited: found.waited(now), cold: head.cold };
        let target = found.target.clone();
        self.head = Some(head);
        self.hedge_at = None;
        self.may_have_run |= self.attempts.cancel_all_but(now, Some(attempt), out);
        out.extend(target.map(|target| PlanOutput::Observe { target, seen }));
        out.push(PlanOutput::Answer { attempt });
        self.progressed(now, attempt, out);
    }

    fn body_ended(&mut self, attempt: AttemptId, out: &mut Vec<PlanOutput>) {
        if self.attempts.find(attempt, &[AttemptState::HeadReceived]).is_some() {
            self.end(Verdict::answered(self.head.map(|head| head.status)), out);
        }
    }

    fn progressed(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<PlanOutput>) {
        let streaming = self.attempts.find(attempt, &[AttemptState::HeadReceived]).is_some();
        match self.settings.body {
            BodyBound::Stall(pause) if streaming => {
                if self.body_end.is_none() {
                    out.push(PlanOutput::SetTimer { at: now + pause });
                }
                self.body_end = Some(now + pause);
            }
            _ => {}
        }
    }

    /// Starts a further attempt if that is safe and pays, else ends the request.
    fn again<B: RetryBudget>(
        &mut self,
        now: Instant,
        failure: Failure,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        if self.attempts.is_any_live() {
            return;
        }
        let safe = self.may_repeat() || !self.may_have_run;
        match safe && self.is_worth_another(now) && budget.spend(now) {
            true => self.choose(out),
            false => self.give_up(failure, out),
        }
    }

    fn is_worth_another(&self, now: Instant) -> bool {
        self.attempts.len() < usize::from(self.settings.attempts_max)
            && now + self.settings.time_left_min < self.request.deadline
    }

    fn may_repeat(&self) -> bool {
        self.request.idempotent && self.request.replayable
    }

    /// Ends the request unless another attempt is live.
    fn give_up(&mut self, failure: Failure, out: &mut Vec<PlanOutput>) {
        match self.attempts.is_any_live() {
            true => {}
            false if self.may_have_run => self.fail(Outcome::Unknown, failure.after_loss(), out),
            false => self.fail(Outcome::NotRun, failure, out),
        }
    }

    fn timer<B: RetryBudget>(&mut self, now: Instant, budget: &mut B, out: &mut Vec<PlanOutput>) {
        match (self.head, self.settings.body, self.body_end) {
            (Some(_), BodyBound::Stall(_), Some(end)) if now >= end => {
                self.stop(now, Failure::new(Reason::DeadlineExceeded, Ending::BodyStalled), out);
            }
            (Some(_), BodyBound::Stall(_), Some(end)) => out.push(PlanOutput::SetTimer { at: end }),
            _ if now >= self.request.deadline => self.deadline_passed(now, out),
            _ if self.hedge_at.is_some_and(|at| now >= at) => self.hedge(now, budget, out),
            _ => {}
        }
    }

    fn hedge<B: RetryBudget>(&mut self, now: Instant, budget: &mut B, out: &mut Vec<PlanOutput>) {
        self.hedge_at = None;
        let pays = self.attempts.is_any_waiting() && self.is_worth_another(now);
        if pays && self.may_repeat() && budget.spend(now) {
            self.choose(out);
        }
    }

    fn deadline_passed(&mut self, now: Instant, out: &mut Vec<PlanOutput>) {
        self.stop(now, Failure::new(Reason::DeadlineExceeded, Ending::DeadlineExceeded), out);
    }

    fn client_failed(&mut self, now: Instant, ending: Ending, out: &mut Vec<PlanOutput>) {
        self.stop(now, Failure::new(Reason::ClientTooSlow, ending), out);
    }

    /// Ends the request from outside.
    fn stop(&mut self, now: Instant, failure: Failure, out: &mut Vec<PlanOutput>) {
        self.may_have_run |= self.attempts.cancel_all_but(now, None, out);
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        self.fail(outcome, failure, out);
    }

    fn fail(&mut self, outcome: Outcome, failure: Failure, out: &mut Vec<PlanOutput>) {
        let Failure { reason, ending, retry_after } = failure;
        let status = self.head.map(|head| head.status);
        self.end(Verdict { outcome, reason: Some(reason), ending, status, retry_after }, out);
    }

    fn end(&mut self, verdict: Verdict, out: &mut Vec<PlanOutput>) {
        self.ended = true;
        self.attempts.end();
        out.push(PlanOutput::Finish(verdict));
    }
}
