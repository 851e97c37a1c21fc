//! Lifetimes of reports and replies against the interval that they outlive.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_admission::ReportTiming;
use wagtailmoor_core::Instant;

// Guards against a lifetime that one lost report exceeds: at 295 nodes the interval was 1.77 s and
// the lifetime of a reply 1.0 s.
#[rstest]
fn a_reply_outlives_one_lost_report(#[values(1, 12, 83, 295, 800, 10_000)] nodes: usize) {
    let interval = ReportTiming::interval(nodes);
    let next_reply_at_most = interval + ReportTiming::CALL_TIMEOUT + interval;
    assert!(next_reply_at_most < ReportTiming::REPLY_LIFETIME);
}

// Guards against a leader that counts a node as overdue while the node still uses its allowances.
#[test]
fn the_leader_relies_on_a_report_longer_than_the_node_on_the_reply() {
    assert!(ReportTiming::REPLY_LIFETIME < ReportTiming::LEADER_TIMEOUT);
    assert!(ReportTiming::LEADER_TIMEOUT < ReportTiming::REPORT_LIFETIME);
}

// Guards against a reply that waits in a socket while the process stands still, and whose allowances
// count as new when it is handled, after the leader has divided them among the other nodes.
#[test]
fn a_reply_that_is_handled_late_does_not_count() {
    let sent_at = Instant::from_us(1_000_000);
    let handled = |delay: Duration| ReportTiming::is_in_time(sent_at, sent_at + delay);
    assert!(handled(ReportTiming::CALL_TIMEOUT));
    assert!(!handled(ReportTiming::CALL_TIMEOUT + Duration::from_millis(1)));
    assert!(!handled(ReportTiming::REPLY_LIFETIME));
}
