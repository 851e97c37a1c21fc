//! The state that the loops of a router process share.

use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use wagtailmoor_admission::{
    AdmissionController, AdmissionGate, ColdGate, CustomerLimits, DemandCounter, LimitIssuer,
    LimitSettings, RoomAllocator, RoomGate, TargetPicker, TargetSpeeds,
};
use wagtailmoor_core::{
    BackEndId, Clock, ConfigVersion, Incarnation, Instant, NodeId, PartsPerMillion, Priority,
    ShardKey, SortedVec, StoreEra, TargetId,
};
use wagtailmoor_dispatch::{CrashLedger, CrashSettings, LedgerVersion, UnansweredRequests};
use wagtailmoor_limits::RetryBudget;
use wagtailmoor_ranges::AssignmentTable;
use wagtailmoor_site::{Registry, SiteConfig};
use wagtailmoor_telemetry::Event;

use crate::NodeAddress;
use crate::boot_clock::BootClock;
use crate::decision_gate::{Confirmation, DecisionGate};
use crate::granters::Granters;
use crate::leader_lease::LeaderLease;
use crate::leader_view::LeaderView;
use crate::node_settings::NodeSettings;
use crate::peer_service::ObservedLeader;
use crate::replica::Replica;
use crate::rollouts::Rollouts;
use crate::split::LocalShare;
use crate::stats::Stats;
use crate::target_choice::DEFAULT_LATENCY;
use crate::zone_traffic::ZoneTraffic;

/// Distinct losses of targets after which a request is refused as one that crashes targets.
const LOSSES_TO_REFUSE: usize = 2;

/// Replaces `LOSSES_TO_REFUSE` for a request that was answered recently. Frequent requests are
/// often in flight at a target that another request crashes.
const LOSSES_TO_REFUSE_ANSWERED: usize = 4;

/// Part of the site's retry share that a node uses, in percent. The site counts retries in sliding
/// windows, which the seconds of a node do not match exactly.
const RETRY_SHARE_USED_PERCENT: u32 = 90;

/// Part of the slack of customers' limits that is used as additional burst, in percent. The rest
/// covers demand that moves between nodes before their allowances are adjusted.
const BURST_SLACK_USED_PERCENT: u32 = 50;

/// The mutable state of a router process.
pub(crate) struct RouterState {
    pub(crate) config: Option<SiteConfig>,
    pub(crate) registry: Registry,
    pub(crate) tables: SortedVec<BackEndId, AssignmentTable>,
    /// Share of the requests to each back end that are run in this node's zone.
    pub(crate) local_shares: SortedVec<BackEndId, LocalShare>,
    pub(crate) picker: TargetPicker,
    /// What this node may send to full targets.
    pub(crate) room: RoomGate,
    pub(crate) customers: CustomerLimits,
    pub(crate) cold_gate: ColdGate,
    pub(crate) ledger: CrashLedger,
    /// Requests that their targets did not answer; counted as losses if the targets turn out to
    /// have exited.
    pub(crate) unanswered: UnansweredRequests,
    /// Version of the leader's crash ledger that this node has merged.
    pub(crate) ledger_version: LedgerVersion,
    pub(crate) budgets: SortedVec<BackEndId, RetryBudget>,
    pub(crate) key_counts: SortedVec<BackEndId, SortedVec<(ShardKey, Priority), u32>>,
    /// Requests for pooled back ends since the last report.
    pub(crate) demand: DemandCounter,
    /// This node's copy of the store's tables.
    pub(crate) replica: Replica,
    /// Version of the list of nodes; the leader raises it with each change.
    pub(crate) nodes_version: u64,
    pub(crate) lease: LeaderLease,
    /// Admitted shares of overloaded back ends, as the leader sent them.
    pub(crate) admission_gate: AdmissionGate,
    /// Computes the admitted shares; used only while this process leads.
    pub(crate) admission: AdmissionController,
    /// Assign ranges while this process leads.
    pub(crate) granters: Granters,
    /// Speeds of targets; used only while this process leads.
    pub(crate) speeds: TargetSpeeds,
    /// Divides the room at full targets; used only while this process leads.
    pub(crate) room_allocator: RoomAllocator,
    /// When this process became the leader.
    pub(crate) leading_since: Instant,
    /// Divides customers' limits; used only while this process leads.
    pub(crate) issuer: LimitIssuer,
    /// Nodes that reported to this process as the leader.
    pub(crate) reporters: SortedVec<NodeId, NodeAddress>,
    /// Whether the reporters changed since their version was last raised.
    pub(crate) reporters_changed: bool,
    /// Raised after changes of the reporters. Starts at a random value, so that lists of different
    /// leaders have different versions.
    pub(crate) reporters_version: u64,
    /// When the reporters were last checked for changes.
    pub(crate) reporters_checked_at: Instant,
    /// When the leader last answered a report of this node.
    pub(crate) leader_last_contact: Instant,
    /// When the store last answered a read or write of the leader's row by this node.
    pub(crate) store_last_contact: Instant,
    /// Whether the leader has failed to renew its lease in time.
    pub(crate) leader_renewal_overdue: bool,
    /// When requests that arrive during the shutdown must be answered; `None` unless this process
    /// is shutting down.
    pub(crate) shutdown_deadline: Option<Instant>,
    /// Versions of targets; `None` if rollouts are off.
    pub(crate) rollouts: Option<Rollouts>,
    pub(crate) random: SmallRng,
    pub(crate) stats: Stats,
    pub(crate) traffic: ZoneTraffic,
}

