//! The duties of the controller of one zone.

use wagtailmoor_core::{BackEndId, Instant, KeyHash, SlotId, SortedVec};
use wagtailmoor_lease::{Authority, Candidate};
use wagtailmoor_limits::{
    CreditIssuer, CreditReply, CreditRequest, Issuer, IssuerTerm, PermitIssuer, PermitReply,
    PermitRequest,
};
use wagtailmoor_ownership::{Controller, Input, Output};

/// The issuers that a controller runs while it has authority without a gap.
#[derive(Debug)]
pub(crate) struct Issuers {
    pub(crate) credits: CreditIssuer,
    pub(crate) permits: PermitIssuer,
}

/// Load reported to a controller since it was last passed on.
#[derive(Debug, Default)]
pub(crate) struct HeatSum {
    pub(crate) slots: SortedVec<SlotId, u32>,
    pub(crate) keys: SortedVec<KeyHash, u32>,
}

/// A change of authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turnover {
    /// It began.
    Started,
    /// It ended.
    Ended,
    /// It is as before.
    Unchanged,
}

/// The duties of the controller of one zone: its own, or one whose nodes are all lost.
#[derive(Debug)]
pub(crate) struct Duty {
    pub(crate) candidate: Candidate,
    pub(crate) ownership: Controller,
    pub(crate) issuers: Option<Issuers>,
    pub(crate) heat: SortedVec<BackEndId, HeatSum>,
}

impl Duty {
    pub(crate) fn new(candidate: Candidate, ownership: Controller) -> Self {
        Self { candidate, ownership, issuers: None, heat: SortedVec::new() }
    }

    /// Returns whether this node is the controller of the zone.
    pub(crate) fn is_controller(&self, now: Instant) -> bool {
        self.candidate.authority(now).is_controller()
    }

    /// Passes the authority on and creates or drops the issuers that follow from it.
    pub(crate) fn pass_authority(
        &mut self,
        now: Instant,
        term: IssuerTerm,
    ) -> (Turnover, Vec<Output>) {
        let authority = match self.candidate.authority(now) {
            Authority::Controller { generation, until } => {
                Some(wagtailmoor_ownership::Authority { generation, until })
            }
            Authority::Standby | Authority::NonMember => None,
        };
        let turnover = match (authority.is_some(), self.issuers.is_some()) {
            (true, false) => {
                let credits = CreditIssuer::new(now, term);
                self.issuers = Some(Issuers { credits, permits: PermitIssuer::new(now, term) });
                Turnover::Started
            }
            (false, true) => {
                self.issuers = None;
                self.heat.clear();
                Turnover::Ended
            }
            _ => Turnover::Unchanged,
        };
        (turnover, self.ownership.handle(now, Input::Authority(authority)))
    }

    /// Answers a request for credits while this node is the controller.
    pub(crate) fn issue_credits(
        &mut self,
        now: Instant,
        request: &CreditRequest,
    ) -> Option<CreditReply> {
        match self.is_controller(now) {
            true => self.issuers.as_mut().map(|issuers| issuers.credits.on_request(now, request)),
            false => None,
        }
    }

    /// Answers a request for permits while this node is the controller.
    pub(crate) fn issue_permits(
        &mut self,
        now: Instant,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        match self.is_controller(now) {
            true => self.issuers.as_mut().map(|issuers| issuers.permits.on_request(now, request)),
            false => None,
        }
    }
}
