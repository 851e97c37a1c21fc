//! Reports to the leader and answers reports.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use wagtailmoor_core::Instant;
use wagtailmoor_telemetry::Event;

use crate::peer_link::{PeerCall, PeerLink};
use crate::peer_service::{KeyCounts, LeaderReply, NodeReport};
use crate::row_source;
use crate::site_decoder::SiteDecoder;
use crate::state::Shared;

/// Time between reports to the leader on a small site.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(150);

/// Time of the leader for the report of one node. On a large site nodes report less often, so that
/// the leader spends no more on reports.
const REPORT_INTERVAL_BY_NODE: Duration = Duration::from_millis(6);

/// Age up to which a call to the store shows that this node can lead.
const STORE_REACHED_AGE_MAX: Duration = Duration::from_millis(600);

/// Time for which a new leader collects reports before it lists the nodes.
const LIST_SETTLE: Duration = Duration::from_millis(1_500);

/// Reports to the leader until the process ends.
pub(crate) async fn report(shared: Shared, link: PeerLink) {
    loop {
        let nodes = u32::try_from(shared.read().source.nodes()).unwrap_or(u32::MAX);
        sleep(REPORT_INTERVAL_MIN.max(REPORT_INTERVAL_BY_NODE * nodes)).await;
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
            Some(address) => link.report(address, report).await,
        };
        if !reply.as_ref().is_some_and(|reply| reply.leads) {
            shared.write().customers.return_use(used);
        }
        if let Some(reply) = reply {
            take_reply(&shared, reply);
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
    NodeReport {
        from: settings.address(),
        nodes_known: state.nodes_version,
        can_lead: now.saturating_since(state.store_reached) < STORE_REACHED_AGE_MAX,
        keys,
        used: state.customers.take_use(),
        suspects: state.ledger.unconfirmed_reports(now),
        suspects_known: state.suspects_known,
        service: state.picker.take_service(),
    }
}

fn take_reply(shared: &Shared, reply: LeaderReply) {
    let now = shared.now();
    let mut state = shared.write();
    state.ledger.merge(now, &reply.suspects.suspects);
    let known = reply.leader.as_ref().map(|seen| seen.version);
    state.see_leader(now, reply.leader);
    state.leader_troubled = reply.troubled;
    if !reply.leads {
        if let Some(version) = known {
            state.lease.note_lapsed(&reply.from, version);
        }
        return;
    }
    state.leader_heard = now;
    if state.suspects_known.ledger != reply.suspects.version.ledger {
        state.ledger.unconfirm_all();
    }
    state.suspects_known = reply.suspects.version;
    state.ledger.confirm_reports();
    if let Some(nodes) = reply.nodes {
        state.cold.set_nodes(nodes.iter().map(|node| node.node.clone()).collect());
        state.source.set_nodes(nodes);
        state.nodes_version = reply.nodes_version;
    }
    state.customers.take_answer(now, reply.allowances, reply.site_nodes);
    state.admitted.take(now, reply.shares);
}

/// Takes a report; only a leader divides limits and counts keys.
fn answer_report(shared: &Shared, now: Instant, report: NodeReport) -> LeaderReply {
    let mut state = shared.write();
    let state = &mut *state;
    let troubled = state.lease.is_troubled(now);
    if troubled && report.can_lead {
        Event::new("leader-steps-down").field("reached_by", &report.from.node).warn();
        state.lease.step_down();
    }
    let leads = state.lease.authority(now).is_some();
    state.ledger.merge(now, &report.suspects);
    let mut reply = LeaderReply {
        leads,
        troubled,
        from: shared.settings.node.clone(),
        leader: state.leader_seen(),
        nodes_version: 0,
        nodes: None,
        site_nodes: 0,
        allowances: Vec::new(),
        shares: Vec::new(),
        suspects: state.ledger.refused_since(now, report.suspects_known),
    };
    if leads {
        for counts in &report.keys {
            let granter = state.granters.get_mut(&counts.back_end);
            if let Some(granter) = granter {
                counts.keys.iter().for_each(|(key, requests)| granter.add_load(*key, *requests));
            }
        }
        state.speeds.report(now, &report.service);
        let node = report.from.node.clone();
        let rules = || state.config.iter().flat_map(|config| config.customers());
        state.issuer.fill(now, rules());
        state.issuer.report(now, &node, &report.used);
        let before = state.reporters.len();
        let known = state.reporters.insert(node.clone(), report.from.clone());
        let issuer = &state.issuer;
        state.reporters.retain(|known, _| issuer.is_live(now, known));
        if known.is_none_or(|known| known != report.from) || state.reporters.len() < before {
            state.reporters_version += 1;
        }
        reply.shares =
            state.shares.iter().map(|(id, shares)| (id.clone(), shares.clone())).collect();
        reply.allowances = state.issuer.allowances(now, &node, rules());
        reply.site_nodes = state.issuer.nodes(now);
        reply.nodes_version = state.reporters_version;
        // A new leader knows few nodes; a list of these would move duties to the wrong nodes.
        let settled = now.saturating_since(state.leading_since) >= LIST_SETTLE;
        let unknown = settled && report.nodes_known != state.reporters_version;
        reply.nodes = unknown.then(|| state.reporters.values().cloned().collect());
    }
    reply
}

/// Answers the calls of other nodes until the process ends.
pub(crate) async fn answer<S: SiteDecoder>(
    shared: Shared,
    mut calls: mpsc::UnboundedReceiver<PeerCall>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            // A caller that is gone needs no reply.
            PeerCall::Report(report, reply) => {
                drop(reply.send(answer_report(&shared, shared.now(), report)));
            }
            PeerCall::Rows(known, reply) => row_source::answer::<S>(&shared, known, reply),
        }
    }
}
