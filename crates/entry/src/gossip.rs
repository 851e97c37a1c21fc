//! Gossip of membership, versions and losses with peers.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wagtailmoor_core::Instant;
use wagtailmoor_dispatch::SuspectReport;
use wagtailmoor_membership::{Digest, Exchange, Losses, Versions};

use crate::change_poll;
use crate::entry::Shared;
use crate::state::State;

/// Maximum delay of an exchange that is due; shorter than the interval between exchanges.
const TICK: Duration = Duration::from_millis(50);

/// Starts exchanges when they are due.
pub(crate) async fn run(entry: Shared) {
    loop {
        let exchange = {
            let now = entry.now();
            let mut state = entry.state();
            let versions = state.versions(now);
            state.membership.on_versions(now, versions);
            state.membership.tick(now)
        };
        if let Some(exchange) = exchange {
            spawn_local(start(entry.clone(), exchange));
        }
        sleep(TICK).await;
    }
}

async fn start(entry: Shared, exchange: Exchange) {
    let sent_at = entry.now();
    let reply = entry.peers.exchange(exchange.address, exchange.digest).await;
    match (reply, exchange.node) {
        (Ok(digest), _) => {
            entry.state().membership.on_reply(entry.now(), &digest);
            apply_versions(&entry, sent_at, &digest).await;
        }
        (Err(_), Some(node)) => entry.state().membership.on_failure(entry.now(), &node),
        (Err(_), None) => {}
    }
}

/// Applies the versions of a digest that a peer sent in reply to a message of `sent_at`.
pub(crate) async fn apply_versions(entry: &Shared, sent_at: Instant, digest: &Digest) {
    let is_outdated = entry.state().merge_losses(entry.now(), digest);
    if is_outdated {
        change_poll::fetch(entry, digest.sender.address, &digest.sender.node).await;
    }
    let age = digest.versions.freshness_age_ms.map(Duration::from_millis);
    entry.state().propagation.on_peer(sent_at, digest.versions.config, age);
}

impl State {
    fn versions(&mut self, now: Instant) -> Versions {
        let age = self.propagation.age(now).map(|age| age.as_millis());
        Versions {
            config: self.propagation.version(),
            freshness_age_ms: age.map(|age_ms| u64::try_from(age_ms).unwrap_or(u64::MAX)),
            losses: self.losses(now),
            ..Versions::default()
        }
    }

    fn losses(&mut self, now: Instant) -> Losses {
        let mut reports = self.ledger.next_report(now);
        loop {
            let encoded = serde_json::to_vec(&reports).expect("losses are representable in JSON");
            match (Losses::new(encoded), reports.is_empty()) {
                (Ok(losses), false) => return losses,
                (_, true) => return Losses::default(),
                (Err(_), false) => drop(reports.pop()),
            }
        }
    }

    /// Merges the losses of a digest and returns whether its sender has a newer configuration.
    pub(crate) fn merge_losses(&mut self, now: Instant, digest: &Digest) -> bool {
        let losses = digest.versions.losses.as_bytes();
        let reports: Vec<SuspectReport> = serde_json::from_slice(losses).unwrap_or_default();
        self.ledger.merge(now, &reports);
        digest.versions.config > self.propagation.version()
    }
}
