//! Processes that write the leader's row under conditions.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Incarnation, Instant, RowVersion};
use wagtailmoor_router::{LeaderLease, LeaderRow, LeaseAction};

const STEP: Duration = Duration::from_millis(50);

/// A row that changes by conditional writes only.
#[derive(Default)]
struct FakeRow {
    row: Option<LeaderRow>,
    version: u64,
}

impl FakeRow {
    fn read(&self) -> Option<(LeaderRow, RowVersion)> {
        self.row.clone().map(|row| (row, RowVersion::new(self.version)))
    }

    fn write(&mut self, row: &LeaderRow, expected: RowVersion) -> Option<RowVersion> {
        (expected.get() == self.version).then(|| {
            self.version += 1;
            self.row = Some(row.clone());
            RowVersion::new(self.version)
        })
    }
}

fn lease(name: &str, incarnation: u64) -> LeaderLease {
    let address = "127.0.0.1:1".parse().unwrap();
    LeaderLease::new(name.parse().unwrap(), Incarnation::new(incarnation), address)
}

/// Carries an action out at once.
fn act(now: Instant, lease: &mut LeaderLease, row: &mut FakeRow, action: LeaseAction) {
    match action {
        LeaseAction::Read => lease.on_read(now, row.read()),
        LeaseAction::Write { row: new, expected } => {
            let version = row.write(&new, expected);
            lease.on_written(now, new, version);
        }
    }
}

fn run(now: &mut Instant, lease: &mut LeaderLease, row: &mut FakeRow, span: Duration) {
    for _ in 0..span.as_millis() / STEP.as_millis() {
        *now = *now + STEP;
        if let Some(action) = lease.tick(*now, false) {
            act(*now, lease, row, action);
        }
    }
}

// Guards against a successor that moves keys while its predecessor can still renew them.
#[test]
fn a_successor_waits_for_the_lease_before() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let until = first.authority(now).expect("the first process leads").until;
    run(&mut now, &mut second, &mut row, Duration::from_millis(3_500));
    let authority = second.authority(now).expect("the abandoned row was replaced");
    assert!(authority.sole_from >= until);
    assert!(!authority.may_move(until - STEP));
    assert!(first.authority(now).is_none() || now < until);
}

// Guards against a lead that waits although the one before surely ended.
#[test]
fn a_lead_that_was_given_up_is_taken_at_once() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let action = first.resign(now).expect("the leader resigns");
    act(now, &mut first, &mut row, action);
    run(&mut now, &mut second, &mut row, Duration::from_millis(200));
    assert!(second.authority(now).is_some_and(|authority| authority.may_move(now)));
}

#[test]
fn a_restarted_leader_takes_its_row_back_at_once() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    run(&mut now, &mut lease("n1", 1), &mut row, Duration::from_secs(3));
    let mut again = lease("n1", 2);
    run(&mut now, &mut again, &mut row, Duration::from_millis(200));
    assert!(again.authority(now).is_some_and(|authority| authority.may_move(now)));
}

// Guards against a successor, or a site that restarts as a whole, that divides limits among the few
// nodes that it heard of first.
#[test]
fn a_successor_knows_how_many_nodes_there_were() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let mut first = lease("n1", 1);
    run(&mut now, &mut first, &mut row, Duration::from_secs(1));
    first.set_nodes(65);
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let mut second = lease("n2", 1);
    run(&mut now, &mut second, &mut row, Duration::from_secs(3));
    assert!(second.authority(now).is_some());
    assert_eq!(second.nodes(), 65);
}

// Guards against two processes that may move keys at the same time, under lost answers, late
// writes and processes that stand still.
#[test]
fn never_two_that_may_move() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::from_us(1_000_000);
        let mut row = FakeRow::default();
        let mut leases = [lease("n1", 1), lease("n2", 1), lease("n3", 1)];
        let mut frozen = [Instant::default(); 3];
        for _ in 0..1_200 {
            now = now + STEP;
            for index in 0..leases.len() {
                if random.random_bool(0.005) {
                    frozen[index] = now + Duration::from_millis(random.random_range(100..8_000));
                }
                if now < frozen[index] {
                    continue;
                }
                let hears = random.random_bool(0.5);
                match leases[index].tick(now, hears) {
                    // The call is lost, or took effect without an answer.
                    Some(LeaseAction::Write { row: new, expected }) if random.random_bool(0.1) => {
                        if random.random_bool(0.5) {
                            row.write(&new, expected);
                        }
                        leases[index].on_failed();
                    }
                    Some(action) => act(now, &mut leases[index], &mut row, action),
                    None => {}
                }
            }
            let movers = leases.iter().filter(|lease| {
                lease.authority(now).is_some_and(|authority| authority.may_move(now))
            });
            assert!(movers.count() <= 1, "seed {seed} at {now:?}");
        }
    }
}
