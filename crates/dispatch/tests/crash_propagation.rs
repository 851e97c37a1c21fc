//! Propagation of refused fingerprints to all nodes of a site, in the presence of many harmless
//! ones.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, TargetId};
use wagtailmoor_dispatch::{CrashLedger, CrashSettings, Fingerprint, LedgerVersion};

/// Number of nodes that report to the leader. Reports that cycle through all fingerprints are
/// slowest with many nodes.
const NODES: usize = 64;

/// Interval between two reports of a node in a site of this size.
const REPORT_INTERVAL: Duration = Duration::from_millis(390);

/// Time after the third crash within which all nodes must refuse the request.
const PROPAGATION_TIME_MAX: Duration = Duration::from_secs(3);

/// Number of harmless requests in flight at targets that ended for other reasons.
const HARMLESS: u128 = 400;

const CRASHING: Fingerprint = Fingerprint::new(u128::MAX);

fn harmless(number: u128) -> Fingerprint {
    Fingerprint::new(number << 64 | number)
}

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().expect("valid id")
}

/// Simulated leader and the nodes that report to it.
struct Site {
    now: Instant,
    leader: CrashLedger,
    nodes: Vec<CrashLedger>,
    known_versions: Vec<LedgerVersion>,
}

impl Site {
    fn new() -> Self {
        let ledger = || CrashLedger::new(CrashSettings::default());
        let nodes = (0..NODES).map(|_| ledger()).collect();
        let known_versions = vec![LedgerVersion::default(); NODES];
        Self {
            now: Instant::from_us(1_000_000_000),
            leader: ledger().with_id(1),
            nodes,
            known_versions,
        }
    }

    /// Runs one report of each node to the leader, and applies the leader's replies.
    fn exchange_reports(&mut self) {
        self.now = self.now + REPORT_INTERVAL;
        for (node, known_version) in self.nodes.iter_mut().zip(&mut self.known_versions) {
            let own = node.unconfirmed_reports(self.now);
            self.leader.merge(self.now, &own);
            let refused = self.leader.refused_since(self.now, *known_version);
            node.merge(self.now, &refused.suspects);
            if known_version.ledger != refused.version.ledger {
                node.unconfirm_all();
            }
            node.confirm_reports();
            *known_version = refused.version;
        }
    }

    fn record_harmless_losses(&mut self) {
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

    fn refusing_nodes(&self) -> usize {
        self.nodes.iter().filter(|node| node.refuses(self.now, CRASHING)).count()
    }
}

// Guards against nodes that keep sending a request that crashed targets, because its losses are
// reported after those of many harmless requests.
#[test]
fn all_nodes_refuse_a_crashing_request_within_the_limit() {
    for earlier_rounds in 0..8 {
        let mut site = Site::new();
        site.record_harmless_losses();
        (0..earlier_rounds).for_each(|_| site.exchange_reports());
        for (node, target_number) in [(3, 101), (17, 102), (40, 103)] {
            let now = site.now;
            site.nodes[node].record_loss(
                now,
                CRASHING,
                &target(target_number),
                Incarnation::default(),
            );
        }
        let crashed = site.now;
        while site.now.saturating_since(crashed) + REPORT_INTERVAL <= PROPAGATION_TIME_MAX {
            site.exchange_reports();
        }
        assert_eq!(
            site.refusing_nodes(),
            NODES,
            "after {earlier_rounds} reports of harmless losses"
        );
    }
}

// Guards against a node that starts after the crashes and never receives the refused fingerprint.
#[test]
fn a_node_that_starts_later_receives_refusals() {
    let mut site = Site::new();
    for (node, target_number) in [(3, 101), (17, 102), (40, 103)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(target_number), Incarnation::default());
    }
    site.record_harmless_losses();
    (0..100).for_each(|_| site.exchange_reports());
    site.nodes[5] = CrashLedger::new(CrashSettings::default());
    site.known_versions[5] = LedgerVersion::default();
    let started = site.now;
    while site.now.saturating_since(started) + REPORT_INTERVAL <= PROPAGATION_TIME_MAX {
        site.exchange_reports();
    }
    assert_eq!(site.refusing_nodes(), NODES);
}

// Guards against a new leader that never receives losses reported to the previous leader.
#[test]
fn a_new_leader_receives_earlier_losses() {
    let mut site = Site::new();
    for (node, target_number) in [(3, 101), (17, 102)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(target_number), Incarnation::default());
    }
    site.exchange_reports();
    site.leader = CrashLedger::new(CrashSettings::default()).with_id(2);
    (0..2).for_each(|_| site.exchange_reports());
    assert!(site.leader.refuses(site.now, CRASHING));
    assert_eq!(site.refusing_nodes(), NODES);
}

// Guards against a request that stays refused because some nodes do not receive its answer.
#[test]
fn an_answer_ends_the_refusal_at_all_nodes() {
    let mut site = Site::new();
    for (node, target_number) in [(3, 101), (17, 102)] {
        let now = site.now;
        site.nodes[node].record_loss(now, CRASHING, &target(target_number), Incarnation::default());
    }
    (0..2).for_each(|_| site.exchange_reports());
    assert_eq!(site.refusing_nodes(), NODES);
    let now = site.now;
    site.nodes[9].record_answer(now, CRASHING);
    (0..2).for_each(|_| site.exchange_reports());
    assert_eq!(site.refusing_nodes(), 0);
}

// Guards against gossip reports in which many harmless requests delay a refused one.
#[test]
fn reports_to_peers_contain_refused_requests_first() {
    let mut ledger = CrashLedger::new(CrashSettings::default());
    let now = Instant::from_us(1_000_000_000);
    for target_number in [101, 102] {
        ledger.record_loss(now, CRASHING, &target(target_number), Incarnation::default());
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
        peer.merge(now, &ledger.next_report(now));
        assert!(peer.refuses(now, CRASHING));
    }
}

// Guards against a ledger that evicts a refused request in favor of harmless ones. Its losses are
// the oldest, because a refused request is not sent any more.
#[test]
fn harmless_requests_do_not_evict_a_refused_one() {
    let settings = CrashSettings::default();
    let mut ledger = CrashLedger::new(settings.clone());
    let start = Instant::from_us(1_000_000_000);
    for target_number in [101, 102, 103] {
        ledger.record_loss(start, CRASHING, &target(target_number), Incarnation::default());
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