/// The state of a process, its settings, and the notifications that wake its loops.
pub(crate) struct SharedState {
    pub(crate) settings: NodeSettings,
    clock: BootClock,
    state: RefCell<RouterState>,
    /// Notified when rows change, and when this node can no longer relay changes.
    pub(crate) routes_changed: Notify,
    /// Notified when a source has confirmed this node's data, or requests no longer wait for that.
    pub(crate) data_confirmed: Notify,
    /// Notified when the store must be called at once.
    pub(crate) data_needed: Notify,
    /// Notified when the grant loop has something to do.
    pub(crate) assigner_due: Notify,
}

/// A handle to the state; each loop of the process has one.
pub(crate) type Shared = Rc<SharedState>;

impl SharedState {
    pub(crate) fn new(settings: NodeSettings) -> Shared {
        let clock = BootClock;
        let now = clock.now();
        let seed = settings.incarnation.get() ^ now.as_us();
        let limits = LimitSettings {
            burst_slack: settings.limits.burst_slack * BURST_SLACK_USED_PERCENT / 100,
            ..LimitSettings::default()
        };
        let crash_settings = CrashSettings {
            losses_to_refuse: LOSSES_TO_REFUSE,
            losses_to_refuse_answered: LOSSES_TO_REFUSE_ANSWERED,
            ..CrashSettings::default()
        };
        // At the first start of a site all targets register at once, and each registration wakes
        // every node that waits at the store. A node then does not call the store at once.
        let synced_to = if settings.first_start { now } else { Instant::default() };
        let gate = DecisionGate::new(settings.apply_time, settings.contact_time);
        let (address, seeds) = (settings.address(), settings.seeds.clone());
        let replica = Replica::new(address, seeds, synced_to, gate);
        let lease = LeaderLease::new(settings.node.clone(), settings.incarnation, settings.peers);
        let state = RouterState {
            config: None,
            registry: Registry::default(),
            tables: SortedVec::new(),
            local_shares: SortedVec::new(),
            picker: TargetPicker::default(),
            room: RoomGate::default(),
            customers: CustomerLimits::new(limits),
            cold_gate: ColdGate::default(),
            ledger: CrashLedger::new(crash_settings).with_id(seed),
            unanswered: UnansweredRequests::default(),
            ledger_version: LedgerVersion::default(),
            budgets: SortedVec::new(),
            key_counts: SortedVec::new(),
            demand: DemandCounter::default(),
            replica,
            nodes_version: 0,
            lease,
            admission_gate: AdmissionGate::default(),
            admission: AdmissionController::default(),
            granters: Granters::default(),
            speeds: TargetSpeeds::default(),
            room_allocator: RoomAllocator::default(),
            leading_since: now,
            issuer: LimitIssuer::new(limits),
            reporters: SortedVec::new(),
            reporters_changed: false,
            reporters_version: seed << 16,
            reporters_checked_at: Instant::default(),
            leader_last_contact: Instant::default(),
            store_last_contact: Instant::default(),
            leader_renewal_overdue: false,
            shutdown_deadline: None,
            rollouts: settings.rollouts.map(Rollouts::new),
            random: SmallRng::seed_from_u64(seed),
            stats: Stats::default(),
            traffic: ZoneTraffic::default(),
        };
        Rc::new(Self {
            settings,
            clock,
            state: RefCell::new(state),
            routes_changed: Notify::new(),
            data_confirmed: Notify::new(),
            data_needed: Notify::new(),
            assigner_due: Notify::new(),
        })
    }

