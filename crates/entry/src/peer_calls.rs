//! Answers to the calls of peers and of the operators' command line.

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wagtailmoor_configuration::Snapshot;
use wagtailmoor_core::{BackEndId, Instant, KeyHash, ZoneId, millis};
use wagtailmoor_dispatch::MemberState;
use wagtailmoor_lease::Authority;
use wagtailmoor_membership::{Digest, Liveness};
use wagtailmoor_ownership::{Route, Unit};
use wagtailmoor_peer::{NodeState, OwnerReport, PeerCall, Reply, Unavailable, ZoneView};

use crate::entry::Shared;
use crate::state::State;

/// Changes in one reply, so that it stays well below the largest frame.
const CHANGES_MAX: usize = 256;

/// Answers calls until the channel closes.
pub(crate) async fn run(
    entry: Shared,
    mut calls: mpsc::UnboundedReceiver<PeerCall>,
    connections: impl Fn() -> u32,
) {
    while let Some(call) = calls.recv().await {
        answer(&entry, call, connections());
    }
}

fn answer(entry: &Shared, call: PeerCall, connections: u32) {
    let now = entry.now();
    let mut state = entry.state();
    match call {
        PeerCall::Exchange(digest, reply) => {
            let answer = state.membership.on_exchange(now, &digest);
            drop(state);
            send(reply, Ok(answer));
            take_offer(entry, digest);
        }
        PeerCall::Changes(after, reply) => {
            let changes = match after < state.propagation.version() {
                true => state.propagation.log().after(after, CHANGES_MAX),
                false => Some(Vec::new()),
            };
            send(reply, Ok(changes));
        }
        PeerCall::Snapshot(reply) => {
            send(reply, Ok(Snapshot::of(state.propagation.configuration())));
        }
        PeerCall::Promise(request, reply) => {
            let duty = state.duties.get_mut(&request.zone);
            let answer = duty.map(|duty| duty.candidate.on_promise_request(now, &request));
            send(reply, answer.ok_or(Unavailable));
        }
        PeerCall::ZonePromise(request, reply) => {
            send(reply, Ok(state.own_duty().candidate.on_zone_request(now, &request)));
        }
        PeerCall::Routes(pull, reply) => send(reply, Ok(state.answer_pull(now, &pull))),
        PeerCall::Credits(zone, request, reply) => {
            let duty = state.duties.get_mut(&zone);
            let issued = duty.and_then(|duty| duty.issue_credits(now, &request));
            send(reply, issued.ok_or(Unavailable));
        }
        PeerCall::Permits(zone, request, reply) => {
            let duty = state.duties.get_mut(&zone);
            let issued = duty.and_then(|duty| duty.issue_permits(now, &request));
            send(reply, issued.ok_or(Unavailable));
        }
        PeerCall::Heat(zone, report, reply) => {
            state.add_heat(&zone, &report);
            send(reply, Ok(()));
        }
        PeerCall::State(reply) => send(reply, Ok(state.node_state(now, connections))),
        PeerCall::Owner(back_end, key, reply) => {
            send(reply, Ok(state.owner_report(now, back_end, key)));
        }
    }
}

fn send<T>(reply: Reply<T>, answer: Result<T, Unavailable>) {
    // A caller that gave up is not interested.
    drop(reply.send(answer));
}

/// A digest that arrived says nothing of how old it is, so only what is newer is taken from it.
fn take_offer(entry: &Shared, digest: Digest) {
    let entry = entry.clone();
    let behind = digest.versions.config > entry.state().propagation.version();
    if behind {
        spawn_local(async move {
            let sender = &digest.sender;
            crate::change_poll::fetch(&entry, sender.address, &sender.node).await;
        });
    } else {
        entry.state().take_losses(entry.now(), &digest);
    }
}

impl State {
    fn node_state(&self, now: Instant, connections: u32) -> NodeState {
        let age_ms = |at: Instant| millis(now.saturating_since(at));
        let duty = self.duties.get(&self.settings.zone);
        let authority = match duty.map(|duty| duty.candidate.authority(now)) {
            Some(Authority::Controller { generation, until }) => Some((generation, until)),
            _ => None,
        };
        let members = self.membership.members(now);
        let live = members.filter(|(_, liveness)| *liveness == Liveness::Live);
        NodeState {
            node: self.settings.node.clone(),
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            config_version: self.propagation.version(),
            freshness_age_ms: self.propagation.age(now).map(millis),
            store_age_ms: self.store_heard_at.map(age_ms),
            controller_generation: authority.map(|(generation, _)| generation),
            authority_left_ms: authority.map(|(_, until)| millis(until.saturating_since(now))),
            stopping: self.stopping,
            connections,
            requests: self.totals.requests,
            answered: self.totals.answered,
            refused: self.totals.refused,
            zones: self.zones().into_iter().map(|zone| self.zone_view(now, zone)).collect(),
            members: live.map(|(record, _)| record.node.clone()).collect(),
            targets: self.targets_in_service(),
        }
    }

    fn targets_in_service(&self) -> u32 {
        let members = self.back_ends.values().flat_map(|back_end| back_end.targets.members());
        let live = members.filter(|member| member.state == MemberState::Live);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    fn zone_view(&self, now: Instant, zone: ZoneId) -> ZoneView {
        let heard = self.routes_heard_at.get(&zone);
        let stamp = self.routes.pull(&zone).have;
        ZoneView {
            in_service: self.propagation.configuration().zone_in(&zone),
            controller: self.controllers.get(&zone).cloned(),
            generation: stamp.map(|stamp| stamp.generation),
            routes_age_ms: heard.map(|at| millis(now.saturating_since(*at))),
            zone,
        }
    }

    fn owner_report(&self, now: Instant, back_end: BackEndId, key: KeyHash) -> OwnerReport {
        let (slot, owner, state) = match self.routes.lookup(now, &back_end, key) {
            Route::Owner { target, epoch, unit } => {
                let slot = match unit {
                    Unit::Slot(slot) => Some(slot),
                    Unit::HotKey(_) => None,
                };
                (slot, Some((target.clone(), epoch)), "owner")
            }
            Route::Moving => (None, None, "moving"),
            Route::NoOwner => (None, None, "no-owner"),
            Route::Stale => (None, None, "stale"),
        };
        OwnerReport { back_end, key, slot, owner, state: state.into() }
    }
}
