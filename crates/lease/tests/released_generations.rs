//! The generations that a node supports after it has released others.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Generation, Incarnation, Instant, NodeId, RowVersion, WriteId, ZoneId};
use wagtailmoor_lease::{
    Answer, Candidate, ControllerRow, LeaseSettings, Panel, PromiseRequest, RequestId, RequestKind,
    StoredRow,
};

const SEEDS: u64 = 500;

const STEPS: usize = 200;

/// Longer than a promise, so that no answer depends on an earlier one.
const STEP: Duration = Duration::from_secs(2);

/// Number of rows, from the newest one on, that other nodes may still know.
const KNOWN_ROWS: usize = 4;

/// A node that is restarted at times, and the rows that were stored.
struct Site {
    random: ChaCha8Rng,
    now: Instant,
    incarnation: Incarnation,
    candidate: Candidate,
    rows: Vec<StoredRow>,
    requests: u64,
    /// Highest generation that any incarnation of the node has released.
    released: Generation,
    grants: u64,
    releases: u64,
}

fn node(name: &str) -> NodeId {
    name.parse().expect("id")
}

fn zone() -> ZoneId {
    "z0".parse().expect("id")
}

fn start(now: Instant, incarnation: Incarnation) -> Candidate {
    Candidate::new(node("n1"), zone(), incarnation, LeaseSettings::default(), now)
}

fn panel(generation: Generation) -> Panel {
    let members = ["n1", "n2", "n3"].map(node).to_vec();
    Panel { generation, members, tenure_ms: 60_000, witnesses: Vec::new() }
}

impl Site {
    fn new(seed: u64) -> Self {
        let (now, incarnation) = (Instant::default(), Incarnation::new(1));
        let row =
            ControllerRow { panel: panel(Generation::new(1)), renewals: 0, superseded: Vec::new() };
        let version = RowVersion::default().next();
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            incarnation,
            candidate: start(now, incarnation),
            rows: vec![StoredRow { row, version, write: WriteId::new(1) }],
            requests: 0,
            released: Generation::default(),
            grants: 0,
            releases: 0,
        }
    }

    fn newest(&self) -> &StoredRow {
        self.rows.last().expect("the first row is never removed")
    }

    /// Stores a row with the next panel, or one without the superseded panels.
    fn store(&mut self) {
        let StoredRow { row, version, .. } = self.newest().clone();
        let row = match self.random.random_bool(0.5) {
            true if row.superseded.len() < 3 => ControllerRow {
                panel: panel(row.panel.generation.next()),
                renewals: row.renewals + 1,
                superseded: row.panels().cloned().collect(),
            },
            _ => ControllerRow { superseded: Vec::new(), renewals: row.renewals + 1, ..row },
        };
        let write = WriteId::new(self.rows.len() as u128 + 1);
        self.rows.push(StoredRow { row, version: version.next(), write });
    }

    fn restart(&mut self) {
        self.incarnation = Incarnation::new(self.incarnation.get() + 1);
        self.candidate = start(self.now, self.incarnation);
    }

    /// Returns a row that another node knows.
    fn known_row(&mut self) -> StoredRow {
        let first = self.rows.len().saturating_sub(KNOWN_ROWS);
        self.rows[self.random.random_range(first..self.rows.len())].clone()
    }

    /// Asks the node for a promise at a generation of a row that another node knows.
    fn request_promise(&mut self) {
        let row = self.known_row();
        let generations: Vec<Generation> = row.row.panels().map(|panel| panel.generation).collect();
        let generation = generations[self.random.random_range(0..generations.len())];
        let active = row.row.active_panel().generation;
        self.ask(RequestKind::Promise { row, generation, active, tenure: None });
    }

    /// Asks the node to release what a row that another node knows supersedes.
    fn request_release(&mut self) {
        let row = self.known_row();
        let generation = Generation::new(row.row.panel.generation.get() - 1);
        self.ask(RequestKind::Release { row, generation });
    }

    fn ask(&mut self, kind: RequestKind) {
        self.requests += 1;
        let id = RequestId { incarnation: Incarnation::new(1), number: self.requests };
        let from = node(["n2", "n3"][self.random.random_range(0..2)]);
        let request = PromiseRequest { id, zone: zone(), from, kind };
        match self.candidate.on_promise_request(self.now, &request).answer {
            Answer::Granted { generation } => {
                let released = self.released;
                assert!(generation > released, "{generation} is granted, {released} was released");
                self.grants += 1;
            }
            Answer::Released { generation } => {
                self.released = self.released.max(generation);
                self.releases += 1;
            }
            _ => {}
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.now = self.now + STEP;
            match self.random.next_u32() % 10 {
                0 => self.store(),
                1 => self.restart(),
                2 | 3 => {
                    let stored = self.newest().clone();
                    self.candidate.on_row(self.now, Some(stored));
                }
                4 | 5 => self.request_release(),
                _ => self.request_promise(),
            }
        }
    }
}

// Guards against a promise at a generation that the node or a previous incarnation of it has
// released: the releases are kept in memory only, and other nodes may know older rows.
#[test]
fn no_released_generation_is_supported_again() {
    let (mut grants, mut releases) = (0, 0);
    for seed in 0..SEEDS {
        let mut site = Site::new(seed);
        site.run();
        grants += site.grants;
        releases += site.releases;
    }
    assert!(grants > 20 * SEEDS, "{grants} promises were granted");
    assert!(releases > 5 * SEEDS, "{releases} generations were released");
}
