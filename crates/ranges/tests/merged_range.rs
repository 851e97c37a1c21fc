//! A merged range when the store is restored.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Incarnation, Instant, ShardKey, StoreEra};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, EpochBlock, GrantOutcome, KeyRange,
    Member, RangeAssigner, StoreOutcome, TargetProcess,
};

const TICK: Duration = Duration::from_millis(20);

fn member(name: &str) -> Member {
    let process = TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) };
    Member { process, capacity_per_s: 10.0, eligible: true, leaving: false }
}

/// Ticks until the assigner stores merged ranges; answers its grants. Returns the time, and that of
/// the last grant. With many members, as in the first two seconds, nothing is merged.
fn run_until_merge(assigner: &mut RangeAssigner, start: Instant) -> (Instant, Instant) {
    let (mut now, mut granted_at) = (start, start);
    loop {
        now = now + TICK;
        let others =
            (2..8).map(|number| Member { eligible: false, ..member(&format!("t{number}")) });
        let is_early = now < start + Duration::from_secs(2);
        let members = [member("t1")].into_iter().chain(others.filter(|_| is_early));
        assigner.set_members(now, members.collect());
        for command in assigner.tick(now) {
            match command {
                Command::Grant { process, range, epoch, .. } => {
                    let held = GrantOutcome::Held;
                    assigner.on_grant_outcome(now, &process, range, epoch, now, held);
                    granted_at = now;
                }
                Command::Store { .. } => return (now, granted_at),
                Command::Release { .. } => panic!("nothing is released"),
            }
        }
    }
}

// Guards against two owners of a key after a restore of the store: a merged range that was not
// stored yet counted as free when the grants of other leaders had expired, although this process had
// renewed the grants of its owner since (schedule 17885831656197029901).
#[test]
fn a_merged_range_is_not_free_before_its_grants_expire() {
    let settings = AssignerSettings::default();
    let validity = settings.grant_validity;
    let start = Instant::from_us(60_000_000);
    // The previous leader stopped some time ago, so its grants expire before those sent from now on.
    let sole_from = start - Duration::from_secs(3);
    let authority = Authority { sole_from, until: start + Duration::from_secs(60) };
    let mut table = AssignmentTable::default();
    for range in KeyRange::ALL.split(12) {
        table.assign(range, member("t1").process);
    }
    let mut assigner = RangeAssigner::first_under(start, settings, authority, Some(&table));
    let (merged_at, granted_at) = run_until_merge(&mut assigner, start);
    let block = EpochBlock::next(StoreEra::new(1), None, Epoch::default()).unwrap();
    assigner.enter_era(merged_at, &block);
    let mut now = merged_at;
    let is_assigned = |assigner: &RangeAssigner| {
        let owners = assigner.table();
        let owner = owners.assignment_of(ShardKey::new(0)).map(|known| known.owner.clone());
        owner == Some(member("t2").process)
    };
    while !is_assigned(&assigner) {
        now = now + TICK;
        assigner.set_members(now, vec![member("t2")]);
        for command in assigner.tick(now) {
            if matches!(command, Command::Store { .. }) {
                assigner.on_store_outcome(now, StoreOutcome::Stored);
            }
        }
    }
    let waited = now.saturating_since(granted_at);
    assert!(waited >= validity, "free {waited:?} after a grant for {validity:?}");
}
