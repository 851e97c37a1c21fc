//! Owners that are missing from the registry for a while.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Incarnation, Instant};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, GrantOutcome, KeyRange, Member,
    RangeAssigner, TargetProcess,
};

const TICK: Duration = Duration::from_millis(20);

fn process(name: &str) -> TargetProcess {
    TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) }
}

fn member(process: &TargetProcess) -> Member {
    Member { process: process.clone(), capacity_per_s: 10.0, eligible: true, leaving: false }
}

/// Advances the assigner and returns the epoch of the grant that it sends, if any.
fn sent_grant(assigner: &mut RangeAssigner, now: Instant) -> Option<(TargetProcess, Epoch)> {
    assigner.tick(now).into_iter().find_map(|command| match command {
        Command::Grant { process, epoch, .. } => Some((process, epoch)),
        _ => None,
    })
}

// Guards against two owners of a key: a renewal without an answer may be applied seconds later.
// Its outcome was ignored while the owner was missing from the registry, so that a refused grant
// freed the keys before that renewal had expired (schedule 16184266247879662336).
#[test]
fn an_unanswered_renewal_counts_while_the_owner_is_unlisted() {
    let start = Instant::from_us(60_000_000);
    let (owner, other) = (process("t1"), process("t2"));
    let mut table = AssignmentTable::default();
    table.assign(KeyRange::ALL, owner.clone());
    let settings = AssignerSettings::default();
    let validity_max = settings.grant_validity_max();
    let authority = Authority { sole_from: start, until: start + Duration::from_secs(60) };
    let mut assigner = RangeAssigner::new(start, settings, authority, Some(&table));
    let listed = || vec![member(&owner), member(&other)];

    // The owner cannot be reached until its grant has nearly expired.
    let mut now = start;
    while now < start + Duration::from_secs(5) {
        now = now + TICK;
        assigner.set_members(now, listed());
        if let Some((to, epoch)) = sent_grant(&mut assigner, now) {
            assert_eq!(to, owner);
            let outcome = match now < start + Duration::from_secs(1) {
                true => GrantOutcome::Held,
                false => GrantOutcome::NotDelivered,
            };
            assigner.on_grant_outcome(now, &to, KeyRange::ALL, epoch, now, outcome);
        }
    }
    let (to, epoch, sent_at) = loop {
        now = now + TICK;
        assigner.set_members(now, listed());
        if let Some((to, epoch)) = sent_grant(&mut assigner, now) {
            break (to, epoch, now);
        }
    };
    // The owner is unlisted when the renewal times out, and listed again afterwards.
    assigner.set_members(now, vec![member(&other)]);
    assigner.tick(now);
    now = now + Duration::from_millis(800);
    assigner.on_grant_outcome(now, &to, KeyRange::ALL, epoch, sent_at, GrantOutcome::Unknown);
    assigner.set_members(now, listed());
    // From now on the owner refuses connections.
    while now < sent_at + validity_max {
        now = now + TICK;
        assigner.set_members(now, listed());
        match sent_grant(&mut assigner, now) {
            Some((to, epoch)) if to == owner => {
                let outcome = GrantOutcome::Refused;
                assigner.on_grant_outcome(now, &to, KeyRange::ALL, epoch, now, outcome);
            }
            Some((to, _)) => panic!("{to} was granted the keys at {now:?}, sent at {sent_at:?}"),
            None => {}
        }
        let table = assigner.table();
        let assignment = table.assignment_of(wagtailmoor_core::ShardKey::new(0)).unwrap();
        assert_eq!(assignment.owner, owner, "at {now:?}, renewed at {sent_at:?}");
    }
}
