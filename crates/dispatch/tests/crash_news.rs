//! How fast all nodes of a site learn of a request that crashes targets, beside many harmless ones.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};
use wagtailmoor_dispatch::{CrashLedger, CrashSettings, Fingerprint, LedgerVersion};

/// Nodes that report to the leader; slices of reports that come round after as many are the worst.
const NODES: usize = 64;

/// Time between two reports of a node of a site of this size.
const REPORT_INTERVAL: Duration = Duration::from_millis(390);

/// From this time after the third crash on the request must not be sent any more.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Harmless requests that were at targets which ended for other reasons.
const HARMLESS: u128 = 400;

const CRASHING: Fingerprint = Fingerprint::new(u128::MAX);

fn harmless(number: u128) -> Fingerprint {
    Fingerprint::new(number << 64 | number)
}

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().expect("valid id")
}

/// Nodes that report to a leader.
struct Site {
    now: Instant,
    leader: CrashLedger,
    nodes: Vec<CrashLedger>,
    known: Vec<LedgerVersion>,
}

impl Site {
    fn new() -> Self {
        let ledger = || CrashLedger::new(CrashSettings::default());
        let nodes = (0..NODES).map(|_| ledger()).collect();
        let known = vec![LedgerVersion::default(); NODES];
        Self { now: Instant::from_us(1_000_000_000), leader: ledger().with_id(1), nodes, known }
    }

    /// Lets each node report once.
    fn report(&mut self) {
        self.now = self.now + REPORT_INTERVAL;
        for (node, known) in self.nodes.iter_mut().zip(&mut self.known) {
            let own = node.own_news(self.now);
            self.leader.merge(self.now, &own);
            let refused = self.leader.refused_since(self.now, *known);
            node.merge(self.now, &refused.suspects);
            if known.ledger != refused.version.ledger {
                node.renew_news();
            }
            node.confirm_news();
            *known = refused.version;
        }
    }

    fn lose_harmless(&mut self) {
        for number in 0..HARMLESS {
            let node = &mut self.nodes[number as usize % NODES];
            node.record_loss(
                self.now,
                harmless(number),
                &target(number as u32 % 30),
                Incarnation::default(),
            );
        }
    }

    fn refusing(&self) -> usize {
        self.nodes.iter().filter(|node| node.refuses(self.now, CRASHING)).count()
    }
}

// Guards against nodes that go on sending a request that crashed targets, because the news of it
// waits behind harmless requests of targets that ended for other reasons.
#[test]
fn all_nodes_refuse_a_crashing_request_in_time() {
    for rounds_before in 0..8 {
        let mut site = Site::new();
        site.lose_harmless();
        (0..rounds_before).for_each(|_| site.report());
        for (node, lost) in [(3, 101), (17, 102), (40, 103)] {
            let now = site.now;
            site.nodes[node].record_loss(now, CRASHING, &target(lost), Incarnation::default());
        }
        let crashed = site.now;
        while site.now.saturating_since(crashed) + REPORT_INTERVAL <= KNOWN_WITHIN {
            site.report();
        }
        assert_eq!(site.refusing(), NODES, "after {rounds_before} reports of harmless losses");
    }
}

// Guards against a node that starts after the crashes and does not learn of them.
#[test]
fn a_node_that_starts_later_learns_of_it() {
    let mut site = Site::new();
    for (node, lost) in [(3, 101), (17, 102), (40, 103)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(lost), Incarnation::default());
    }
    site.lose_harmless();
    (0..100).for_each(|_| site.report());
    site.nodes[5] = CrashLedger::new(CrashSettings::default());
    site.known[5] = LedgerVersion::default();
    let started = site.now;
    while site.now.saturating_since(started) + REPORT_INTERVAL <= KNOWN_WITHIN {
        site.report();
    }
    assert_eq!(site.refusing(), NODES);
}

// Guards against a new leader that never hears of what the one before was told.
#[test]
fn a_new_leader_is_told_again() {
    let mut site = Site::new();
    for (node, lost) in [(3, 101), (17, 102)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(lost), Incarnation::default());
    }
    site.report();
    site.leader = CrashLedger::new(CrashSettings::default()).with_id(2);
    (0..2).for_each(|_| site.report());
    assert!(site.leader.refuses(site.now, CRASHING));
    assert_eq!(site.refusing(), NODES);
}

// Guards against a request that stays refused at nodes that do not hear that it was answered.
#[test]
fn an_answer_ends_the_refusal_at_all_nodes() {
    let mut site = Site::new();
    for (node, lost) in [(3, 101), (17, 102)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(lost), Incarnation::default());
    }
    (0..2).for_each(|_| site.report());
    assert_eq!(site.refusing(), NODES);
    let now = site.now;
    site.nodes[9].record_answer(now, CRASHING);
    (0..2).for_each(|_| site.report());
    assert_eq!(site.refusing(), 0);
}

// Guards against gossip between equal nodes in which a refused request waits behind all others.
#[test]
fn equal_peers_are_told_of_refused_requests_first() {
    let mut ledger = CrashLedger::new(CrashSettings::default());
    let now = Instant::from_us(1_000_000_000);
    for lost in [101, 102] {
        ledger.record_loss(now, CRASHING, &target(lost), Incarnation::default());
    }
    for number in 0..HARMLESS {
        ledger.record_loss(
            now,
            harmless(number),
            &target(number as u32 % 30),
            Incarnation::default(),
        );
    }
    for _ in 0..20 {
        let mut peer = CrashLedger::new(CrashSettings::default());
        peer.merge(now, &ledger.report(now));
        assert!(peer.refuses(now, CRASHING));
    }
}

// Guards against a ledger that makes room for harmless requests by forgetting the one that is
// refused, whose losses are the oldest just because it is refused.
#[test]
fn a_refused_request_outlasts_many_harmless_ones() {
    let settings = CrashSettings::default();
    let mut ledger = CrashLedger::new(settings.clone());
    let start = Instant::from_us(1_000_000_000);
    for lost in [101, 102, 103] {
        ledger.record_loss(start, CRASHING, &target(lost), Incarnation::default());
    }
    for number in 0..3 * settings.fingerprints_max as u128 {
        let now = start + Duration::from_millis(number as u64);
        ledger.record_loss(
            now,
            harmless(number),
            &target(number as u32 % 30),
            Incarnation::default(),
        );
        assert!(ledger.refuses(now, CRASHING), "after {number} harmless losses");
    }
    assert!(ledger.len() <= settings.fingerprints_max);
}
