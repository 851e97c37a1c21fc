//! Handling of calls from peers and from the operators' command line.

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wagtailmoor_configuration::Snapshot;
use wagtailmoor_core::{BackEndId, Instant, KeyHash, ZoneId, millis};
use wagtailmoor_dispatch::MemberState;
use wagtailmoor_lease::Authority;
use wagtailmoor_membership::{Digest, Liveness};
use wagtailmoor_ownership::{Route, Unit};
use wagtailmoor_peer::{NodeState, OwnerReport, PeerCall, ReplySender, Unavailable, ZoneView};

use crate::entry::Shared;
use crate::state::State;

/// Maximum changes in one reply, which keeps it well below the frame size limit.
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
            on_received_digest(entry, digest);
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
            let role = state.roles.get_mut(&request.zone);
            let answer = role.map(|role| role.candidate.on_promise_request(now, &request));
            send(reply, answer.ok_or(Unavailable));
        }
        PeerCall::ZonePromise(request, reply) => {
            send(reply, Ok(state.own_role().candidate.on_zone_request(now, &request)));
        }
        PeerCall::Routes(pull, reply) => send(reply, Ok(state.answer_pull(now, &pull))),
        PeerCall::Credits(zone, request, reply) => {
            let role = state.roles.get_mut(&zone);
            let issued = role.and_then(|role| role.issue_credits(now, &request));
            send(reply, issued.ok_or(Unavailable));
        }
        PeerCall::Permits(zone, request, reply) => {
            let role = state.roles.get_mut(&zone);
            let issued = role.and_then(|role| role.issue_permits(now, &request));
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

fn send<T>(reply: ReplySender<T>, answer: Result<T, Unavailable>) {
    // The send fails if the caller no longer waits, which needs no handling.
    drop(reply.send(answer));
}

/// Applies the digest of an incoming exchange. Its age is unknown, so it does not refresh the
/// freshness of the configuration; only a newer configuration or losses are taken from it.
fn on_received_digest(entry: &Shared, digest: Digest) {
    let entry = entry.clone();
    let is_outdated = digest.versions.config > entry.state().propagation.version();
    if is_outdated {
        spawn_local(async move {
            let sender = &digest.sender;
            crate::change_poll::fetch(&entry, sender.address, &sender.node).await;
        });
    } else {
        entry.state().merge_losses(entry.now(), &digest);
    }
}

impl State {
    fn node_state(&self, now: Instant, connections: u32) -> NodeState {
        let age_ms = |at: Instant| millis(now.saturating_since(at));
        let role = self.roles.get(&self.settings.zone);
        let authority = match role.map(|role| role.candidate.authority(now)) {
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
            store_age_ms: self.store_last_contact.map(age_ms),
            controller_generation: authority.map(|(generation, _)| generation),
            authority_left_ms: authority.map(|(_, until)| millis(until.saturating_since(now))),
            stopping: self.stopping,
            connections,
            requests: self.totals.in_progress,
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
        let requested_at = self.routes_requested_at.get(&zone);
        let stamp = self.routes.pull(&zone).have;
        ZoneView {
            in_service: self.propagation.configuration().is_zone_in_service(&zone),
            controller: self.controllers.get(&zone).cloned(),
            generation: stamp.map(|stamp| stamp.generation),
            routes_age_ms: requested_at.map(|at| millis(now.saturating_since(*at))),
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
