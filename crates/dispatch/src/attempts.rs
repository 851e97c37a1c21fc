//! The attempts of one request.

use wagtailmoor_core::{Instant, TargetId};

use crate::attempt::Attempt;
use crate::{AttemptId, AttemptState, Observation, PlanOutput};

/// The attempts of one request, in start order.
#[derive(Debug)]
pub(crate) struct Attempts<G> {
    attempts: Vec<Attempt<G>>,
}

impl<G> Attempts<G> {
    pub(crate) fn new() -> Self {
        Self { attempts: Vec::with_capacity(1) }
    }

    /// Starts an attempt and returns its id, which is derived from the request id.
    pub(crate) fn start(&mut self, request: AttemptId) -> AttemptId {
        let id = request.with_number(u8::try_from(self.attempts.len()).unwrap_or(u8::MAX));
        self.attempts.push(Attempt::queued(id));
        id
    }

    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&Attempt<G>> {
        self.attempts.iter().find(|known| known.id == attempt)
    }

    /// Returns the attempt with this id if it is in one of `states`.
    pub(crate) fn find(
        &mut self,
        attempt: AttemptId,
        states: &[AttemptState],
    ) -> Option<&mut Attempt<G>> {
        self.attempts.iter_mut().find(|known| known.id == attempt && states.contains(&known.state))
    }

    pub(crate) fn is_any_live(&self) -> bool {
        self.attempts.iter().any(Attempt::is_live)
    }

    /// Returns whether any attempt has a target but no response head yet.
    pub(crate) fn is_any_waiting(&self) -> bool {
        let awaits_head = |state| matches!(state, AttemptState::Assigned | AttemptState::BytesSent);
        self.attempts.iter().any(|attempt| awaits_head(attempt.state))
    }

    pub(crate) fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.attempts.iter().filter_map(|attempt| attempt.target.as_ref())
    }

    /// Cancels all live attempts but `except`. Returns whether a target may have run a cancelled
    /// one.
    pub(crate) fn cancel_all_except(
        &mut self,
        now: Instant,
        except: Option<AttemptId>,
        out: &mut Vec<PlanOutput>,
    ) -> bool {
        let mut may_have_run = false;
        let live = self.attempts.iter_mut().filter(|attempt| attempt.is_live());
        for attempt in live.filter(|attempt| Some(attempt.id) != except) {
            may_have_run |= attempt.may_have_run();
            let awaits_response = attempt.state != AttemptState::HeadReceived;
            let observation = Observation::Cancelled { elapsed: attempt.elapsed(now) };
            out.push(PlanOutput::Cancel { attempt: attempt.id });
            let target = attempt.target.clone().filter(|_| awaits_response);
            out.extend(target.map(|target| PlanOutput::Observe { target, observation }));
            attempt.end();
        }
        may_have_run
    }

    /// Ends all attempts and releases their guards.
    pub(crate) fn end(&mut self) {
        self.attempts.iter_mut().for_each(Attempt::end);
    }
}
