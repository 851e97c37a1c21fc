//! This node's role in the control of one zone.

use wagtailmoor_core::{BackEndId, Instant, KeyHash, SlotId, SortedVec};
use wagtailmoor_lease::{Authority, Candidate};
use wagtailmoor_limits::{
    CreditIssuer, CreditReply, CreditRequest, Issuer, IssuerTerm, PermitIssuer, PermitReply,
    PermitRequest,
};
use wagtailmoor_ownership::{Controller, Input, Output};

/// Credit and permit issuers of a controller, created when the node gains authority over the zone
/// and dropped when the node loses it.
#[derive(Debug)]
pub(crate) struct Issuers {
    pub(crate) credits: CreditIssuer,
    pub(crate) permits: PermitIssuer,
}

/// Load reported to a controller and not yet forwarded to its ownership state machine.
#[derive(Debug, Default)]
pub(crate) struct HeatSum {
    pub(crate) slots: SortedVec<SlotId, u32>,
    pub(crate) keys: SortedVec<KeyHash, u32>,
}

/// How an update changed this node's authority over a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthorityChange {
    Gained,
    Lost,
    Unchanged,
}

/// This node's role in the control of one zone: its own, or one whose nodes are all lost.
#[derive(Debug)]
pub(crate) struct ZoneRole {
    pub(crate) candidate: Candidate,
    pub(crate) ownership: Controller,
    /// Present while this node is the controller of the zone.
    pub(crate) issuers: Option<Issuers>,
    pub(crate) heat: SortedVec<BackEndId, HeatSum>,
}

impl ZoneRole {
    pub(crate) fn new(candidate: Candidate, ownership: Controller) -> Self {
        Self { candidate, ownership, issuers: None, heat: SortedVec::new() }
    }

    /// Returns whether this node is the controller of the zone.
    pub(crate) fn is_controller(&self, now: Instant) -> bool {
        self.candidate.authority(now).is_controller()
    }

    /// Passes the present authority to the ownership state machine, and creates or drops the
    /// issuers if the authority changed.
    pub(crate) fn update_authority(
        &mut self,
        now: Instant,
        term: IssuerTerm,
    ) -> (AuthorityChange, Vec<Output>) {
        let authority = match self.candidate.authority(now) {
            Authority::Controller { generation, until } => {
                Some(wagtailmoor_ownership::Authority { generation, until })
            }
            Authority::Standby | Authority::NonMember => None,
        };
        let change = match (authority.is_some(), self.issuers.is_some()) {
            (true, false) => {
                let credits = CreditIssuer::new(now, term);
                self.issuers = Some(Issuers { credits, permits: PermitIssuer::new(now, term) });
                AuthorityChange::Gained
            }
            (false, true) => {
                self.issuers = None;
                self.heat.clear();
                AuthorityChange::Lost
            }
            _ => AuthorityChange::Unchanged,
        };
        (change, self.ownership.handle(now, Input::Authority(authority)))
    }

    /// Answers a request for credits; `None` if this node is not the controller.
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

    /// Answers a request for permits; `None` if this node is not the controller.
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
