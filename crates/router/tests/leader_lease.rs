//! Processes that compete for the leader's row by conditional writes.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_core::{Generation, Incarnation, Instant, RowVersion, StoreEra};
use wagtailmoor_router::{LeaderLease, LeaderRow, LeaseAction};

const STEP: Duration = Duration::from_millis(50);

/// Seeds of random schedules, unless `WAGTAILMOOR_SEEDS` sets another number.
const DEFAULT_SEED_COUNT: u64 = 300;

/// A row that changes by conditional writes only, in a store that can be restored.
#[derive(Default)]
struct FakeRow {
    row: Option<LeaderRow>,
    version: u64,
    era: StoreEra,
    copy: (Option<LeaderRow>, u64),
}

impl FakeRow {
    fn read(&self) -> Option<(LeaderRow, RowVersion)> {
        self.row.clone().map(|row| (row, RowVersion::in_era(self.era, self.version)))
    }

    fn take_copy(&mut self) {
        self.copy = (self.row.clone(), self.version);
    }

    /// Restores the row from the copy. Versions are issued again.
    fn restore(&mut self) {
        (self.row, self.version) = self.copy.clone();
        self.era = self.era.next();
    }

    fn write(&mut self, row: &LeaderRow, expected: RowVersion) -> Option<RowVersion> {
        (expected.number() == self.version).then(|| {
            self.version += 1;
            self.row = Some(row.clone());
            RowVersion::in_era(self.era, self.version)
        })
    }
}

fn lease(name: &str, incarnation: u64) -> LeaderLease {
    let address = "127.0.0.1:1".parse().unwrap();
    LeaderLease::new(name.parse().unwrap(), Incarnation::new(incarnation), address)
}

/// Executes an operation without delay.
fn execute(now: Instant, lease: &mut LeaderLease, row: &mut FakeRow, action: LeaseAction) {
    match action {
        LeaseAction::Read => {
            lease.on_era(now, row.era);
            lease.on_read(now, row.read());
        }
        LeaseAction::Write { row: new, expected } => {
            // The client of the store sends no write that expects a version of a former era.
            let is_former = expected != RowVersion::default() && expected.era() < lease.era();
            let version = (!is_former).then(|| row.write(&new, expected)).flatten();
            lease.on_era(now, row.era);
            lease.on_written(now, new, version);
        }
    }
}

fn seed_count() -> u64 {
    let stated = std::env::var("WAGTAILMOOR_SEEDS").ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT)
}

fn run(now: &mut Instant, lease: &mut LeaderLease, row: &mut FakeRow, span: Duration) {
    for _ in 0..span.as_millis() / STEP.as_millis() {
        *now = *now + STEP;
        if let Some(action) = lease.tick(*now, false) {
            execute(*now, lease, row, action);
        }
    }
}

// Guards against a new leader that moves keys while its predecessor can still renew their grants.
#[test]
fn a_new_leader_waits_for_the_end_of_the_previous_lease() {
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

// Guards against keys of lost targets that wait for a lease that ended before the store came back:
// the wait counted from the claim, 4.1 s after an outage that had outlasted the lease.
#[test]
fn a_new_leader_does_not_wait_for_a_lease_that_has_ended() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let until = first.authority(now).expect("the first process leads").until;
    second.on_read(now, row.read());
    // The store is unreachable for longer than the lease.
    now = now + Duration::from_secs(6);
    run(&mut now, &mut second, &mut row, Duration::from_millis(1_200));
    let authority = second.authority(now).expect("the abandoned row was replaced");
    assert!(authority.may_move(now));
    assert!(authority.sole_from >= until, "grants may have been renewed until then");
}

// Guards against a new leader that waits although its predecessor resigned.
#[test]
fn a_resigned_leader_is_replaced_at_once() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let action = first.resign(now).expect("the leader resigns");
    execute(now, &mut first, &mut row, action);
    run(&mut now, &mut second, &mut row, Duration::from_millis(200));
    assert!(second.authority(now).is_some_and(|authority| authority.may_move(now)));
}

// Guards against a restarted leader that waits for the lease of its previous incarnation.
#[test]
fn a_restarted_leader_takes_its_row_back_at_once() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    run(&mut now, &mut lease("n1", 1), &mut row, Duration::from_secs(3));
    let mut again = lease("n1", 2);
    run(&mut now, &mut again, &mut row, Duration::from_millis(200));
    assert!(again.authority(now).is_some_and(|authority| authority.may_move(now)));
}

