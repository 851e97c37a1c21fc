//! Reports to the leader, and answers the reports of other nodes.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::sleep;
use wagtailmoor_admission::{ReportTiming, RoomReply, RoomReport};
use wagtailmoor_core::{Instant, NodeId};
use wagtailmoor_telemetry::Event;

use crate::admission_control;
use crate::granter::Granter;
use crate::peer_link::{PeerCall, PeerLink};
use crate::peer_service::{KeyCounts, LeaderReply, NodeReport};
use crate::state::{RouterState, Shared};
use crate::{rollouts, row_source};

/// Lower bound of the random factor of the report interval, so that nodes that start at once do not
/// all report at the same time.
const INTERVAL_JITTER_MIN: f64 = 0.8;

/// A node can lead if the store answered it within this time.
const STORE_CONTACT_AGE_MAX: Duration = Duration::from_millis(600);

/// A new leader collects reports for this long before it publishes the list of nodes.
const NODE_LIST_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time between two versions of the list of nodes. Each version is sent to all nodes, so
/// its bytes grow with the square of their number.
const NODE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reports to the leader until the process stops. The leader, and a node that knows no leader,
/// handle their own reports.
pub(crate) async fn report(shared: Shared, link: PeerLink) {
    loop {
        let interval = ReportTiming::interval(shared.read().replica.source().nodes());
        let jitter = shared.write().random.random_range(INTERVAL_JITTER_MIN..1.0);
        sleep(interval.mul_f64(jitter)).await;
        let now = shared.now();
        let leader = {
            let state = shared.read();
            let leads = state.lease.authority(now).is_some();
            state.lease.leader().filter(|_| !leads).map(|row| row.address)
        };
        let report = own_report(&shared, now);
        let used = report.used.clone();
        let reply = match leader {
            None => Some(answer_report(&shared, now, report)),
            Some(address) => link
                .report(address, report)
                .await
                .filter(|_| ReportTiming::is_in_time(now, shared.now())),
        };
        if !reply.as_ref().is_some_and(|reply| reply.leads) {
            shared.write().customers.restore_usage(used);
        }
        if let Some(reply) = reply {
            apply_reply(&shared, now, reply);
        }
    }
}

fn own_report(shared: &Shared, now: Instant) -> NodeReport {
    let settings = &shared.settings;
    let mut state = shared.write();
    let keys = std::mem::take(&mut state.key_counts)
        .into_iter()
        .map(|(back_end, keys)| KeyCounts { back_end, keys: keys.into_iter().collect() })
        .collect();
    let room = state.room.take_report(now);
    let controls_load = state.config.as_ref().is_some_and(|config| settings.controls_load(config));
    // Elsewhere the leader does not use them, and handles hundreds of reports a second.
    let demand = state.demand.take();
    let (demand, room) = match controls_load {
        true => (demand, room),
        false => (Vec::new(), RoomReport::default()),
    };
    NodeReport {
        from: settings.address(),
        nodes_version: state.nodes_version,
        can_lead: now.saturating_since(state.store_last_contact) < STORE_CONTACT_AGE_MAX,
        keys,
        demand,
        used: state.customers.take_usage(now),
        suspects: state.ledger.unconfirmed_reports(now),
        ledger_version: state.ledger_version,
        service: state.picker.take_observations(),
        rollouts: rollouts::take_reports(&mut state),
        newest_rows: state.replica.newest_rows(),
        room,
    }
}

/// Applies the reply to a report that was sent at `sent_at`. The leader counts the lifetime of what it
/// assigns from when it handled the report, so nodes count from before that.
fn apply_reply(shared: &Shared, sent_at: Instant, reply: LeaderReply) {
    let now = shared.now();
    let mut state = shared.write();
    state.ledger.merge(now, &reply.suspects.suspects);
    state.replica.hear(now, reply.newest_rows);
    let observed = reply.leader.as_ref().map(|leader| leader.version);
    state.observe_leader(now, reply.leader);
    state.leader_renewal_overdue = reply.renewal_overdue;
    if !reply.leads {
        if let Some(version) = observed {
            state.lease.record_lapsed(&reply.from, version);
        }
        return;
    }
    state.leader_last_contact = now;
    if state.ledger_version.ledger != reply.suspects.version.ledger {
        state.ledger.unconfirm_all();
    }
    state.ledger_version = reply.suspects.version;
    state.ledger.confirm_reports();
    if let Some(nodes) = reply.nodes {
        state.cold_gate.set_nodes(nodes.iter().map(|node| node.node.clone()).collect());
        state.replica.set_nodes(nodes);
        state.nodes_version = reply.nodes_version;
    }
    state.customers.apply_reply(sent_at, reply.allowances, reply.site_nodes);
    state.admission_gate.replace(sent_at, reply.shares);
    rollouts::apply(&mut state, now, reply.rollouts);
    let RouterState { room, random, .. } = &mut *state;
    room.apply_reply(now, reply.room, random);
}

