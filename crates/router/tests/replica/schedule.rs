//! Seeded orders of failures.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::store::StoreState;

/// Faults begin after this time, when all nodes have the first configuration.
const QUIET_START: Duration = Duration::from_secs(4);

/// Faults begin before this time.
const LAST_START: Duration = Duration::from_secs(18);

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The store drops its history, at times after a second without answers of the feeds.
    HistoryLost,
    /// Reads in full show old rows for a while after the history was dropped.
    LaggingReads,
    /// The store answers no call, or refuses all.
    StoreDown,
    /// The store's clock is set forward.
    ClockStep,
    /// A node can't reach the store, or gets its answers late.
    StoreLink,
    /// A node is cut off from all others, or its messages take long.
    PeerLink,
    /// All nodes of a zone are cut off from the others and the store.
    ZoneCut,
    /// A process stands still.
    Freeze,
    /// The leader stands still or is cut off, and another one takes over.
    LeaderChange,
    /// A process ends and starts again.
    Restart,
    /// The store refuses or doesn't answer a share of the nodes.
    StoreRefusesShare,
    /// The processes get too little of a processor: each message takes them long. The platform's rules
    /// excuse nothing by that.
    Busy,
}

impl Kind {
    pub(crate) const ALL: [Self; 12] = [
        Self::HistoryLost,
        Self::LaggingReads,
        Self::StoreDown,
        Self::ClockStep,
        Self::StoreLink,
        Self::PeerLink,
        Self::ZoneCut,
        Self::Freeze,
        Self::LeaderChange,
        Self::Restart,
        Self::StoreRefusesShare,
        Self::Busy,
    ];
}

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    Sound,
    /// Messages are lost without notice.
    Silent,
    /// Calls fail at once.
    Reset,
    Delayed(Duration),
}

/// One failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) kind: Kind,
    pub(crate) start: Duration,
    pub(crate) length: Duration,
    /// A random node; its zone is the one that is cut.
    pub(crate) node: usize,
    pub(crate) link: LinkState,
    pub(crate) store: StoreState,
    pub(crate) step: Duration,
    /// Whether a loss of history follows a second without answers, and pending calls get no answer.
    pub(crate) is_abrupt: bool,
}

/// Draws the failures of a run. The first is of `kind`; the others are of any of `kinds`.
pub(crate) fn draw(seed: u64, kind: Kind, kinds: &[Kind], nodes: usize) -> Vec<Failure> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(2..=12);
    let mut failures: Vec<Failure> = (0..count)
        .map(|number| {
            let kind = match number {
                0 => kind,
                _ => kinds[random.random_range(0..kinds.len())],
            };
            draw_one(&mut random, kind, nodes)
        })
        .collect();
    failures.sort_by_key(|failure| failure.start);
    failures
}

fn draw_one(random: &mut impl Rng, kind: Kind, nodes: usize) -> Failure {
    let span = QUIET_START.as_millis() as u64..LAST_START.as_millis() as u64;
    let length_ms = match random.random_bool(0.5) {
        true => random.random_range(100..1_500),
        false => random.random_range(1_500..6_000),
    };
    let link = match random.random_range(0..3) {
        0 => LinkState::Silent,
        1 => LinkState::Reset,
        _ => LinkState::Delayed(Duration::from_millis(random.random_range(50..1_000))),
    };
    let store = match random.random_bool(0.5) {
        true => StoreState::Silent,
        false => StoreState::Refusing,
    };
    Failure {
        kind,
        start: Duration::from_millis(random.random_range(span)),
        length: Duration::from_millis(length_ms),
        node: random.random_range(0..nodes),
        link,
        store,
        step: Duration::from_millis(random.random_range(50..1_500)),
        is_abrupt: random.random_bool(0.5),
    }
}