// Guards against a new leader, also of a site that restarts as a whole, that divides limits among
// the few nodes that reported to it first.
#[test]
fn a_new_leader_knows_how_many_nodes_there_were() {
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

/// A process's view of the leader, in transit to another process.
struct Message {
    due: Instant,
    from: usize,
    to: usize,
    leads: bool,
    observed: Option<(LeaderRow, RowVersion)>,
}

/// Sends and delivers messages between processes at random.
fn exchange(
    now: Instant,
    random: &mut ChaCha8Rng,
    leases: &mut [LeaderLease; 3],
    messages: &mut Vec<Message>,
) {
    let (from, to) = (random.random_range(0..3), random.random_range(0..3));
    if from != to && random.random_bool(0.3) {
        let due = now + Duration::from_millis(random.random_range(0..400));
        let leads = leases[from].authority(now).is_some();
        messages.push(Message { due, from, to, leads, observed: leases[from].observed() });
    }
    let (due, later) = std::mem::take(messages).into_iter().partition(|message| message.due <= now);
    *messages = later;
    for Message { from, to, leads, observed, .. } in due {
        let version = observed.as_ref().map(|(_, version)| *version);
        leases[to].observe(now, observed);
        if let (false, Some(version)) = (leads, version) {
            leases[to].record_lapsed(&format!("n{}", from + 1).parse().unwrap(), version);
        }
    }
}

// Guards against two processes that overwrite each other's owners: after a conflicting write a
// leader continued, although the leader's row already named another process, and moved keys that
// the other leader renewed (schedule 9226037279438407315 of the ranges).
#[test]
fn a_suspended_leader_acts_again_only_after_a_renewal() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    first.suspend();
    assert!(first.authority(now).is_none());
    run(&mut now, &mut first, &mut row, STEP);
    assert!(first.authority(now).is_some(), "the row still named it");
    run(&mut now, &mut second, &mut row, Duration::from_millis(3_500));
    assert!(second.authority(now).is_some(), "the row was abandoned");
    first.suspend();
    run(&mut now, &mut first, &mut row, STEP);
    assert!(first.authority(now).is_none(), "the row was replaced");
}

// Guards against two processes that may move keys at the same time, under lost answers, late
// writes, outdated messages and paused processes.
// With restores: guards against a leader of a former era that acts beside one of the new era, because
// the row went back or a late write replaced a version that was issued again, and against a
// generation that goes back.
#[rstest]
#[case::no_restores(false)]
#[case::restores(true)]
fn at_most_one_process_may_move_keys(#[case] restores: bool) {
    for seed in 0..seed_count() {
        let mut last_term = Generation::default();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::from_us(1_000_000);
        let mut row = FakeRow::default();
        let mut leases = [lease("n1", 1), lease("n2", 1), lease("n3", 1)];
        let mut paused_until = [Instant::default(); 3];
        let mut messages: Vec<Message> = Vec::new();
        let mut late: Vec<(Instant, LeaderRow, RowVersion)> = Vec::new();
        for _ in 0..1_200 {
            now = now + STEP;
            if restores && random.random_bool(0.02) {
                row.take_copy();
            }
            if restores && random.random_bool(0.004) {
                row.restore();
            }
            exchange(now, &mut random, &mut leases, &mut messages);
            late.retain(|(due, new, expected)| {
                if *due <= now {
                    row.write(new, *expected);
                }
                *due > now
            });
            for index in 0..leases.len() {
                if random.random_bool(0.005) {
                    paused_until[index] =
                        now + Duration::from_millis(random.random_range(100..8_000));
                }
                if now < paused_until[index] {
                    continue;
                }
                if random.random_bool(0.01) {
                    leases[index].suspend();
                }
                let leader_answers = random.random_bool(0.5);
                match leases[index].tick(now, leader_answers) {
                    // The call is lost, or takes effect later without an answer.
                    Some(LeaseAction::Write { row: new, expected }) if random.random_bool(0.1) => {
                        if random.random_bool(0.5) {
                            let delay = Duration::from_millis(random.random_range(0..4_000));
                            late.push((now + delay, new, expected));
                        }
                        leases[index].on_failed();
                    }
                    Some(action) => execute(now, &mut leases[index], &mut row, action),
                    None => {}
                }
            }
            let may_move = leases.iter().filter(|lease| {
                lease.authority(now).is_some_and(|authority| authority.may_move(now))
            });
            let terms: Vec<Generation> = may_move.filter_map(|lease| lease.term(now)).collect();
            assert!(terms.len() <= 1, "seed {seed} at {now:?}: {terms:?}");
            let term = terms.first().copied().unwrap_or(last_term);
            assert!(term >= last_term, "seed {seed} at {now:?}: {term} after {last_term}");
            last_term = term;
        }
    }
}

