//! Reservation of fencing tokens in a store that may be restored.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use wagtailmoor_core::{Epoch, Incarnation, Instant, ShardKey, StoreEra};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, EpochBlock, GrantOutcome, KeyRange,
    Member, RangeAssigner, ReleaseOutcome, StoreOutcome, TargetProcess,
};

fn member(name: &str, eligible: bool) -> Member {
    let process = TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) };
    Member { process, capacity_per_s: 10.0, eligible, leaving: !eligible }
}

/// Returns the fencing tokens of the grants and releases among commands.
fn tokens(commands: &[Command]) -> impl Iterator<Item = Epoch> {
    commands.iter().filter_map(|command| match command {
        Command::Grant { epoch, .. } | Command::Release { epoch, .. } => Some(*epoch),
        Command::Store { .. } => None,
    })
}

/// Moves the keys between two targets until `span` has passed, and returns the tokens that were used.
fn run(assigner: &mut RangeAssigner, start: Instant, span: Duration) -> Vec<Epoch> {
    let mut used = Vec::new();
    let mut now = start;
    while now < start + span {
        now = now + Duration::from_millis(50);
        let first_leaves = (now.as_us() / 1_000_000).is_multiple_of(2);
        assigner.set_members(now, vec![member("t1", !first_leaves), member("t2", first_leaves)]);
        let commands = assigner.tick(now);
        used.extend(tokens(&commands));
        for command in commands {
            match command {
                Command::Grant { process, range, epoch, .. } => {
                    let outcome = GrantOutcome::Held;
                    assigner.on_grant_outcome(now, &process, range, epoch, now, outcome);
                }
                Command::Release { process, range, epoch } => {
                    let outcome = ReleaseOutcome::Replaced;
                    assigner.on_release_outcome(now, &process, range, epoch, &outcome);
                }
                Command::Store { .. } => assigner.on_store_outcome(now, StoreOutcome::Stored),
            }
        }
    }
    used
}

fn authority() -> Authority {
    Authority { sole_from: Instant::default(), until: Instant::from_us(u64::MAX) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // Guards against two terms of an era that issue the same fencing token, and against a token of a
    // later term that is not above all of the terms before it, whatever owners a term knows.
    #[test]
    fn tokens_rise_from_term_to_term(
        known_epochs in prop::collection::vec(0..(3u64 << 32), 1..6),
        era in 1..4u64,
    ) {
        let era = StoreEra::new(era);
        let settings = AssignerSettings::default();
        let (mut reserved, mut highest) = (None, Epoch::base_of(era));
        for known in known_epochs {
            // A late write of a former era may have replaced the newest owners by any older ones.
            let mut known_owners = AssignmentTable::default();
            known_owners.mark_epochs_used(Epoch::new(known % Epoch::base_of(era).get()));
            let block = EpochBlock::next(era, reserved, Epoch::default()).unwrap();
            reserved = Some(block.end());
            let start = Instant::from_us(10_000_000);
            let mut assigner =
                RangeAssigner::after_restore(start, settings.clone(), authority(), Some(&known_owners));
            assigner.use_epochs(&block);
            let used = run(&mut assigner, start, Duration::from_secs(14));
            prop_assert!(used.len() > 10, "the keys move");
            prop_assert!(used.iter().all(|token| *token > highest && token.era() == era));
            prop_assert!(used.iter().all(|token| *token <= block.end()));
            highest = used.into_iter().max().unwrap();
        }
    }

    // Guards against tokens of an era that overlap those of the next one, and against arithmetic on
    // a stored number that wraps around.
    #[test]
    fn blocks_stay_within_their_era(
        era in 0..(1u64 << 21),
        reserved in prop::option::of(any::<u64>()),
        used in any::<u64>(),
    ) {
        let era = StoreEra::new(era);
        let block = EpochBlock::next(era, reserved.map(Epoch::new), Epoch::new(used));
        if let Some(block) = block {
            prop_assert!(block.after() >= Epoch::base_of(era));
            prop_assert!(block.end() < Epoch::base_of(era.next()));
            prop_assert!(reserved.is_none_or(|reserved| block.after() >= Epoch::new(reserved)));
            prop_assert_eq!(block.end().get() - block.after().get(), EpochBlock::LEN);
        }
    }
}

// Guards against arithmetic on the token of a stored row that overflows, and against tokens that go
// back behind it: a row may name any token, also in a store without eras.
#[rstest]
#[case::first(0, true)]
#[case::usual(5_000_000, true)]
#[case::nearly_used_up(u64::MAX - 4_200, true)]
#[case::within_the_gap(u64::MAX - 1, false)]
#[case::used_up(u64::MAX, false)]
fn any_stored_token_is_taken(#[case] stored: u64, #[case] moves: bool) {
    let start = Instant::from_us(10_000_000);
    let mut owners = AssignmentTable::default();
    owners.assign(KeyRange::ALL, member("t1", true).process);
    owners.mark_epochs_used(Epoch::new(stored));
    let settings = AssignerSettings::default();
    let mut assigner = RangeAssigner::first_under(start, settings, authority(), Some(&owners));
    let used = run(&mut assigner, start, Duration::from_secs(10));
    let new = used.into_iter().filter(|token| *token > Epoch::new(1)).collect::<Vec<_>>();
    assert!(new.iter().all(|token| *token > Epoch::new(stored)));
    assert_eq!(!new.is_empty(), moves, "a change of owner needs a token above the stored one");
}

// Guards against a leader that uses tokens behind its block, and against keys that no longer move
// although a further block was reserved.
#[test]
fn keys_wait_for_a_further_block() {
    let era = StoreEra::new(1);
    let start = Instant::from_us(10_000_000);
    let first = EpochBlock::next(era, None, Epoch::default()).unwrap();
    let mut owners = AssignmentTable::default();
    owners.assign(KeyRange::ALL, member("t1", true).process);
    owners.mark_epochs_used(Epoch::new(first.end().get() - 5_000));
    let settings = AssignerSettings::default();
    let mut assigner = RangeAssigner::first_under(start, settings, authority(), Some(&owners));
    assigner.use_epochs(&first);
    assert!(assigner.needs_epochs());
    let later = start + Duration::from_secs(3_600);
    let used = run(&mut assigner, start, Duration::from_secs(3_600));
    assert!(used.iter().all(|token| *token <= first.end()));
    let stuck = run(&mut assigner, later, Duration::from_secs(10));
    let last = *used.iter().max().unwrap();
    assert!(stuck.iter().all(|token| *token <= last), "no token is left for a move");
    let second = EpochBlock::next(era, Some(first.end()), Epoch::default()).unwrap();
    assigner.use_epochs(&second);
    let used = run(&mut assigner, later + Duration::from_secs(10), Duration::from_secs(10));
    assert!(used.iter().any(|token| *token > first.end()));
    assert!(assigner.table().assignment_of(ShardKey::new(0)).is_some());
}
