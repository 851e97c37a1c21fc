//! A single node becomes controller, stays controller by renewals, and stops at once when it
//! resigns. Guards against acting before the promises of a previous incarnation have expired, or on
//! an expired promise.

use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant, RowVersion};
use wagtailmoor_lease::{
    Authority, Candidate, LeaseAction, LeaseSettings, Member, StoredRow, WriteOutcome, WriteResult,
};

fn run(
    candidate: &mut Candidate,
    stored: &mut Option<StoredRow>,
    from_ms: u64,
    to_ms: u64,
) -> Instant {
    let at = |ms| Instant::default() + Duration::from_millis(ms);
    for now in (from_ms..to_ms).step_by(10).map(at) {
        for action in candidate.tick(now) {
            match action {
                LeaseAction::ReadRow => candidate.on_row(now, stored.clone()),
                LeaseAction::WriteRow { row, expected, write } => {
                    assert_eq!(expected, stored.as_ref().map(|stored| stored.version));
                    let version = expected.unwrap_or_default().next();
                    *stored = Some(StoredRow { row, version, write });
                    let outcome = WriteOutcome::Done(version);
                    candidate.on_write(now, WriteResult { write, outcome });
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    at(to_ms)
}

#[test]
fn single_node_is_controller_from_the_end_of_the_promise_wait_until_it_resigns() {
    let (node, zone) = ("n0".parse().expect("id"), "z0".parse().expect("id"));
    let settings = LeaseSettings::default();
    let mut candidate =
        Candidate::new(node, zone, Incarnation::new(1), settings, Instant::default());
    let mut stored = None;
    let (node, rack) = ("n0".parse().expect("id"), "r0".parse().expect("id"));
    candidate.on_members(Instant::default(), vec![Member { node, rack }]);

    let now = run(&mut candidate, &mut stored, 0, 500);
    assert_eq!(candidate.authority(now), Authority::NonMember);
    let now = run(&mut candidate, &mut stored, 500, 700);
    assert!(candidate.authority(now).is_controller());
    let now = run(&mut candidate, &mut stored, 700, 10_000);
    assert!(candidate.authority(now).is_controller());
    assert!(stored.as_ref().is_some_and(|stored| stored.version >= RowVersion::new(9)));
    // A paused node must not act on an expired promise.
    assert!(!candidate.authority(now + Duration::from_millis(500)).is_controller());
    candidate.resign(now);
    assert_eq!(candidate.authority(now), Authority::Standby);
    let now = run(&mut candidate, &mut stored, 10_000, 12_000);
    assert_eq!(candidate.authority(now), Authority::Standby);
}
