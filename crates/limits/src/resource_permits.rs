//! Permits and demand of one resource at one node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use wagtailmoor_core::Instant;

use crate::{AcquireResult, Permit, PermitGrant, PermitRequestEntry, Tag};

/// Time after a shortage at the issuer for which no permits are requested without demand.
const SCARCITY_BACKOFF: Duration = Duration::from_secs(1);

/// Permits and demand of one resource at one node.
#[derive(Debug)]
pub(crate) struct ResourcePermits {
    tag: Tag,
    allowed: u32,
    lease_until: Instant,
    in_use: Rc<Cell<u32>>,
    peak: u32,
    unmet: u32,
    requested_unmet: u32,
    /// Time until which unmet demand is not urgent, because the issuer has just replied and another
    /// request would get no more permits.
    retry_at: Instant,
    /// Time until which `PermitSettings::min_held` is ignored, because the issuer had too few
    /// permits.
    scarce_until: Instant,
    contended: bool,
    cold: bool,
    /// The latest request reports that the target is cold.
    cold_sent: bool,
    reported_held: u32,
    reported_wanted: u32,
    /// The issuer has granted all permits that the last report wanted.
    confirmed: bool,
    removed: bool,
}

impl ResourcePermits {
    pub(crate) fn new(tag: Tag) -> Self {
        Self {
            tag,
            allowed: 0,
            lease_until: Instant::default(),
            in_use: Rc::default(),
            peak: 0,
            unmet: 0,
            requested_unmet: 0,
            retry_at: Instant::default(),
            scarce_until: Instant::default(),
            contended: false,
            cold: false,
            cold_sent: false,
            reported_held: 0,
            reported_wanted: 0,
            confirmed: false,
            removed: false,
        }
    }

    pub(crate) fn acquire(&mut self, now: Instant) -> AcquireResult {
        let in_use = self.in_use.get();
        if self.free(now) > 0 {
            self.peak = self.peak.max(in_use + 1);
            return AcquireResult::Granted(Permit::new(&self.in_use));
        }
        self.unmet += 1;
        match now < self.lease_until || self.lease_until == Instant::default() {
            true => AcquireResult::Busy,
            false => AcquireResult::Unavailable,
        }
    }

    pub(crate) fn tag(&self) -> Tag {
        self.tag
    }

    /// Marks the resource as removed, or as present again. Running requests keep their permits.
    pub(crate) fn set_removed(&mut self, removed: bool) {
        self.removed = removed;
        if removed {
            self.allowed = 0;
            self.unmet = 0;
        }
    }

    /// Returns whether the resource is removed, no permit is in use and the last report held none.
    pub(crate) fn is_drained(&self) -> bool {
        self.removed && self.in_use.get() == 0 && self.reported_held == 0
    }

    /// Returns the number of permits that can be acquired now.
    pub(crate) fn free(&self, now: Instant) -> u32 {
        let allowed = if now < self.lease_until && !self.removed { self.allowed } else { 0 };
        allowed.saturating_sub(self.in_use.get())
    }

    /// Returns whether to report the resource before the next regular request.
    pub(crate) fn is_urgent(&self, now: Instant) -> bool {
        let demand = self.unmet > self.requested_unmet && now >= self.retry_at;
        let idle = self.contended && self.in_use.get() < self.allowed.max(self.reported_held);
        demand || idle || self.cold && !self.cold_sent
    }

    /// Records that the target is cold. No permit is free until the issuer has replied to a request
    /// that reports it.
    pub(crate) fn report_cold(&mut self) {
        self.cold = true;
        self.cold_sent = false;
        self.allowed = 0;
    }

    /// Starts a new interval for the peak demand.
    pub(crate) fn start_demand_interval(&mut self) {
        self.peak = self.in_use.get();
    }

    /// Clears the demand, so that free permits are returned.
    pub(crate) fn deactivate(&mut self) {
        self.start_demand_interval();
        self.unmet = 0;
        self.contended = true;
    }

    /// Releases idle permits and returns the entry for the next request, or `None` if nothing has
    /// changed since the last confirmed report.
    pub(crate) fn next_entry(&mut self, now: Instant, min_held: u32) -> Option<PermitRequestEntry> {
        let in_use = self.in_use.get();
        let min_held = if now < self.scarce_until { 0 } else { min_held };
        let recent = match self.contended {
            true => in_use,
            false => self.peak.max(in_use).max(min_held),
        };
        let wanted = if self.removed { 0 } else { recent + self.unmet };
        let lease_valid = now < self.lease_until;
        self.allowed = if lease_valid { self.allowed.min(wanted) } else { 0 };
        let held = self.allowed.max(in_use);
        let unchanged = self.confirmed
            && lease_valid
            && (held, wanted) == (self.reported_held, self.reported_wanted);
        let unused =
            held == 0 && wanted == 0 && self.reported_held == 0 && self.reported_wanted == 0;
        self.requested_unmet = self.unmet;
        self.cold_sent = self.cold;
        if !self.cold && (unchanged || unused) {
            return None;
        }
        (self.reported_held, self.reported_wanted, self.confirmed) = (held, wanted, false);
        Some(PermitRequestEntry { resource: self.tag, held, wanted, cold: self.cold })
    }

    /// Returns whether the last report held or wanted permits, which the issuer has to renew.
    pub(crate) fn is_active(&self) -> bool {
        self.reported_held > 0 || self.reported_wanted > 0
    }

    /// Makes the next request include the resource, because the issuer may not know its permits.
    pub(crate) fn unconfirm(&mut self) {
        self.confirmed = false;
    }

    /// Extends the lease if the issuer has confirmed the last report.
    pub(crate) fn renew(&mut self, lease_until: Instant) {
        if self.confirmed {
            self.lease_until = lease_until;
        }
    }

    /// Applies a grant. The demand that it replies to no longer counts as unmet; a request that
    /// still gets no permit counts again.
    pub(crate) fn apply_grant(
        &mut self,
        grant: &PermitGrant,
        lease_until: Instant,
        retry_at: Instant,
    ) {
        self.retry_at = retry_at;
        if grant.contended || grant.allowed < self.reported_wanted {
            self.scarce_until = retry_at + SCARCITY_BACKOFF;
        }
        self.unmet = self.unmet.saturating_sub(self.requested_unmet);
        self.requested_unmet = 0;
        // Demand that is not met is reported again with each request.
        self.confirmed = grant.allowed >= self.reported_wanted;
        self.contended = grant.contended;
        self.lease_until = lease_until;
        // A grant sent before the issuer knew that the target is cold may exceed the cold limit.
        let outdated = self.cold && !self.cold_sent;
        self.cold = outdated;
        self.allowed = if outdated || self.removed { 0 } else { grant.allowed };
    }
}
