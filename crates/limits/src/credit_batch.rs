//! Credits received in one grant.

use std::rc::Rc;

use wagtailmoor_core::{Instant, ZoneId};

use crate::credit::GrantCounts;
use crate::{Credit, IssuerTerm, Settlement};

/// Credits received in one grant, which expire together.
#[derive(Debug)]
pub(crate) struct CreditBatch {
    pub(crate) zone: ZoneId,
    pub(crate) term: IssuerTerm,
    pub(crate) issue_slot: u32,
    pub(crate) expires: Instant,
    counts: Rc<GrantCounts>,
}

impl CreditBatch {
    pub(crate) fn new(
        zone: &ZoneId,
        term: IssuerTerm,
        issue_slot: u32,
        expires: Instant,
        credits: u32,
    ) -> Self {
        let counts = Rc::new(GrantCounts::default());
        counts.free.set(credits);
        Self { zone: zone.clone(), term, issue_slot, expires, counts }
    }

    /// Returns the number of credits that no request has taken.
    pub(crate) fn free(&self) -> u32 {
        self.counts.free.get()
    }

    pub(crate) fn take(&self) -> Option<Credit> {
        Credit::take(&self.counts)
    }

    /// Returns up to `max_returned` free credits to the issuer and reports the used ones; `None` if
    /// there is nothing to report.
    pub(crate) fn settle(&self, max_returned: u32) -> Option<Settlement> {
        let returned = self.free().min(max_returned);
        self.counts.free.set(self.free() - returned);
        let used = self.counts.used.take();
        let settlement = Settlement { issue_slot: self.issue_slot, used, returned };
        (used + returned > 0).then_some(settlement)
    }
}