    /// Returns the current instant.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Borrows the state; never held across an await.
    pub(crate) fn read(&self) -> Ref<'_, RouterState> {
        self.state.borrow()
    }

    /// Borrows the state mutably; never held across an await.
    pub(crate) fn write(&self) -> RefMut<'_, RouterState> {
        self.state.borrow_mut()
    }
}

impl RouterState {
    /// Returns the leader as this node knows it.
    pub(crate) fn leader_view(&self, now: Instant) -> LeaderView {
        let is_self = self.lease.authority(now).is_some();
        LeaderView { is_self, address: self.lease.leader().map(|row| row.address) }
    }

    /// Returns whether this process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown_deadline.is_some()
    }

    /// Returns whether this node accepts clients: it has a configuration and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.is_some()
    }

    /// Returns the version of the configuration in force; zero without one.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion::default(), SiteConfig::version)
    }

    /// Returns whether requests may be decided by this node's data. A node without a configuration
    /// refuses requests at once.
    pub(crate) fn confirmation(&self, now: Instant) -> Confirmation {
        match &self.config {
            Some(_) => self.replica.confirmation(now),
            None => Confirmation::Current,
        }
    }

    /// Counts a request on a key.
    pub(crate) fn count_key(&mut self, back_end: &BackEndId, key: ShardKey, priority: Priority) {
        let counts = self.key_counts.get_or_insert_with(back_end.clone(), Default::default);
        *counts.get_or_insert_with((key, priority), || 0) += 1;
    }

    /// Handles the era that an answer of the store or of another node stated.
    pub(crate) fn observe_era(&mut self, now: Instant, era: StoreEra) {
        if let Some(former) = self.lease.on_era(now, era) {
            let config = self.config.as_ref().map(|config| config.version());
            Event::new("store-restored")
                .field("era", era)
                .field("before", former)
                .field("store_age_ms", self.replica.age(now).as_millis())
                .field("leads", self.lease.authority(now).is_some())
                .optional("config", config)
                .warn();
            self.stats.count("store-restored");
        }
    }

    /// Returns the newest leader's row that this node knows, to relay it to other nodes.
    pub(crate) fn observed_leader(&self) -> Option<ObservedLeader> {
        self.lease.observed().map(|(row, version)| ObservedLeader { row, version })
    }

    /// Handles the leader's row as another node knows it.
    pub(crate) fn observe_leader(&mut self, now: Instant, observed: Option<ObservedLeader>) {
        if let Some(ObservedLeader { row, version }) = observed {
            self.observe_era(now, version.era());
            self.lease.observe(now, Some((row, version)));
            self.assume_nodes(now);
        }
    }

    /// Divides customers' limits by the number of nodes in the leader's row until a leader answers.
    pub(crate) fn assume_nodes(&mut self, now: Instant) {
        self.customers.assume_nodes(now, self.lease.nodes());
    }

    /// Returns the mean service time of a back end's targets, or the default without recent answers.
    pub(crate) fn mean_service_time(&self, now: Instant, back_end: &BackEndId) -> Duration {
        let all = self.registry.targets_of(back_end).map(|target| &target.target);
        self.speeds.mean_service_time(now, all).unwrap_or(DEFAULT_LATENCY)
    }

    /// Removes targets that have been missing for too long, with their measurements.
    pub(crate) fn remove_expired_targets(&mut self, now: Instant) {
        for target in self.registry.expire(now) {
            self.picker.remove(&target);
            self.cold_gate.remove(&target);
        }
    }

    /// Records a loss for each request that a target had not answered when it exited.
    pub(crate) fn on_target_exited(
        &mut self,
        now: Instant,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        for fingerprint in self.unanswered.take_exited(now, target, incarnation) {
            let refused_from_now = self.ledger.record_loss(now, fingerprint, target, incarnation);
            self.stats.count("target-ended-silently");
            Event::new("target-ended-silently")
                .field("target", target)
                .field("incarnation", incarnation)
                .field("fingerprint", fingerprint)
                .field("refused_from_now", refused_from_now)
                .field("losses", self.ledger.losses(fingerprint))
                .warn();
        }
    }

    /// Returns the retry budget of a back end, created on first use with `share` of its requests.
    pub(crate) fn budget(
        &mut self,
        back_end: &BackEndId,
        share: PartsPerMillion,
    ) -> &mut RetryBudget {
        self.budgets.get_or_insert_with(back_end.clone(), || {
            let used_ppm = share.get() / 100 * RETRY_SHARE_USED_PERCENT;
            RetryBudget::new(PartsPerMillion::new(used_ppm)).with_floor(0)
        })
    }
}
