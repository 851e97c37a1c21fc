//! Expiry of the stored grants when an assigner starts.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{Incarnation, Instant, ShardKey};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, KeyRange, Member, RangeAssigner, TargetProcess,
};

fn process(name: &str) -> TargetProcess {
    TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) }
}

/// Returns how long the keys of a target that is no longer registered wait for another owner.
fn wait_for_next_owner(mut assigner: RangeAssigner, start: Instant) -> Duration {
    let next = process("t2");
    let member =
        Member { process: next.clone(), capacity_per_s: 10.0, eligible: true, leaving: false };
    let mut now = start;
    while assigner.table().assignment_of(ShardKey::new(0)).unwrap().owner != next {
        now = now + Duration::from_millis(20);
        assigner.set_members(now, vec![member.clone()]);
        assigner.tick(now);
    }
    now.saturating_since(start)
}

// Guards against two owners of a key after a write conflict: the assigner is restarted under an
// authority that began long ago, and this process has renewed the grants since.
// Guards also against keys that wait for a whole validity again although the leader that could
// renew their grants stopped long ago.
#[rstest]
#[case::sent_no_grants(RangeAssigner::first_under, false)]
#[case::may_have_sent_grants(RangeAssigner::new, true)]
fn stored_grants_expire_after_the_last_possible_renewal(
    #[case] start_assigner: fn(
        Instant,
        AssignerSettings,
        Authority,
        Option<&AssignmentTable>,
    ) -> RangeAssigner,
    #[case] waits: bool,
) {
    let start = Instant::from_us(60_000_000);
    let settings = AssignerSettings::default();
    let validity_max = settings.grant_validity_max() + settings.call_timeout;
    let mut table = AssignmentTable::default();
    table.assign(KeyRange::ALL, process("t1"));
    let sole_from = start - Duration::from_secs(10);
    let authority = Authority { sole_from, until: start + Duration::from_secs(60) };
    let assigner = start_assigner(start, settings, authority, Some(&table));
    let waited = wait_for_next_owner(assigner, start);
    assert_eq!(waited >= validity_max, waits, "waited {waited:?}");
}
