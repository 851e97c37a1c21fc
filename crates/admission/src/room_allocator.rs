//! Divides the room at full targets among the nodes.

use std::time::Duration;

use wagtailmoor_core::{BackEndId, Instant, NodeId, PartsPerMillion, SortedVec, TargetId};
use wagtailmoor_site::Target;

use crate::event_rate::EventRate;
use crate::holding_limit::HoldingLimit;
use crate::{MilliRequests, ReportTiming, RoomReply, RoomReport, TargetOccupancy, TargetRoom};

/// Part of its limit up to which a target is filled. The rest covers requests that nodes sent since
/// their last report.
const FILL_RATIO: f64 = 0.7;

/// Part of the free room that is given out in an interval. Requests permitted earlier may not have
/// been reported yet, and would be permitted again.
const CORRECTION: f64 = 0.4;

/// Part of its limit above which a target is nearly full, so that nodes are told of it.
const NEARLY_FULL_RATIO: f64 = 0.5;

/// Part of the limits of its targets above which a back end is short of room. Below it, requests of
/// one interval fit into the targets even if all nodes choose the same ones.
const SHORT_RATIO: f64 = 0.5;

/// Nodes report on a back end for this long after a rejection or a request without an answer, and
/// hedge requests to it for this long after the latter.
const SIGNAL_LIFETIME: Duration = Duration::from_secs(60);

/// Requests of all nodes together in an interval to a target that has no room, to find out whether
/// it answers again.
const PROBES: f64 = 0.25;

/// Targets named in the replies to all nodes within one interval; fewer to each on a larger site.
/// 8,000 entries of 30 bytes in 300 ms are 6.4 Mbit/s.
const ENTRIES_MAX: usize = 8_000;

/// Minimum number of targets named in one reply.
const REPLY_ENTRIES_MIN: usize = 16;

/// A target with requests of any node, or with a limit.
#[derive(Debug)]
struct TargetState {
    back_end: BackEndId,
    slots: f64,
    /// Sum over the nodes.
    unanswered: u32,
    limit: HoldingLimit,
    arrived: EventRate,
    answered: EventRate,
}

/// The last report of a node.
#[derive(Debug, Default)]
struct NodeState {
    reported_at: Instant,
    unanswered: Vec<(TargetId, u32)>,
    arrived: SortedVec<BackEndId, EventRate>,
}

/// Sums the unanswered requests of all nodes by target on the leader, learns what targets can hold,
/// and divides what full targets have left by the demand of the nodes.
///
/// Its state is bounded by the entries of the nodes' last reports: a node reports only targets that
/// have not answered it.
#[derive(Debug, Default)]
pub struct RoomAllocator {
    targets: SortedVec<TargetId, TargetState>,
    nodes: SortedVec<NodeId, NodeState>,
    arrived: SortedVec<BackEndId, EventRate>,
    /// When a target of each back end last rejected or did not answer a request.
    signalled_at: SortedVec<BackEndId, Instant>,
    /// When a target of each back end last did not answer a request.
    silent_at: SortedVec<BackEndId, Instant>,
    pruned_at: Instant,
}