/// Answers a report. Only the leader divides limits and counts keys.
fn answer_report(shared: &Shared, now: Instant, report: NodeReport) -> LeaderReply {
    let mut state = shared.write();
    let state = &mut *state;
    let renewal_overdue = state.lease.is_renewal_overdue(now);
    if renewal_overdue && report.can_lead {
        Event::new("leader-steps-down").field("reached_by", &report.from.node).warn();
        state.lease.step_down();
    }
    let leads = state.lease.authority(now).is_some();
    state.ledger.merge(now, &report.suspects);
    state.replica.hear(now, report.newest_rows);
    let mut reply = LeaderReply {
        leads,
        renewal_overdue,
        from: shared.settings.node.clone(),
        leader: state.observed_leader(),
        nodes_version: 0,
        nodes: None,
        site_nodes: 0,
        allowances: Vec::new(),
        shares: Vec::new(),
        suspects: state.ledger.refused_since(now, report.ledger_version),
        rollouts: Vec::new(),
        room: RoomReply::default(),
        newest_rows: state.replica.newest_rows(),
    };
    let controls_load =
        state.config.as_ref().is_some_and(|config| shared.settings.controls_load(config));
    if leads {
        for counts in &report.keys {
            for ((key, priority), requests) in &counts.keys {
                if let Some(Granter { assigner, .. }) = state.granters.get_mut(&counts.back_end) {
                    assigner.add_load(*key, *requests);
                }
                if controls_load {
                    state.admission.add_key_demand(
                        now,
                        &counts.back_end,
                        *key,
                        *priority,
                        *requests,
                    );
                }
            }
        }
        state.admission.add_demand(now, &report.demand);
        state.speeds.add_observations(now, &report.service);
        // Driven by reports, since the grant loop waits for the store.
        admission_control::update_pooled(state, now, &shared.settings);
        let node = report.from.node.clone();
        if controls_load {
            reply.room = answer_room(state, now, &node, &report.room);
        }
        let rules = || state.config.iter().flat_map(|config| config.customers());
        state.issuer.record_usage(now, &node, report.used, rules);
        let previous = state.reporters.insert(node.clone(), report.from.clone());
        state.reporters_changed |= previous.is_none_or(|previous| previous != report.from);
        reply.shares = state.admission.shares(now);
        reply.allowances = state.issuer.allowances(now, &node, rules());
        reply.site_nodes = state.issuer.nodes(now);
        reply.rollouts = rollouts::answer(state, now, &node, &report.rollouts);
        update_node_list(state, now);
        reply.nodes_version = state.reporters_version;
        // A new leader knows few nodes at first. With a list of only these, the wrong nodes would
        // become relays, candidates and senders to cold targets.
        let settled = now.saturating_since(state.leading_since) >= NODE_LIST_SETTLE_TIME;
        let outdated = settled && report.nodes_version != state.reporters_version;
        reply.nodes = outdated.then(|| state.reporters.values().cloned().collect());
    }
    reply
}

/// Records a node's unanswered requests, and returns what it may send to full targets.
fn answer_room(
    state: &mut RouterState,
    now: Instant,
    node: &NodeId,
    report: &RoomReport,
) -> RoomReply {
    let RouterState { registry, room_allocator, config, .. } = state;
    room_allocator.record(now, node, report, |target| registry.get(target));
    let back_end = |id: &_| config.as_ref().and_then(|config| config.back_end(id));
    room_allocator.reply(now, node, |id| back_end(id).is_some_and(|rule| rule.keyed))
}

/// Removes nodes that no longer report, and raises the version of the list of nodes if it changed.
fn update_node_list(state: &mut RouterState, now: Instant) {
    if now < state.reporters_checked_at + NODE_LIST_INTERVAL {
        return;
    }
    state.reporters_checked_at = now;
    let RouterState { reporters, issuer, .. } = state;
    let count_before = reporters.len();
    reporters.retain(|reporter, _| issuer.is_live(now, reporter));
    let removed = reporters.len() < count_before;
    let changed = std::mem::take(&mut state.reporters_changed);
    state.reporters_version += u64::from(changed || removed);
}

/// Answers the calls of other nodes until the process stops.
pub(crate) async fn answer(shared: Shared, mut calls: mpsc::UnboundedReceiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        match call {
            // Sending fails if the caller has gone.
            PeerCall::Report(report, reply) => {
                drop(reply.send(answer_report(&shared, shared.now(), *report)));
            }
            PeerCall::Rows(known, reply) => row_source::answer(&shared, known, reply),
        }
    }
}
