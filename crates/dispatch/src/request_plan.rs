//! State machine of one request.

use wagtailmoor_core::{Instant, Outcome, Reason, TargetId};

use crate::attempts::Attempts;
use crate::failure::Failure;
use crate::{
    AttemptId, AttemptState, BodyTimeout, Ending, Observation, PlanInput, PlanOutput, PlanRequest,
    PlanSettings, ResponseHead, RetryBudget, Verdict,
};

const MISDIRECTED: u16 = 421;
const SERVICE_UNAVAILABLE: u16 = 503;
const TOO_MANY_REQUESTS: u16 = 429;

/// State machine of one request, which runs it over one or more attempts.
///
/// `G` is the guard that counts an attempt at its target. It is dropped as soon as the attempt
/// ends. Inputs for attempts that have ended or that belong to other requests are ignored.
#[derive(Debug)]
pub struct RequestPlan<G> {
    settings: PlanSettings,
    request: PlanRequest,
    attempts: Attempts<G>,
    may_have_run: bool,
    /// Whether an attempt took the body, which a request that is not replayable has only once.
    body_taken: bool,
    head: Option<ResponseHead>,
    hedge_at: Option<Instant>,
    stall_deadline: Option<Instant>,
    ended: bool,
}

impl<G> RequestPlan<G> {
    /// Creates the plan of a request. It produces no outputs before `start`.
    pub fn new(settings: PlanSettings, request: PlanRequest) -> Self {
        Self {
            settings,
            request,
            attempts: Attempts::new(),
            may_have_run: false,
            body_taken: false,
            head: None,
            hedge_at: None,
            stall_deadline: None,
            ended: false,
        }
    }

    /// Starts the first attempt, unless the deadline has passed.
    pub fn start<B: RetryBudget>(&mut self, now: Instant, budget: &mut B) -> Vec<PlanOutput> {
        let mut out = Vec::new();
        if now >= self.request.deadline {
            self.on_deadline_passed(now, &mut out);
            return out;
        }
        budget.earn(now);
        out.push(PlanOutput::SetTimer { at: self.request.deadline });
        self.choose(&mut out);
        out
    }

    /// Handles an event and returns the actions to take.
    pub fn handle<B: RetryBudget>(
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
                self.on_assigned(now, attempt, target, guard, send_before, &mut out);
            }
            PlanInput::NoTarget { attempt, reason } => self.on_no_target(attempt, reason, &mut out),
            PlanInput::Connected { attempt } => self.on_connected(now, attempt, budget, &mut out),
            PlanInput::BytesSent { attempt } => self.on_bytes_sent(attempt),
            PlanInput::Unsent { attempt } => {
                self.on_unsent(attempt);
                self.on_lost(now, attempt, budget, &mut out);
            }
            PlanInput::Lost { attempt } => self.on_lost(now, attempt, budget, &mut out),
            PlanInput::Head { attempt, head } => {
                self.on_head(now, attempt, head, budget, &mut out);
            }
            PlanInput::BodyProgress { attempt } => self.on_body_progress(now, attempt, &mut out),
            PlanInput::BodyEnded { attempt } => self.on_body_ended(attempt, &mut out),
            PlanInput::BodyNotReplayable => self.request.replayable = false,
            PlanInput::ClientGone => self.on_client_failed(now, Ending::ClientGone, &mut out),
            PlanInput::ClientStalled => self.on_client_failed(now, Ending::ClientStalled, &mut out),
            PlanInput::Timer => self.on_timer(now, budget, &mut out),
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

    fn on_assigned(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        target: TargetId,
        guard: G,
        send_before: Option<Instant>,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(current) = self.attempts.find(attempt, &[AttemptState::Queued]) else { return };
        current.assign(now, target.clone(), guard, send_before);
        if now >= self.request.deadline {
            return self.on_deadline_passed(now, out);
        }
        out.push(PlanOutput::Connect { attempt, target });
        let first = self.attempts.len() == 1;
        if let (true, true, Some(wait)) = (first, self.may_repeat(), self.request.hedge_after) {
            self.hedge_at = Some(now + wait);
            out.push(PlanOutput::SetTimer { at: now + wait });
        }
    }

