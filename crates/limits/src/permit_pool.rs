//! Permits of one resource as tracked by the issuer.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, NodeId, SortedVec};

use crate::drift::add_drift_margin;
use crate::permit_issuer::LEASE;
use crate::{PermitGrant, PermitLimit, PermitRequest, PermitRequestEntry, SlowStartSettings, Tag};

/// Minimum time for which a node keeps its only permit while nodes without a permit wait.
const MIN_HOLD_TIME: Duration = Duration::from_millis(200);
/// Time after the last request of a node at which the node no longer counts as waiting.
const WAITER_TIMEOUT: Duration = Duration::from_millis(250);

/// Permits of one resource by node, as tracked by the issuer.
#[derive(Clone, Debug)]
pub(crate) struct PermitPool {
    limit: PermitLimit,
    cold_since: Option<Instant>,
    /// Time until which permits of previous issuers may be in use.
    takeover_ends: Instant,
    /// Permits of previous issuers that nodes reported.
    adopted: u32,
    holdings: SortedVec<NodeId, Holding>,
    /// Permits of previous incarnations of nodes, each with the time at which they are out of use.
    orphaned: Vec<(Instant, u32)>,
}

/// Permits and demand of one node.
#[derive(Clone, Debug)]
struct Holding {
    incarnation: Incarnation,
    /// Upper bound on the permits that the node holds, until it reports fewer.
    reserved: u32,
    allowed: u32,
    wanted: u32,
    last_contact: Instant,
    held_since: Instant,
    waiting_since: Option<Instant>,
    /// Number of permits that the node held according to its last report.
    held: u32,
    /// Last grant sent to the node, and the sequence number of the request that it replied to.
    last_grant: PermitGrant,
    last_grant_sequence: u32,
}

impl PermitPool {
    /// Creates a pool. A permit from before `since` that its holder does not report is out of use
    /// once the lease and [`PermitLimit::request_max`] have passed.
    pub(crate) fn new(since: Instant, limit: PermitLimit) -> Self {
        let takeover_ends = since + add_drift_margin(LEASE + limit.request_max);
        let holdings = SortedVec::new();
        Self { limit, cold_since: None, takeover_ends, adopted: 0, holdings, orphaned: Vec::new() }
    }

    pub(crate) fn set_limit(&mut self, limit: PermitLimit) {
        self.limit = limit;
    }

    /// Starts or restarts the slow start of the target.
    pub(crate) fn set_cold(&mut self, now: Instant) {
        self.cold_since = Some(now);
    }

    /// Returns the current limit: lower than the full one during slow start.
    pub(crate) fn limit(&self, now: Instant) -> u32 {
        let full = self.limit.full;
        let slow_start_limit = |since| {
            self.limit
                .slow_start
                .as_ref()
                .map(|slow_start: &SlowStartSettings| slow_start.limit(since, now, full))
        };
        self.cold_since.and_then(slow_start_limit).unwrap_or(full)
    }

    /// Returns the number of permits reserved for nodes, an upper bound on those held or in use.
    pub(crate) fn reserved(&self) -> u32 {
        let held: u32 = self.holdings.values().map(|holding| holding.reserved).sum();
        held + self.orphaned.iter().map(|(_, count)| count).sum::<u32>()
    }

    /// Applies a node's report and returns the permits that it may hold.
    pub(crate) fn on_entry(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        entry: &PermitRequestEntry,
    ) -> PermitGrant {
        let node = &request.node;
        self.drop_expired(now);
        if entry.cold {
            self.set_cold(now);
        }
        let mut holding = self.take_holding(now, node, request.incarnation, entry);
        let allowed = self.allocate(now, &holding);
        holding.allowed = allowed;
        holding.reserved = allowed.max(entry.held);
        // A node that was just granted permits or has just yielded some waits behind the others.
        let since = holding.waiting_since.filter(|_| allowed == entry.held).unwrap_or(now);
        holding.waiting_since = (allowed < entry.wanted).then_some(since);
        let contended = self.waiters(now).next().is_some();
        let grant = PermitGrant { allowed, contended };
        holding.last_grant = grant.clone();
        holding.last_grant_sequence = request.sequence;
        self.holdings.insert(node.clone(), holding);
        grant
    }

    /// Returns whether the node's last report held or wanted permits.
    pub(crate) fn is_used_by(&self, request: &PermitRequest) -> bool {
        self.holdings.get(&request.node).is_some_and(|holding| {
            holding.incarnation == request.incarnation && (holding.held > 0 || holding.wanted > 0)
        })
    }