impl RoomAllocator {
    /// Records the report of a node. `find` returns a registered target.
    pub fn record<'t>(
        &mut self,
        now: Instant,
        node: &NodeId,
        report: &RoomReport,
        find: impl Fn(&TargetId) -> Option<&'t Target>,
    ) {
        self.prune(now);
        let state = self.nodes.get_or_insert_with(node.clone(), NodeState::default);
        state.reported_at = now;
        let previous = std::mem::take(&mut state.unanswered);
        for arrivals in &report.back_ends {
            let (back_end, arrived) = (&arrivals.back_end, arrivals.arrived);
            state
                .arrived
                .get_or_insert_with(back_end.clone(), EventRate::default)
                .add(now, arrived);
            self.arrived.get_or_insert_with(back_end.clone(), EventRate::default).add(now, arrived);
        }
        self.subtract(&previous);
        let mut unanswered = Vec::new();
        for occupancy in &report.targets {
            if let Some(target) = find(&occupancy.target) {
                unanswered.push((occupancy.target.clone(), occupancy.unanswered.get()));
                self.add(now, target, occupancy);
            }
        }
        if let Some(state) = self.nodes.get_mut(node) {
            state.unanswered = unanswered;
        }
    }

    fn add(&mut self, now: Instant, target: &Target, occupancy: &TargetOccupancy) {
        let slots = f64::from(target.slots.get().max(1));
        let state = self.targets.get_or_insert_with(target.target.clone(), || TargetState {
            back_end: target.back_end.clone(),
            slots,
            unanswered: 0,
            limit: HoldingLimit::default(),
            arrived: EventRate::default(),
            answered: EventRate::default(),
        });
        state.slots = slots;
        state.unanswered += occupancy.unanswered.get();
        state.arrived.add(now, occupancy.arrived);
        state.answered.add(now, occupancy.answered);
        if occupancy.silent > 0 {
            self.silent_at.insert(target.back_end.clone(), now);
        }
        if occupancy.held_max.get() > 0 {
            state.limit.on_held(now, f64::from(occupancy.held_max.get()));
        }
        if occupancy.rejected > 0 || occupancy.silent > 0 {
            // A node alone does not know how many requests the target has, so the others are asked
            // even if this signal sets no limit.
            self.signalled_at.insert(target.back_end.clone(), now);
            state.limit.on_signal(now, slots, f64::from(state.unanswered));
        }
    }

    /// Returns the reply to a node: the fullest targets, and what the node may send to them.
    /// `is_keyed` tells whether the keys of a back end have owners.
    pub fn reply(
        &self,
        now: Instant,
        node: &NodeId,
        is_keyed: impl Fn(&BackEndId) -> bool,
    ) -> RoomReply {
        let tracked: Vec<BackEndId> = self.signalled_at.keys().cloned().collect();
        let is_short = |back_end: &&BackEndId| self.is_short(now, back_end);
        let short: Vec<BackEndId> = tracked.iter().filter(is_short).cloned().collect();
        let nodes = self.nodes.len().max(1);
        let mut full: Vec<(f64, TargetRoom)> = self
            .targets
            .iter()
            .filter_map(|(target, state)| {
                // Requests that full targets of a pooled back end do not get go to its others, so
                // these are limited too.
                let is_short = short.binary_search(&state.back_end).is_ok();
                let named = is_short && !is_keyed(&state.back_end);
                self.room_of(now, node, target, state, named)
            })
            .collect();
        full.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        full.truncate((ENTRIES_MAX / nodes).max(REPLY_ENTRIES_MIN));
        let silent = self.silent_at.keys().cloned().collect();
        RoomReply {
            tracked,
            short,
            silent,
            targets: full.into_iter().map(|(_, room)| room).collect(),
        }
    }

    /// Returns whether the targets of a back end that have limits are short of room.
    fn is_short(&self, now: Instant, back_end: &BackEndId) -> bool {
        let own = self.targets.values().filter(|state| state.back_end == *back_end);
        let (limits, levels) = own
            .filter_map(|state| Some((state.limit.get(now)?, f64::from(state.unanswered))))
            .fold((0.0, 0.0), |(limits, levels), (limit, level)| (limits + limit, levels + level));
        levels > SHORT_RATIO * limits
    }

    /// Returns how full a target is and what a node may send to it, or `None` if it has room and
    /// need not be `named`.
    fn room_of(
        &self,
        now: Instant,
        node: &NodeId,
        target: &TargetId,
        state: &TargetState,
        named: bool,
    ) -> Option<(f64, TargetRoom)> {
        let limit = state.limit.get(now)?;
        let interval_s = ReportTiming::interval(self.nodes.len()).as_secs_f64();
        let level = f64::from(state.unanswered);
        let answered = state.answered.per_s(now) * interval_s;
        let arriving = state.arrived.per_s(now) * interval_s;
        let free = (CORRECTION * (FILL_RATIO * limit - level) + answered).max(PROBES);
        if !named && level < NEARLY_FULL_RATIO * limit && arriving <= free {
            return None;
        }
        let room = TargetRoom {
            target: target.clone(),
            permitted: MilliRequests::from_requests(free * self.demand_share(now, node, state)),
            admitted: PartsPerMillion::from_share((free / arriving.max(1e-6)).min(1.0)),
        };
        Some((level / limit, room))
    }

    /// Returns a node's share of the demand on the back end of a target. One node sees a single
    /// target once in seconds, which says little of its demand there.
    fn demand_share(&self, now: Instant, node: &NodeId, state: &TargetState) -> f64 {
        let own = self.nodes.get(node).and_then(|node| node.arrived.get(&state.back_end));
        let own = own.map_or(0.0, |rate| rate.per_s(now));
        let all = self.arrived.get(&state.back_end).map_or(0.0, |rate| rate.per_s(now));
        let equal = 1.0 / self.nodes.len().max(1) as f64;
        // One request a second at the equal share, so that a node without recent requests can send
        // one.
        ((own + equal) / (all + 1.0)).min(1.0)
    }

    /// Returns the number of targets with a limit, and of those that are nearly full.
    pub fn limited_targets(&self, now: Instant) -> (usize, usize) {
        let levels = self.targets.values().filter_map(|state| {
            state.limit.get(now).map(|limit| f64::from(state.unanswered) / limit)
        });
        levels.fold((0, 0), |(limited, full), level| {
            (limited + 1, full + usize::from(level >= NEARLY_FULL_RATIO))
        })
    }

    /// Drops the state at the end of a term.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops the reports of nodes that stopped reporting, and targets without requests and limit.
    fn prune(&mut self, now: Instant) {
        if now < self.pruned_at + ReportTiming::REPORT_LIFETIME / 4 {
            return;
        }
        self.pruned_at = now;
        let mut expired = Vec::new();
        self.nodes.retain(|_, state| {
            let is_live = now < state.reported_at + ReportTiming::REPORT_LIFETIME;
            if !is_live {
                expired.append(&mut state.unanswered);
            }
            is_live
        });
        self.subtract(&expired);
        self.signalled_at.retain(|_, at| now < *at + SIGNAL_LIFETIME);
        self.silent_at.retain(|_, at| now < *at + SIGNAL_LIFETIME);
        self.targets.retain(|_, state| state.unanswered > 0 || state.limit.is_known(now));
    }

    fn subtract(&mut self, unanswered: &[(TargetId, u32)]) {
        for (target, count) in unanswered {
            if let Some(state) = self.targets.get_mut(target) {
                state.unanswered = state.unanswered.saturating_sub(*count);
            }
        }
    }
}