// Guards against a new leader that relies on an outdated report that its predecessor does not act,
// although that one leads again (fvmu-macerator inc-05e6: two nodes could move keys at once).
#[test]
fn a_leader_that_leads_again_is_not_replaced_at_once() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    second.on_read(now, row.read());
    // The store is unreachable until the leader's lease expires, which the leader reports.
    now = now + Duration::from_secs(6);
    assert!(first.tick(now, true).is_none() && first.authority(now).is_none());
    let (_, known) = first.observed().unwrap();
    second.record_lapsed(&"n1".parse().unwrap(), known);
    assert!(second.is_vacant());
    run(&mut now, &mut first, &mut row, Duration::from_secs(1));
    assert!(first.authority(now).is_some());
    second.observe(now, row.read());
    assert!(!second.is_vacant());
    run(&mut now, &mut second, &mut row, Duration::from_millis(1_500));
    assert!(second.authority(now).is_none_or(|authority| !authority.may_move(now)));
}

// Guards against a new leader that learns of its own row from another node before the store
// answers, and takes it for the row that it replaced.
#[test]
fn an_own_row_observed_before_its_answer_shortens_no_wait() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let until = first.authority(now).unwrap().until;
    let claim = loop {
        now = now + STEP;
        match second.tick(now, false) {
            Some(LeaseAction::Write { row, expected }) => break (row, expected),
            Some(action) => execute(now, &mut second, &mut row, action),
            None => {}
        }
    };
    let version = row.write(&claim.0, claim.1);
    second.observe(now, row.read());
    second.on_written(now, claim.0, version);
    let authority = second.authority(now).expect("the row was written");
    assert!(authority.sole_from >= until);
}

// Guards against keys that wait for a new leader after each restore of the store, although their
// leader could continue, and against a generation that goes back with the row.
#[test]
fn a_leader_continues_in_a_new_era() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(1));
    row.take_copy();
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let before = first.term(now).expect("the first process leads");
    row.restore();
    assert_eq!(first.on_era(now, row.era), Some(StoreEra::default()));
    assert_eq!(first.term(now), Some(before), "it may still act");
    run(&mut now, &mut second, &mut row, STEP * 2);
    run(&mut now, &mut first, &mut row, STEP * 4);
    let after = first.term(now).expect("it leads again");
    assert!(after > before && after.era() == row.era, "{after}");
    assert_eq!(first.continued(), Some(before));
    assert!(second.authority(now).is_none());
}

// Guards against a new leader that moves keys while one whose row was lost with a restore still
// acts: the restored row names an earlier leader, which had resigned.
#[test]
fn a_restored_row_shortens_no_wait() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let (mut first, mut second) = (lease("n1", 1), lease("n2", 1));
    run(&mut now, &mut first, &mut row, Duration::from_secs(3));
    let action = first.resign(now).expect("the leader resigns");
    execute(now, &mut first, &mut row, action);
    row.take_copy();
    run(&mut now, &mut second, &mut row, Duration::from_secs(2));
    let until = second.authority(now).expect("the second process leads").until;
    row.restore();
    let mut third = lease("n3", 1);
    run(&mut now, &mut third, &mut row, Duration::from_millis(3_500));
    let authority = third.authority(now).expect("the row was abandoned");
    assert!(authority.sole_from >= until);
}

// Guards against a write from before a restore that counts as a renewal, because the version that it
// expects was issued again.
#[test]
fn a_late_write_of_a_former_era_is_no_renewal() {
    let (mut now, mut row) = (Instant::from_us(1_000_000), FakeRow::default());
    let mut first = lease("n1", 1);
    run(&mut now, &mut first, &mut row, Duration::from_secs(1));
    row.take_copy();
    let renewal = loop {
        now = now + STEP;
        if let Some(LeaseAction::Write { row, expected }) = first.tick(now, false) {
            break (row, expected);
        }
    };
    row.restore();
    let until = first.authority(now).expect("it leads").until;
    let version = row.write(&renewal.0, renewal.1);
    assert!(version.is_some(), "the version was issued again");
    first.on_written(now, renewal.0, version);
    assert!(first.authority(now).is_some_and(|authority| authority.until == until));
}