    fn on_no_target(&mut self, attempt: AttemptId, reason: Reason, out: &mut Vec<PlanOutput>) {
        let not_sent = [AttemptState::Queued, AttemptState::Assigned];
        let Some(current) = self.attempts.find(attempt, &not_sent) else { return };
        if current.state == AttemptState::Assigned {
            out.push(PlanOutput::Cancel { attempt });
        }
        current.end();
        self.give_up(Failure::new(reason, Ending::NoTarget), out);
    }

    fn on_connected<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(current) = self.attempts.find(attempt, &[AttemptState::Assigned]) else { return };
        if now >= self.request.deadline {
            self.on_deadline_passed(now, out);
        } else if current.may_send(now) {
            out.push(PlanOutput::Send { attempt });
        } else {
            out.push(PlanOutput::Cancel { attempt });
            current.end();
            self.retry_or_give_up(
                now,
                Failure::new(Reason::OwnerMoving, Ending::NoTarget),
                budget,
                out,
            );
        }
    }

    fn on_bytes_sent(&mut self, attempt: AttemptId) {
        if let Some(current) = self.attempts.find(attempt, &[AttemptState::Assigned]) {
            current.state = AttemptState::BytesSent;
            self.body_taken = true;
        }
    }

    fn on_unsent(&mut self, attempt: AttemptId) {
        if let Some(current) = self.attempts.find(attempt, &[AttemptState::BytesSent]) {
            current.state = AttemptState::Assigned;
            self.body_taken = false;
        }
    }

    fn on_lost<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let with_target =
            [AttemptState::Assigned, AttemptState::BytesSent, AttemptState::HeadReceived];
        let Some(current) = self.attempts.find(attempt, &with_target) else { return };
        let (state, assigned_at) = (current.state, current.assigned_at);
        let target = current.target.clone();
        current.end();
        match state {
            AttemptState::Assigned => {
                let observation = Observation::ConnectFailed;
                out.extend(target.map(|target| PlanOutput::Observe { target, observation }));
                let failure = Failure::new(self.settings.unreachable, Ending::NoTarget);
                self.retry_or_give_up(now, failure, budget, out);
            }
            AttemptState::BytesSent => {
                self.may_have_run = true;
                out.extend(target.map(|target| PlanOutput::Lost { target, assigned_at }));
                let failure = Failure::new(Reason::TargetLost, Ending::TargetLost);
                self.retry_or_give_up(now, failure, budget, out);
            }
            AttemptState::HeadReceived => {
                let failure = Failure::new(Reason::TargetLost, Ending::Truncated);
                self.fail(Outcome::Unknown, failure, out);
            }
            AttemptState::Queued | AttemptState::Done => {}
        }
    }

    fn on_head<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        if self.attempts.find(attempt, &[AttemptState::Assigned]).is_some() {
            // A response that precedes the request belongs to an earlier request on the connection.
            out.push(PlanOutput::Cancel { attempt });
            return self.on_lost(now, attempt, budget, out);
        }
        match self.trusts_not_run(head) {
            true => self.on_refused(now, attempt, head, budget, out),
            false => self.on_answered(now, attempt, head, out),
        }
    }

    fn trusts_not_run(&self, head: ResponseHead) -> bool {
        match head.status {
            SERVICE_UNAVAILABLE | TOO_MANY_REQUESTS => {
                head.not_run && self.settings.trusts_refusals
            }
            MISDIRECTED => head.not_run && self.settings.trusts_misdirected,
            _ => false,
        }
    }

    fn on_refused<B: RetryBudget>(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(current) = self.attempts.find(attempt, &[AttemptState::BytesSent]) else { return };
        let observation = match head.status {
            MISDIRECTED => Observation::Misdirected,
            _ => Observation::Refused { retry_after: head.retry_after },
        };
        let target = current.target.clone();
        out.extend(target.map(|target| PlanOutput::Observe { target, observation }));
        current.end();
        let reason = match head.status {
            MISDIRECTED => Reason::OwnerMoving,
            _ => Reason::TargetRefused,
        };
        let retry_after = head.retry_after;
        let failure = Failure { reason, ending: Ending::Refused, retry_after };
        match self.may_repeat() || self.settings.retries_refused {
            true => self.retry_or_give_up(now, failure, budget, out),
            false => self.give_up(failure, out),
        }
    }

    fn on_answered(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        head: ResponseHead,
        out: &mut Vec<PlanOutput>,
    ) {
        let Some(current) = self.attempts.find(attempt, &[AttemptState::BytesSent]) else { return };
        current.state = AttemptState::HeadReceived;
        let observation = Observation::Answered { elapsed: current.elapsed(now), cold: head.cold };
        let target = current.target.clone();
        self.head = Some(head);
        self.hedge_at = None;
        self.may_have_run |= self.attempts.cancel_all_except(now, Some(attempt), out);
        out.extend(target.map(|target| PlanOutput::Observe { target, observation }));
        out.push(PlanOutput::Answer { attempt });
        self.on_body_progress(now, attempt, out);
    }

    fn on_body_ended(&mut self, attempt: AttemptId, out: &mut Vec<PlanOutput>) {
        if self.attempts.find(attempt, &[AttemptState::HeadReceived]).is_some() {
            self.end(Verdict::answered(self.head.map(|head| head.status)), out);
        }
    }

    fn on_body_progress(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<PlanOutput>) {
        let streaming = self.attempts.find(attempt, &[AttemptState::HeadReceived]).is_some();
        match self.settings.body_timeout {
            BodyTimeout::Stall(timeout) if streaming => {
                if self.stall_deadline.is_none() {
                    out.push(PlanOutput::SetTimer { at: now + timeout });
                }
                self.stall_deadline = Some(now + timeout);
            }
            _ => {}
        }
    }

    /// Starts another attempt if resending is safe and limits, deadline and budget allow it. Ends
    /// the request otherwise.
    fn retry_or_give_up<B: RetryBudget>(
        &mut self,
        now: Instant,
        failure: Failure,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        if self.attempts.is_any_live() {
            return;
        }
        let has_body = self.request.replayable || !self.body_taken;
        let may_resend = has_body && (self.may_repeat() || !self.may_have_run);
        match may_resend && self.allows_another_attempt(now) && budget.spend(now) {
            true => self.choose(out),
            false => self.give_up(failure, out),
        }
    }

    fn allows_another_attempt(&self, now: Instant) -> bool {
        self.attempts.len() < usize::from(self.settings.attempts_max)
            && now + self.settings.time_left_min < self.request.deadline
    }

    fn may_repeat(&self) -> bool {
        self.request.idempotent && self.request.replayable
    }

    /// Ends the request with this failure, unless another attempt is live.
    fn give_up(&mut self, failure: Failure, out: &mut Vec<PlanOutput>) {
        match self.attempts.is_any_live() {
            true => {}
            false if self.may_have_run => self.fail(Outcome::Unknown, failure.after_loss(), out),
            false => self.fail(Outcome::NotRun, failure, out),
        }
    }

    fn on_timer<B: RetryBudget>(
        &mut self,
        now: Instant,
        budget: &mut B,
        out: &mut Vec<PlanOutput>,
    ) {
        match (self.head, self.settings.body_timeout, self.stall_deadline) {
            (Some(_), BodyTimeout::Stall(_), Some(end)) if now >= end => {
                self.abort(now, Failure::new(Reason::DeadlineExceeded, Ending::BodyStalled), out);
            }
            (Some(_), BodyTimeout::Stall(_), Some(end)) => {
                out.push(PlanOutput::SetTimer { at: end })
            }
            _ if now >= self.request.deadline => self.on_deadline_passed(now, out),
            _ if self.hedge_at.is_some_and(|at| now >= at) => self.hedge(now, budget, out),
            _ => {}
        }
    }

    fn hedge<B: RetryBudget>(&mut self, now: Instant, budget: &mut B, out: &mut Vec<PlanOutput>) {
        self.hedge_at = None;
        let useful = self.attempts.is_any_waiting() && self.allows_another_attempt(now);
        if useful && self.may_repeat() && budget.spend(now) {
            self.choose(out);
        }
    }

    fn on_deadline_passed(&mut self, now: Instant, out: &mut Vec<PlanOutput>) {
        self.abort(now, Failure::new(Reason::DeadlineExceeded, Ending::DeadlineExceeded), out);
    }

    fn on_client_failed(&mut self, now: Instant, ending: Ending, out: &mut Vec<PlanOutput>) {
        self.abort(now, Failure::new(Reason::ClientTooSlow, ending), out);
    }

    /// Cancels all attempts and ends the request.
    fn abort(&mut self, now: Instant, failure: Failure, out: &mut Vec<PlanOutput>) {
        self.may_have_run |= self.attempts.cancel_all_except(now, None, out);
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