    /// Handles a resource that the request omits as if it repeated the node's last report. Returns
    /// the grant if the node does not know it yet.
    pub(crate) fn renew(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        resource: Tag,
    ) -> Option<PermitGrant> {
        let holding = self.holdings.get(&request.node)?;
        let (last_grant, last_grant_sequence) =
            (holding.last_grant.clone(), holding.last_grant_sequence);
        let entry = PermitRequestEntry {
            resource,
            held: holding.held,
            wanted: holding.wanted,
            cold: false,
        };
        let grant = self.on_entry(now, request, &entry);
        let known = grant == last_grant && request.acknowledged >= last_grant_sequence;
        if known && let Some(holding) = self.holdings.get_mut(&request.node) {
            holding.last_grant_sequence = last_grant_sequence;
        }
        (!known).then_some(grant)
    }

    /// Removes the node's holding and returns it, updated with the report.
    fn take_holding(
        &mut self,
        now: Instant,
        node: &NodeId,
        incarnation: Incarnation,
        entry: &PermitRequestEntry,
    ) -> Holding {
        let known = match self.holdings.remove(node) {
            Some(known) if known.incarnation == incarnation => Some(known),
            Some(old) => {
                // Requests of the previous incarnation may still run at the target.
                self.orphaned.push((old.last_contact + self.reissue_delay(), old.reserved));
                None
            }
            None => None,
        };
        if known.is_none() && now < self.takeover_ends {
            self.adopted += entry.held;
        }
        let (held_since, waiting_since) = match known {
            Some(known) if known.reserved > 0 => (known.held_since, known.waiting_since),
            Some(known) => (now, known.waiting_since),
            None => (now, None),
        };
        let (reserved, wanted) = (entry.held, entry.wanted);
        Holding {
            incarnation,
            reserved,
            allowed: reserved,
            wanted,
            last_contact: now,
            held_since,
            waiting_since,
            held: entry.held,
            last_grant: PermitGrant::default(),
            last_grant_sequence: 0,
        }
    }

    /// Returns how many permits the node may hold. Its own holding is not part of `self.holdings`.
    fn allocate(&self, now: Instant, holding: &Holding) -> u32 {
        let max_allowed = holding.wanted.min(self.max_issued(now).saturating_sub(self.reserved()));
        let mut allowed = holding.reserved.min(max_allowed);
        let free = self.max_issued(now).saturating_sub(self.reserved());
        while allowed < max_allowed && free - allowed > self.prior_claims(now, holding, allowed) {
            allowed += 1;
        }
        let kept = allowed == holding.reserved && allowed > 0 && free == allowed;
        if kept { allowed - self.permits_to_yield(now, holding).min(allowed) } else { allowed }
    }

    /// Returns the number of waiting nodes with priority for the next permit: those that hold fewer
    /// permits, or as many and have waited longer.
    fn prior_claims(&self, now: Instant, holding: &Holding, allowed: u32) -> u32 {
        let since = holding.waiting_since.unwrap_or(now);
        let before = self.waiters(now).filter(|other| {
            other.reserved < allowed
                || other.reserved == allowed && other.waiting_since < Some(since)
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns how many permits the node gives up for waiting nodes that hold fewer.
    fn permits_to_yield(&self, now: Instant, holding: &Holding) -> u32 {
        let yielding =
            self.holdings.values().map(|other| other.reserved - other.allowed.min(other.reserved));
        let waiting = self.waiters(now).count() as u32;
        let unserved = waiting.saturating_sub(yielding.sum());
        let Some(fewest) = self.waiters(now).map(|other| other.reserved).min() else { return 0 };
        let min_hold_elapsed = now.saturating_since(holding.held_since) >= MIN_HOLD_TIME;
        match holding.reserved.saturating_sub(fewest) {
            _ if unserved == 0 => 0,
            0 => 0,
            1 if fewest == 0 && min_hold_elapsed => 1,
            1 => 0,
            difference => difference / 2,
        }
    }

    fn waiters(&self, now: Instant) -> impl Iterator<Item = &Holding> {
        self.holdings.values().filter(move |holding| {
            holding.waiting_since.is_some() && now < holding.last_contact + WAITER_TIMEOUT
        })
    }

    /// Returns the maximum number of permits that may be reserved. Until the permits of previous
    /// issuers have expired, no more are reserved than nodes have reported.
    fn max_issued(&self, now: Instant) -> u32 {
        match now < self.takeover_ends {
            true => self.limit(now).min(self.adopted),
            false => self.limit(now),
        }
    }

    fn reissue_delay(&self) -> Duration {
        add_drift_margin(LEASE + self.limit.request_max)
    }

    fn drop_expired(&mut self, now: Instant) {
        let after = self.reissue_delay();
        self.holdings.retain(|_, holding| now < holding.last_contact + after);
        self.orphaned.retain(|(until, _)| now < *until);
    }
}
