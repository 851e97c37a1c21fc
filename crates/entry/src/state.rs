//! State machines of an entry process.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use wagtailmoor_configuration::Propagation;
use wagtailmoor_core::{BackEndId, CustomerId, Incarnation, Instant, NodeId, SortedVec, ZoneId};
use wagtailmoor_dispatch::{
    ClaimId, CrashLedger, CrashSettings, RecordKeeper, RecordRefusal, RecordSettings,
};
use wagtailmoor_lease::{Candidate, LeaseSettings};
use wagtailmoor_limits::{CreditHolder, CreditSettings, PermitHolder, QueueLimits};
use wagtailmoor_membership::{Liveness, MemberRecord, Membership, RecordState, SeedAddress};
use wagtailmoor_ownership::{Controller, OwnershipSettings, RouteTable};
use wagtailmoor_settings::EntrySettings;

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::known_controllers::KnownControllers;
use crate::zone_role::ZoneRole;

/// Requests in progress, and requests finished since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) in_progress: u32,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
}

/// State machines of an entry process and the data that they share.
pub(crate) struct State {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) random: ChaCha8Rng,
    pub(crate) stopping: bool,
    pub(crate) propagation: Propagation,
    pub(crate) membership: Membership,
    pub(crate) directory: Directory,
    pub(crate) host_list_received: bool,
    /// Send time of the newest request that the store answered.
    pub(crate) store_last_contact: Option<Instant>,
    /// Roles by zone; the own zone is always present.
    pub(crate) roles: SortedVec<ZoneId, ZoneRole>,
    pub(crate) controllers: KnownControllers,
    pub(crate) routes: RouteTable,
    /// Send time of the newest answered pull of routes, by zone.
    pub(crate) routes_requested_at: SortedVec<ZoneId, Instant>,
    pub(crate) credits: CreditHolder,
    pub(crate) permits: SortedVec<ZoneId, PermitHolder>,
    /// Whether a permit issuer has replied since targets were last assigned to waiting requests.
    pub(crate) permits_replied: bool,
    pub(crate) back_ends: SortedVec<BackEndId, BackEnd>,
    pub(crate) ledger: CrashLedger,
    pub(crate) records: RecordKeeper<ChaCha8Rng>,
    pub(crate) pending_claims: SortedVec<ClaimId, oneshot::Sender<Result<(), RecordRefusal>>>,
    pub(crate) claims_by_attempt: SortedVec<wagtailmoor_dispatch::AttemptId, ClaimId>,
    pub(crate) customers: Vec<CustomerId>,
    pub(crate) totals: Totals,
}

impl State {
    pub(crate) fn new(
        settings: EntrySettings,
        control: SocketAddr,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        let own = MemberRecord {
            node: settings.node.clone(),
            address: control,
            zone: settings.zone.clone(),
            rack: settings.rack.clone(),
            incarnation,
            state: RecordState::Reachable,
            age_ms: 0,
        };
        let seeds =
            settings.peers.iter().map(|address| SeedAddress { address: *address }).collect();
        let (node, zone) = (settings.node.clone(), settings.zone.clone());
        let own_zone = zone.clone();
        let random = || ChaCha8Rng::seed_from_u64(rand::random());
        let mut state = Self {
            incarnation,
            random: random(),
            stopping: false,
            propagation: Propagation::default(),
            membership: Membership::new(own, seeds, rand::random(), now),
            directory: Directory::default(),
            host_list_received: false,
            store_last_contact: None,
            roles: SortedVec::new(),
            controllers: KnownControllers::default(),
            routes: RouteTable::new(),
            routes_requested_at: SortedVec::new(),
            credits: CreditHolder::new(
                now,
                node.clone(),
                incarnation,
                zone,
                CreditSettings::default(),
            ),
            permits: SortedVec::new(),
            permits_replied: false,
            back_ends: SortedVec::new(),
            ledger: CrashLedger::new(CrashSettings::default()),
            records: RecordKeeper::new(node, RecordSettings::default(), random()),
            pending_claims: SortedVec::new(),
            claims_by_attempt: SortedVec::new(),
            customers: Vec::new(),
            totals: Totals::default(),
            settings,
        };
        state.add_role(now, &own_zone);
        state
    }

    pub(crate) fn queue_limits(&self) -> QueueLimits {
        QueueLimits {
            total: self.settings.front.queue_max as usize,
            per_customer: self.settings.front.queue_customer_max as usize,
        }
    }

    /// Adds the role for a zone. This node becomes a candidate for the zone's controller lease.
    pub(crate) fn add_role(&mut self, now: Instant, zone: &ZoneId) {
        if self.roles.contains_key(zone) {
            return;
        }
        let (node, incarnation) = (self.settings.node.clone(), self.incarnation);
        let create = match *zone == self.settings.zone {
            true => Candidate::new,
            false => Candidate::for_other_zone,
        };
        let settings = lease_settings(&self.settings);
        let candidate = create(node, zone.clone(), incarnation, settings, now);
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let ownership = Controller::new(zone.clone(), ownership_settings(), random);
        self.roles.insert(zone.clone(), ZoneRole::new(candidate, ownership));
    }

    /// Returns the role for this node's own zone.
    pub(crate) fn own_role(&mut self) -> &mut ZoneRole {
        let role = self.roles.get_mut(&self.settings.zone);
        role.expect("the role for the own zone is always present")
    }

    /// Returns whether this node is the controller of its own zone.
    pub(crate) fn is_controller(&self, now: Instant) -> bool {
        self.roles.get(&self.settings.zone).is_some_and(|role| role.is_controller(now))
    }

    /// Returns the control address of a node.
    pub(crate) fn address(&self, now: Instant, node: &NodeId) -> Option<SocketAddr> {
        let own = self.membership.own();
        match *node == own.node {
            true => Some(own.address),
            false => self
                .membership
                .members(now)
                .find(|(record, _)| record.node == *node)
                .map(|(record, _)| record.address),
        }
    }

    /// Returns the live nodes of a zone, this one included.
    pub(crate) fn nodes_of(&self, now: Instant, zone: &ZoneId) -> Vec<NodeId> {
        let own = self.membership.own();
        let others = self
            .membership
            .members(now)
            .filter(|(record, liveness)| record.zone == *zone && *liveness == Liveness::Live)
            .map(|(record, _)| record.node.clone());
        let this = (own.zone == *zone).then(|| own.node.clone());
        this.into_iter().chain(others).collect()
    }

    /// Returns the zones of the configuration and this node's own zone.
    pub(crate) fn zones(&self) -> Vec<ZoneId> {
        let configured = self.propagation.configuration();
        let mut zones: Vec<ZoneId> = configured.zones().map(|(zone, _)| zone.clone()).collect();
        if !zones.contains(&self.settings.zone) {
            zones.push(self.settings.zone.clone());
        }
        zones
    }
}

fn lease_settings(settings: &EntrySettings) -> LeaseSettings {
    let tenure_ms = settings.tenure_ms.unwrap_or(LeaseSettings::default().tenure_ms);
    LeaseSettings { tenure_ms, ..LeaseSettings::default() }
}

fn ownership_settings() -> OwnershipSettings {
    // All targets that check grants support renewal by reference; see docs/interfaces.md.
    OwnershipSettings { renew_by_reference: true, ..OwnershipSettings::default() }
}
