//! Answers the requests of other nodes.

use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId};

use crate::campaigner::Campaigner;
use crate::knowledge::Knowledge;
use crate::{
    Answer, LeaseAction, LeaseSettings, PromiseRequest, Refusal, RemainingTenure, StoredRow,
};

/// Decides which promises and releases this node grants to other nodes.
#[derive(Debug)]
pub(crate) struct Responder<'a> {
    pub(crate) node: &'a NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) settings: &'a LeaseSettings,
    pub(crate) knowledge: &'a mut Knowledge,
    pub(crate) campaigner: &'a mut Campaigner,
    /// Actions to carry out at the next tick.
    pub(crate) outbox: &'a mut Vec<LeaseAction>,
}

impl Responder<'_> {
    /// Answers a request for a promise.
    pub(crate) fn promise(
        self,
        now: Instant,
        request: &PromiseRequest,
        row: &StoredRow,
        generation: Generation,
        active: Generation,
        tenure: Option<&RemainingTenure>,
    ) -> Answer {
        let Self { knowledge, campaigner, .. } = self;
        if !campaigner.learn_from_peer(now, knowledge, row) {
            return Answer::Refused(Refusal::NotReady);
        }
        knowledge.learn_active(active);
        campaigner.end_old(knowledge);
        if let Some(remaining) =
            tenure.filter(|remaining| remaining.stamp.incarnation == self.incarnation)
        {
            knowledge.tenure.apply(remaining, self.settings);
        }
        let from = &request.from;
        let panel = knowledge.view.valid_panels().find(|panel| panel.generation == generation);
        match (panel, knowledge.view.stored()) {
            (_, Some(stored)) if generation <= knowledge.voter.released() => {
                Answer::Refused(Refusal::Superseded(stored.clone()))
            }
            (Some(panel), _) if panel.contains(self.node) && panel.contains(from) => {
                if campaigner.campaigns.has_any_quorum(now)
                    || !knowledge.voter.can_promise_to(now, from)
                {
                    return Answer::Refused(Refusal::Promised);
                }
                campaigner.stop();
                campaigner.campaigns.end_search();
                knowledge.voter.grant(now, from, request.id, self.settings);
                Answer::Granted { generation }
            }
            _ => Answer::Refused(Refusal::NotMember),
        }
    }

    /// Answers a request for the release of a generation and of all below.
    pub(crate) fn release(
        self,
        now: Instant,
        from: &NodeId,
        row: &StoredRow,
        generation: Generation,
    ) -> Answer {
        let Self { knowledge, campaigner, .. } = self;
        if !campaigner.learn_from_peer(now, knowledge, row)
            || generation >= row.row.panel.generation
        {
            return Answer::Refused(Refusal::NotReady);
        }
        // The sender has a quorum of a newer generation.
        if !campaigner.campaigns.is_empty() && knowledge.view.active() <= generation {
            self.outbox.extend(campaigner.withdraw(now, &mut knowledge.voter));
        }
        if campaigner.campaigns.has_any_quorum(now) || !knowledge.voter.can_promise_to(now, from) {
            return Answer::Refused(Refusal::Promised);
        }
        knowledge.voter.release(generation);
        let released = knowledge.voter.released();
        campaigner.campaigns.retain(|generation| generation > released);
        Answer::Released { generation: released }
    }

    /// Answers a request of a restarted node for the state of this one.
    pub(crate) fn state(self, request: &PromiseRequest) -> Answer {
        let Self { knowledge, campaigner, .. } = self;
        campaigner.campaigns.discard_stale_releases(&request.from, request.id.incarnation);
        match knowledge.view.is_recovered() {
            true => Answer::State {
                row: knowledge.view.stored().cloned(),
                active: knowledge.view.active(),
                released: knowledge.voter.released(),
            },
            false => Answer::Refused(Refusal::NotReady),
        }
    }
}
