//! What counts as a confirmation of a node's data.

use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, RowVersion, StoreTime};
use wagtailmoor_router::{
    Confirmation, DecisionGate, FeedCall, LeaderView, NewestRows, NodeAddress, Replica,
    ReplicaTable,
};
use wagtailmoor_store::{FeedPage, FeedRow};

const APPLY_TIME: Duration = Duration::from_secs(2);

const CONTACT_TIME: Duration = Duration::from_secs(3);

const START: Instant = Instant::from_us(100_000_000);

const LEADS: LeaderView = LeaderView { is_self: true, address: None };

/// The store's clock at `START`, in milliseconds.
const STORE_START_MS: u64 = 7_000;

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn own() -> NodeAddress {
    NodeAddress {
        node: "node-1".parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        capacity: 100,
    }
}

fn replica() -> Replica {
    let gate = DecisionGate::new(APPLY_TIME, CONTACT_TIME);
    Replica::new(own(), Vec::new(), Instant::default(), gate)
}

/// Returns a page of the store, made when its clock had advanced by `clock_ms` since `START`, with a
/// row for each version in `rows`.
fn page(version: u64, clock_ms: u64, rows: &[u64]) -> FeedPage {
    let row = |version: &u64| FeedRow {
        key: "config".into(),
        version: RowVersion::new(*version),
        content: Some(version.to_string().into()),
    };
    FeedPage {
        rows: rows.iter().map(row).collect(),
        version: RowVersion::new(version),
        store_time: Some(StoreTime::from_ms(STORE_START_MS + clock_ms)),
    }
}

/// Lets the feeds of both tables call the store at `sent_ms`, and the store answer at once.
fn read(replica: &mut Replica, sent_ms: u64, version: u64, rows: &[u64]) {
    for table in ReplicaTable::DECISIVE {
        let call = replica.next_feed_call(at(sent_ms), table, LEADS, false);
        assert!(!matches!(call, FeedCall::Pause(_)), "{call:?}");
        let rows = if table == ReplicaTable::Operators { rows } else { &[] };
        replica.on_feed_page(at(sent_ms + 1), table, at(sent_ms), page(version, sent_ms, rows));
    }
}

// Guards against a node that lost the store's history and answers a neighbour that it has all rows,
// without those that the neighbour lacks.
#[test]
fn a_node_without_history_sends_the_rows_that_belong_to_its_age() {
    let mut replica = replica();
    read(&mut replica, 0, 178, &[178]);
    let known = replica.known_versions(at(1));
    read(&mut replica, 100, 202, &[202]);
    replica.on_history_lost(ReplicaTable::Operators);
    let (answer, _) = replica.answer(at(200), &known, Duration::ZERO, LEADS, true);
    assert!(answer.store_age < Duration::from_millis(150));
    let sent: Vec<RowVersion> = answer.operators.rows.iter().map(|row| row.version).collect();
    assert_eq!(sent, [RowVersion::new(202)]);
}

// Guards against an answer from before a change that this node knows of, which confirms its data up
// to the time of the call.
#[test]
fn an_answer_older_than_one_seen_before_confirms_nothing() {
    let mut replica = replica();
    read(&mut replica, 0, 202, &[178]);
    let table = ReplicaTable::Operators;
    replica.on_history_lost(table);
    read(&mut replica, 1_000, 190, &[178]);
    assert!(replica.age(at(1_001)) >= Duration::from_millis(1_000), "{:?}", replica.age(at(1_001)));
}

// Guards against an age that is too low by the time for which an answer was delayed, because the
// store's clock was set forward.
#[test]
fn a_step_of_the_stores_clock_dates_no_answer_after_the_end_of_its_wait() {
    let mut replica = replica();
    read(&mut replica, 0, 178, &[178]);
    read(&mut replica, 100, 178, &[]);
    let table = ReplicaTable::Operators;
    let call = replica.next_feed_call(at(200), table, LEADS, false);
    let FeedCall::Changes { wait, .. } = call else { panic!("{call:?}") };
    let answer = replica.on_feed_page(at(1_200), table, at(200), page(178, 1_190, &[]));
    assert!(answer.as_of <= at(200) + wait, "{answer:?}");
}

// Guards against a node whose sources confirm its data although they lack a row that another node has.
#[test]
fn data_are_no_younger_than_the_news_of_a_row_that_they_lack() {
    let mut replica = replica();
    read(&mut replica, 0, 178, &[178]);
    let newest = NewestRows { operators: RowVersion::new(202), ..replica.newest_rows() };
    replica.hear(at(300), newest);
    read(&mut replica, 1_000, 190, &[]);
    assert_eq!(replica.age(at(1_800)), Duration::from_millis(1_500));
    read(&mut replica, 1_900, 202, &[202]);
    assert_eq!(replica.age(at(1_901)), Duration::from_millis(1));
}

// Guards against a node that starts with others and decides by the rows of a stale neighbour, because a
// new site counts as up to date.
#[test]
fn a_start_confirms_nothing() {
    let gate = DecisionGate::new(APPLY_TIME, CONTACT_TIME);
    let replica = Replica::new(own(), Vec::new(), START, gate);
    assert!(replica.age(at(1)) > APPLY_TIME);
    assert_eq!(replica.source().age(at(1)), Duration::from_millis(1));
}

// Guards against a process that is busy, and decides by old data because a request has waited while
// the answer of the store was on its way.
#[test]
fn a_wait_without_a_failed_call_is_not_in_vain() {
    let mut replica = replica();
    read(&mut replica, 0, 178, &[178]);
    let call = replica.next_feed_call(at(1_000), ReplicaTable::Operators, LEADS, false);
    assert!(matches!(call, FeedCall::Changes { .. }), "{call:?}");
    for ms in (1_600..2_400).step_by(20) {
        assert_eq!(replica.confirmation(at(ms)), Confirmation::Pending, "after {ms} ms");
        replica.record_check(at(ms));
    }
}

// Guards against a node that serves nothing while the store is away: it has no other source.
#[test]
fn failed_calls_let_old_data_decide() {
    let mut replica = replica();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    read(&mut replica, 0, 178, &[178]);
    let mut decided = 0;
    for ms in (1_000..9_000).step_by(20) {
        for table in ReplicaTable::DECISIVE {
            if !matches!(replica.next_feed_call(at(ms), table, LEADS, false), FeedCall::Pause(_)) {
                replica.on_feed_failure(at(ms + 1), table, at(ms), LEADS, &mut random);
            }
        }
        replica.record_check(at(ms + 2));
        match replica.confirmation(at(ms + 2)) {
            Confirmation::Current => assert!(ms < 1_600),
            old => decided += usize::from(old == Confirmation::Unreachable),
        }
    }
    assert!(decided > 300, "{decided} of 400 requests");
}
