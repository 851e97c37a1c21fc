//! Dates of the store's answers.

use std::time::Duration;

use proptest::prelude::*;
use wagtailmoor_core::{Instant, StoreTime};
use wagtailmoor_router::AnswerClock;

const START: Instant = Instant::from_us(50_000_000);

/// The store's clock shows this time at `START`.
const STORE_START_MS: u64 = 7_000;

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn store_time(ms: u64) -> Option<StoreTime> {
    Some(StoreTime::from_ms(STORE_START_MS + ms))
}

// Guards against an answer that waits in a socket while the process stands still, and that counts
// as confirmed when it is handled.
#[test]
fn an_answer_that_was_handled_late_is_as_old_as_its_call() {
    let mut clock = AnswerClock::default();
    assert_eq!(clock.date(at(0), at(3_000), store_time(2)), at(0));
}

// Guards against ages that grow by the wait of a call: an answer after 400 ms without a change is
// fresh.
#[test]
fn the_wait_of_a_call_does_not_add_to_the_age() {
    let mut clock = AnswerClock::default();
    clock.date(at(0), at(4), store_time(2));
    let made_at = clock.date(at(100), at(504), store_time(502));
    assert!(made_at >= at(498), "{made_at:?}");
}

// Guards against ages that grow on a quiet site: after ten minutes of calls that wait, an answer was
// dated 0.4 s too early.
#[test]
fn answers_are_dated_closely_after_many_waits() {
    let mut clock = AnswerClock::default();
    let mut sent_ms = 0;
    while sent_ms < 600_000 {
        let wait_ms = if clock.needs_reference(at(sent_ms)) { 0 } else { 400 };
        let made_ms = sent_ms + 2 + wait_ms;
        let dated = clock.date(at(sent_ms), at(made_ms + 2), store_time(made_ms));
        assert!(dated + Duration::from_millis(40) >= at(made_ms), "{dated:?}");
        sent_ms = made_ms + 22;
    }
}

// Guards against dates from before the store's clock was set anew, in both directions.
#[test]
fn a_clock_that_was_set_anew_is_not_compared_with_the_one_before() {
    let mut clock = AnswerClock::default();
    clock.date(at(0), at(4), store_time(5_000));
    assert_eq!(clock.date(at(1_000), at(1_004), store_time(0)), at(1_000));
    assert_eq!(clock.date(at(2_000), at(2_004), store_time(90_000)), at(2_000));
    assert!(clock.date(at(2_100), at(2_504), store_time(90_402)) >= at(2_400));
}

// Guards against a store without a clock whose answers are dated too late, or that is called without
// a pause because no answer becomes a reference.
#[test]
fn an_answer_without_a_time_counts_from_its_call() {
    let mut clock = AnswerClock::default();
    assert_eq!(clock.date(at(0), at(400), None), at(0));
    assert!(!clock.needs_reference(at(400)));
    clock.date(at(400), at(404), store_time(402));
    assert!(!clock.needs_reference(at(404)));
    assert!(clock.needs_reference(at(31_000)));
}

proptest! {
    // Guards against an answer that is dated after the store made it, for any delays of calls,
    // answers and their handling.
    #[test]
    fn no_answer_is_dated_after_it_was_made(
        calls in prop::collection::vec((0u64..2_000, 0u64..700, 0u64..500, 0u64..3_000), 1..60),
    ) {
        let mut clock = AnswerClock::default();
        let mut now_ms = 0;
        for (pause, to_store, wait, to_process) in calls {
            let sent = now_ms + pause;
            let made = sent + to_store + wait;
            let received = made + to_process;
            let dated = clock.date(at(sent), at(received), store_time(made));
            prop_assert!(at(sent) <= dated && dated <= at(made));
            now_ms = received;
        }
    }
}
