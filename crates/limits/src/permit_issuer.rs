//! Issuer of permits for the targets of a zone; runs in the zone's controller.

use std::time::Duration;

use wagtailmoor_core::{Instant, SortedVec, TargetId};

use crate::drift::add_drift_margin;
use crate::permit_pool::PermitPool;
use crate::replay_filter::ReplayFilter;
use crate::{
    Issuer, IssuerTerm, PermitChange, PermitGrant, PermitLimit, PermitReply, PermitRequest,
    PermitRequestEntry, ResourceId, Tag,
};

/// Validity of granted permits, counted from the time at which the holder sent its request.
///
/// Three request intervals, so that a node keeps its permits when two requests in a row are lost.
pub(crate) const LEASE: Duration = Duration::from_millis(300);

/// Retention period of the removal of a target's pool. No request that started before the removal
/// still runs after this period.
const REMOVED_RETENTION: Duration = Duration::from_secs(3_600);

/// Returns the maximum delay between lowering a limit and the last request that a holder starts
/// beyond the new limit.
///
/// A reachable holder learns the new limit within one request interval, and the permits of an
/// unreachable one expire with its lease.
pub fn recall_bound() -> Duration {
    add_drift_margin(LEASE)
}

/// Issues permits for the targets of a zone.
///
/// A new issuer adopts the permits that nodes report, and issues more once all permits of previous
/// issuers have expired.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    term: IssuerTerm,
    created: Instant,
    /// Time at which the pool of each removed target was dropped.
    removed: SortedVec<Tag, Instant>,
    pools: SortedVec<Tag, PermitPool>,
    resources: SortedVec<ResourceId, Tag>,
    replay_filter: ReplayFilter,
}

impl PermitIssuer {
    /// Creates an issuer; `now` is the time at which the controller gained authority.
    pub fn new(now: Instant, term: IssuerTerm) -> Self {
        Self {
            term,
            created: now,
            removed: SortedVec::new(),
            pools: SortedVec::new(),
            resources: SortedVec::new(),
            replay_filter: ReplayFilter::default(),
        }
    }

    /// Adds a resource or changes its limit.
    ///
    /// A target that is added more than the lease and [`PermitLimit::request_max`] after this
    /// issuer was created can be used at once, because no permit of a previous issuer is still in
    /// use.
    pub fn set_limit(&mut self, resource: &ResourceId, limit: PermitLimit) {
        let tag = resource.tag();
        self.resources.insert(resource.clone(), tag);
        match self.pools.get_mut(&tag) {
            Some(pool) => pool.set_limit(limit),
            None => {
                let since = self.removed.remove(&tag).unwrap_or(self.created);
                self.pools.insert(tag, PermitPool::new(since, limit));
            }
        }
    }

    /// Removes the resources of a target.
    pub fn remove_target(&mut self, now: Instant, target: &TargetId) {
        let (pools, removed) = (&mut self.pools, &mut self.removed);
        removed.retain(|_, at| now < *at + REMOVED_RETENTION);
        self.resources.retain(|resource, tag| {
            let gone = resource.target == *target;
            if gone {
                pools.remove(tag);
                removed.insert(*tag, now);
            }
            !gone
        });
    }

    /// Starts or restarts the slow start of a target, because it is cold.
    ///
    /// After [`recall_bound`], the requests started since then are within the cold limit.
    pub fn set_cold(&mut self, now: Instant, resource: &ResourceId) {
        if let Some(pool) = self.pools.get_mut(&resource.tag()) {
            pool.set_cold(now);
        }
    }

    /// Returns the current limit of a resource, or `None` if the resource is unknown.
    pub fn limit(&self, now: Instant, resource: &ResourceId) -> Option<u32> {
        self.pools.get(&resource.tag()).map(|pool| pool.limit(now))
    }

    fn grants(&mut self, now: Instant, request: &PermitRequest) -> Vec<PermitGrant> {
        let mut grant = |entry: &PermitRequestEntry| {
            let pool = self.pools.get_mut(&entry.resource);
            pool.map_or(PermitGrant::default(), |pool| pool.on_entry(now, request, entry))
        };
        request.entries.iter().map(&mut grant).collect()
    }

    /// Returns the resources that the node uses but the request omits.
    fn omitted(&self, request: &PermitRequest) -> Vec<Tag> {
        let mut listed: Vec<Tag> = request.entries.iter().map(|entry| entry.resource).collect();
        listed.sort_unstable();
        let in_use = self.pools.iter().filter(|(_, pool)| pool.is_used_by(request));
        let tags = in_use.map(|(tag, _)| *tag);
        tags.filter(|tag| listed.binary_search(tag).is_err()).collect()
    }

    fn renew(&mut self, now: Instant, request: &PermitRequest, tag: Tag) -> Option<PermitChange> {
        let grant = self.pools.get_mut(&tag)?.renew(now, request, tag)?;
        Some(PermitChange { resource: tag, grant })
    }

    /// Returns the number of permits reserved for nodes, an upper bound on those in use.
    pub fn reserved(&self, resource: &ResourceId) -> Option<u32> {
        self.pools.get(&resource.tag()).map(PermitPool::reserved)
    }
}

impl Issuer for PermitIssuer {
    type Request = PermitRequest;
    type Reply = PermitReply;

    fn term(&self) -> IssuerTerm {
        self.term
    }

    fn on_request(&mut self, now: Instant, request: &PermitRequest) -> PermitReply {
        let (node, incarnation, sequence) = (&request.node, request.incarnation, request.sequence);
        let mut reply = PermitReply {
            sequence,
            term: self.term,
            lease_10ms: 0,
            renewed: false,
            grants: Vec::new(),
            changes: Vec::new(),
        };
        // A request with another term may have been delayed, so that its report is out of date.
        if request.term == self.term && self.replay_filter.accept(now, node, incarnation, sequence)
        {
            reply.lease_10ms = u8::try_from(LEASE.as_millis() / 10).unwrap_or(u8::MAX);
            reply.grants = self.grants(now, request);
            let omitted = self.omitted(request);
            // A pool that was removed and added again does not know the permits that nodes hold.
            reply.renewed = omitted.len() == request.omitted as usize;
            if reply.renewed {
                let renew = |tag| self.renew(now, request, tag);
                reply.changes = omitted.into_iter().filter_map(renew).collect();
            }
        }
        reply
    }
}
