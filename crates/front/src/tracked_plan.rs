//! The plan of a request, with its events reported to the gateway.

use std::rc::Rc;

use wagtailmoor_dispatch::{
    Fingerprint, Observation, PlanInput, PlanOutput, PlanRequest, RequestPlan, Verdict,
};

use crate::gateway::{Call, Gateway};

/// The plan of a request, which reports the end of the request to the gateway exactly once.
pub(crate) struct TrackedPlan<G: Gateway> {
    pub(crate) gateway: Rc<G>,
    pub(crate) call: Rc<Call>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) plan: RequestPlan<G::Guard>,
    budget: G::Budget,
    finished: bool,
}

impl<G: Gateway> TrackedPlan<G> {
    pub(crate) fn new(
        gateway: Rc<G>,
        call: Rc<Call>,
        fingerprint: Fingerprint,
        replayable: bool,
    ) -> Self {
        let plan = RequestPlan::new(
            call.plan.clone(),
            PlanRequest {
                id: call.id,
                idempotent: call.idempotent,
                replayable,
                deadline: call.deadline,
                hedge_after: call.hedge_after,
            },
        );
        let budget = gateway.budget(&call);
        Self { gateway, call, fingerprint, plan, budget, finished: false }
    }

    /// Returns whether requests like this one are currently known to crash targets.
    pub(crate) fn crashes_targets(&self) -> bool {
        self.gateway.crashes_targets(self.fingerprint)
    }

    /// Passes an input to the plan and reports its outputs to the gateway.
    pub(crate) fn handle(&mut self, input: PlanInput<G::Guard>) -> Vec<PlanOutput> {
        let now = self.gateway.now();
        let status = match &input {
            PlanInput::Head { head, .. } => Some(head.status),
            _ => None,
        };
        let outputs = self.plan.handle(now, input, &mut self.budget);
        self.notify_gateway(&outputs, status);
        outputs
    }

    pub(crate) fn start(&mut self) -> Vec<PlanOutput> {
        let now = self.gateway.now();
        let outputs = self.plan.start(now, &mut self.budget);
        self.notify_gateway(&outputs, None);
        outputs
    }

    /// Reports outputs to the gateway. `status` is that of the response head that led to them.
    fn notify_gateway(&mut self, outputs: &[PlanOutput], status: Option<u16>) {
        for output in outputs {
            match output {
                PlanOutput::Observe { target, observation } => {
                    self.gateway.observe(&self.call, target, observation);
                    match (observation, status) {
                        (Observation::Cancelled { elapsed }, _) => {
                            let (call, fingerprint) = (&self.call, self.fingerprint);
                            self.gateway.on_unanswered(call, fingerprint, target, *elapsed);
                        }
                        (Observation::Answered { elapsed, .. }, Some(status)) => {
                            self.gateway.on_answered(&self.call, target, *elapsed, status);
                        }
                        _ => {}
                    }
                }
                PlanOutput::Lost { target, assigned_at } => {
                    self.gateway.on_connection_lost(
                        &self.call,
                        self.fingerprint,
                        target,
                        *assigned_at,
                    );
                }
                PlanOutput::Finish(verdict) => self.finish(verdict),
                _ => {}
            }
        }
    }

    fn finish(&mut self, verdict: &Verdict) {
        self.finished = true;
        self.gateway.on_finished(&self.call, Some(self.fingerprint), verdict);
    }
}

impl<G: Gateway> Drop for TrackedPlan<G> {
    /// Hyper drops the exchange when the client closes its connection.
    fn drop(&mut self) {
        if !self.finished {
            self.handle(PlanInput::ClientGone);
        }
    }
}
