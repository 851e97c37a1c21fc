//! Release of the keys of a target that is leaving.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, KeyRange, Member, RangeAssigner,
    TargetProcess,
};

fn member(name: &str, leaving: bool) -> Member {
    let process = TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) };
    Member { process, capacity_per_s: 10.0, eligible: !leaving, leaving }
}

fn releases(assigner: &mut RangeAssigner, now: Instant) -> usize {
    let commands = assigner.tick(now);
    commands.iter().filter(|command| matches!(command, Command::Release { .. })).count()
}

// Guards against a release that starts before the nodes know that the target is leaving: they send
// requests that the target holds until the release is done and then refuses (run scale-1 of
// ra-gateway-large, 3,642 requests).
#[test]
fn keys_are_released_after_the_notice() {
    let start = Instant::from_us(1_000_000);
    let settings = AssignerSettings::default();
    let notice = settings.release_notice;
    let mut table = AssignmentTable::default();
    table.assign(KeyRange::ALL, member("i-1", false).process);
    let authority = Authority { sole_from: start, until: start + Duration::from_secs(60) };
    let mut assigner = RangeAssigner::new(start, settings, authority, Some(&table));
    assigner.set_members(start, vec![member("i-1", true), member("i-2", false)]);
    assert_eq!(releases(&mut assigner, start), 0);
    let shortly_before = start + notice - Duration::from_millis(1);
    assigner.set_members(shortly_before, vec![member("i-1", true), member("i-2", false)]);
    assert_eq!(releases(&mut assigner, shortly_before), 0);
    assert_eq!(releases(&mut assigner, start + notice), 1);
}

// Guards against a notice that goes on for a target that came back into service.
#[test]
fn a_target_that_stays_keeps_its_keys() {
    let start = Instant::from_us(1_000_000);
    let settings = AssignerSettings::default();
    let after_notice = start + settings.release_notice;
    let mut table = AssignmentTable::default();
    table.assign(KeyRange::ALL, member("i-1", false).process);
    let authority = Authority { sole_from: start, until: start + Duration::from_secs(60) };
    let mut assigner = RangeAssigner::new(start, settings, authority, Some(&table));
    assigner.set_members(start, vec![member("i-1", true), member("i-2", false)]);
    assigner.set_members(start, vec![member("i-1", false), member("i-2", false)]);
    assert_eq!(releases(&mut assigner, after_notice), 0);
    assigner.set_members(after_notice, vec![member("i-1", true), member("i-2", false)]);
    assert_eq!(releases(&mut assigner, after_notice), 0);
}
