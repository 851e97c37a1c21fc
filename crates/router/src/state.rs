//! What a router process knows and counts.

use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use wagtailmoor_admission::{
    ColdGate, CustomerLimits, LimitIssuer, LimitSettings, TargetPicker, TargetSpeeds,
};
use wagtailmoor_core::{
    BackEndId, Clock, Incarnation, Instant, NodeId, PartsPerMillion, RowVersion, ShardKey,
    SortedVec, TargetId,
};
use wagtailmoor_dispatch::{CrashLedger, CrashSettings, LedgerVersion, UnansweredRequests};
use wagtailmoor_limits::RetryBudget;
use wagtailmoor_ranges::{AssignmentTable, EndedTargets, Granter, RangeShare};
use wagtailmoor_site::{Registry, SiteConfig};
use wagtailmoor_telemetry::Event;

use crate::NodeAddress;
use crate::admitted_shares::AdmittedShares;
use crate::boot_clock::BootClock;
use crate::change_source::ChangeSource;
use crate::lead::Lead;
use crate::leader_lease::LeaderLease;
use crate::node_settings::NodeSettings;
use crate::peer_service::LeaderSeen;
use crate::row_cache::RowCache;
use crate::stats::Stats;

/// Distinct losses after which a request counts as one that crashes targets.
const LOSSES_TO_REFUSE: usize = 2;

/// The same for a request that was answered recently. Frequent requests are often in flight at a
/// target that another request crashes.
const LOSSES_TO_REFUSE_ANSWERED: usize = 4;

/// Part of the site's share of further attempts that a node uses, in percent. The site counts over
/// all nodes in windows that slide, so a part is left for what nodes cannot see of each other.
const RETRY_SHARE_USED_PERCENT: u32 = 60;

/// Part of the slack of customers' limits used as additional burst, in percent; the rest covers
/// demand that moves between nodes before their allowances follow.
const BURST_SLACK_USED_PERCENT: u32 = 50;

/// What a router process knows and counts.
pub(crate) struct RouterState {
    pub(crate) config: Option<SiteConfig>,
    pub(crate) registry: Registry,
    pub(crate) tables: SortedVec<BackEndId, AssignmentTable>,
    pub(crate) picker: TargetPicker,
    pub(crate) customers: CustomerLimits,
    pub(crate) cold: ColdGate,
    pub(crate) ledger: CrashLedger,
    /// Requests whose targets did not answer, in case these turn out to have ended.
    pub(crate) unanswered: UnansweredRequests,
    /// What this node knows of the requests that the leader refuses.
    pub(crate) suspects_known: LedgerVersion,
    pub(crate) budgets: SortedVec<BackEndId, RetryBudget>,
    pub(crate) key_counts: SortedVec<BackEndId, SortedVec<ShardKey, u32>>,
    pub(crate) rows: RowCache,
    /// Version of the list of nodes; the leader raises it with each change.
    pub(crate) nodes_version: u64,
    pub(crate) lease: LeaderLease,
    /// Ranges of which only a part of the requests is sent to their owners.
    pub(crate) admitted: AdmittedShares,
    /// The same as this process finds it out while it leads, and when.
    pub(crate) shares: SortedVec<BackEndId, Vec<RangeShare>>,
    pub(crate) shares_at: SortedVec<BackEndId, Instant>,
    pub(crate) granters: SortedVec<BackEndId, Granter>,
    /// Versions of the rows that the granters stored last.
    pub(crate) table_versions: SortedVec<BackEndId, RowVersion>,
    /// Speeds of targets; used only while this process leads.
    pub(crate) speeds: TargetSpeeds,
    /// When this process became the leader.
    pub(crate) leading_since: Instant,
    /// Divides customers' limits; used only while this process leads.
    pub(crate) issuer: LimitIssuer,
    /// Nodes that reported to this process as the leader.
    pub(crate) reporters: SortedVec<NodeId, NodeAddress>,
    /// Raised with each change of the reporters; starts at a random value, so that lists of
    /// different leaders have different versions.
    pub(crate) reporters_version: u64,
    /// Which targets have ended, for sure; used only while this process leads.
    pub(crate) ended: EndedTargets,
    pub(crate) leader_heard: Instant,
    /// When a call that this node made to the store was last answered.
    pub(crate) store_reached: Instant,
    /// Whether the leader cannot renew its lease.
    pub(crate) leader_troubled: bool,
    /// When the store last answered for each table.
    pub(crate) tables_heard: SortedVec<&'static str, Instant>,
    /// Where this node learns of changes, and how old what it knows is.
    pub(crate) source: ChangeSource,
    /// The table that is asked for while the store is away.
    pub(crate) store_down: Option<&'static str>,
    pub(crate) stopping: bool,
    pub(crate) random: SmallRng,
    pub(crate) stats: Stats,
}

/// The state of a process with what wakes its loops.
pub(crate) struct SharedState {
    pub(crate) settings: NodeSettings,
    clock: BootClock,
    state: RefCell<RouterState>,
    /// Woken when owners or targets change.
    pub(crate) routes_changed: Notify,
    /// Woken when the granter has something to do.
    pub(crate) granter_due: Notify,
}

/// The state as the loops of a process share it.
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
        // Only when a whole site starts do all targets register at once, and each would wake every
        // node that waits at the store.
        let store_heard = if settings.first_start { now } else { Instant::default() };
        let source = ChangeSource::new(settings.address(), settings.seeds.clone(), store_heard);
        let lease = LeaderLease::new(settings.node.clone(), settings.incarnation, settings.peers);
        let state = RouterState {
            config: None,
            registry: Registry::default(),
            tables: SortedVec::new(),
            picker: TargetPicker::default(),
            customers: CustomerLimits::new(limits),
            cold: ColdGate::default(),
            ledger: CrashLedger::new(crash_settings).with_id(seed),
            unanswered: UnansweredRequests::default(),
            suspects_known: LedgerVersion::default(),
            budgets: SortedVec::new(),
            key_counts: SortedVec::new(),
            rows: RowCache::default(),
            nodes_version: 0,
            lease,
            admitted: AdmittedShares::default(),
            shares: SortedVec::new(),
            shares_at: SortedVec::new(),
            granters: SortedVec::new(),
            table_versions: SortedVec::new(),
            speeds: TargetSpeeds::default(),
            leading_since: now,
            issuer: LimitIssuer::new(limits),
            reporters: SortedVec::new(),
            reporters_version: seed << 16,
            ended: EndedTargets::default(),
            leader_heard: Instant::default(),
            store_reached: Instant::default(),
            leader_troubled: false,
            tables_heard: SortedVec::new(),
            source,
            store_down: None,
            stopping: false,
            random: SmallRng::seed_from_u64(seed),
            stats: Stats::default(),
        };
        Rc::new(Self {
            settings,
            clock,
            state: RefCell::new(state),
            routes_changed: Notify::new(),
            granter_due: Notify::new(),
        })
    }

    /// Returns the present instant.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Borrows the state; never held across an await.
    pub(crate) fn read(&self) -> Ref<'_, RouterState> {
        self.state.borrow()
    }

    /// Borrows the state for change; never held across an await.
    pub(crate) fn write(&self) -> RefMut<'_, RouterState> {
        self.state.borrow_mut()
    }
}

impl RouterState {
    /// Returns who leads, as this node knows it.
    pub(crate) fn lead(&self, now: Instant) -> Lead {
        let own = self.lease.authority(now).is_some();
        Lead { own, address: self.lease.leader().map(|row| row.address) }
    }

    /// Returns whether this node is to follow the store itself.
    pub(crate) fn follows_store(&self, now: Instant) -> bool {
        self.source.follows_store(now, self.lead(now))
    }

    /// Returns whether clients can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping && self.config.is_some()
    }

    /// Counts a request on a key that its customer's limit admits; others load no target.
    pub(crate) fn count_key(&mut self, back_end: &BackEndId, key: ShardKey) {
        let counts = self.key_counts.get_or_insert_with(back_end.clone(), Default::default);
        *counts.get_or_insert_with(key, || 0) += 1;
    }

    /// Returns the leader as this node knows it, to tell another one.
    pub(crate) fn leader_seen(&self) -> Option<LeaderSeen> {
        self.lease.seen().map(|(row, version)| LeaderSeen { row, version })
    }

    /// Takes the leader as another node knows it.
    pub(crate) fn see_leader(&mut self, now: Instant, seen: Option<LeaderSeen>) {
        if let Some(LeaderSeen { row, version }) = seen {
            self.lease.see(now, Some((row, version)));
            self.assume_nodes(now);
        }
    }

    /// Takes the number of nodes from the leader's row, for the time without an issuer.
    pub(crate) fn assume_nodes(&mut self, now: Instant) {
        self.customers.assume_nodes(now, self.lease.nodes());
    }

    /// Drops targets that stayed missing, with what is known of them.
    pub(crate) fn drop_gone(&mut self, now: Instant) {
        for target in self.registry.expire(now) {
            self.picker.forget(&target);
            self.cold.forget(&target);
        }
    }

    /// Counts the requests that a target had when it ended as lost with it.
    pub(crate) fn note_ended(&mut self, now: Instant, target: &TargetId, incarnation: Incarnation) {
        for fingerprint in self.unanswered.take_exited(now, target, incarnation) {
            let crashes = self.ledger.record_loss(now, fingerprint, target, incarnation);
            self.stats.count("target-ended-silently");
            Event::new("target-ended-silently")
                .field("target", target)
                .field("incarnation", incarnation)
                .field("fingerprint", fingerprint)
                .field("refused_from_now", crashes)
                .field("losses", self.ledger.losses(fingerprint))
                .warn();
        }
    }

    /// Returns the retry budget of a back end.
    pub(crate) fn budget(
        &mut self,
        back_end: &BackEndId,
        share: PartsPerMillion,
    ) -> &mut RetryBudget {
        self.budgets.get_or_insert_with(back_end.clone(), || {
            let used = share.get() / 100 * RETRY_SHARE_USED_PERCENT;
            RetryBudget::new(PartsPerMillion::new(used)).with_floor(0)
        })
    }
}
