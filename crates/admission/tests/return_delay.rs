//! When a client whose request was refused for lack of room may return.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_admission::RefusedRequest;
use wagtailmoor_core::{PartsPerMillion, Priority};

fn refused(priority: u8, admitted_ppm: u32, left_ms: u64) -> RefusedRequest {
    RefusedRequest {
        priority: Priority::new(priority),
        admitted: PartsPerMillion::new(admitted_ppm),
        requested: None,
        left: Duration::from_millis(left_ms),
        service_time: Duration::from_millis(150),
    }
}

fn delays(refused: RefusedRequest) -> Vec<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    (0..200).filter_map(|_| refused.return_delay(&mut random)).collect()
}

fn mean(refused: RefusedRequest) -> Duration {
    let delays = delays(refused);
    delays.iter().sum::<Duration>() / delays.len() as u32
}

// Guards against less urgent requests that return as soon as urgent ones, and against requests that
// return as soon to a back end that admits few of them.
#[test]
fn less_urgent_and_less_admitted_requests_return_later() {
    let urgent = mean(refused(0, 900_000, 60_000));
    assert!(urgent * 5 / 4 < mean(refused(1, 900_000, 60_000)));
    assert!(urgent * 5 / 4 < mean(refused(0, 100_000, 60_000)));
}

// Guards against clients that return together, and against a delay that clients do not honour.
#[rstest]
#[case::short(400)]
#[case::medium(1_200)]
#[case::long(60_000)]
fn delays_are_spread_within_a_third_of_the_time_left(#[case] left_ms: u64) {
    let delays = delays(refused(2, 200_000, left_ms));
    assert_eq!(delays.len(), 200);
    let (first, last) = (*delays.iter().min().unwrap(), *delays.iter().max().unwrap());
    assert!(last <= Duration::from_millis(left_ms) / 3, "{last:?}");
    assert!(last - first > last / 3, "{first:?} to {last:?}");
}

// Guards against clients that return although a target could no longer answer them in time.
#[rstest]
#[case::no_time_left(0, 150)]
#[case::less_than_the_service_time(240, 200)]
#[case::third_is_too_short(280, 50)]
fn a_client_without_enough_time_gets_no_delay(#[case] left_ms: u64, #[case] service_ms: u64) {
    let service_time = Duration::from_millis(service_ms);
    assert!(delays(RefusedRequest { service_time, ..refused(0, 500_000, left_ms) }).is_empty());
}

// Guards against clients that return before the time that a full target asked for.
#[test]
fn the_delay_of_a_target_is_respected() {
    let requested = Duration::from_millis(900);
    let refused =
        RefusedRequest { requested: Some(requested.into()), ..refused(0, 1_000_000, 60_000) };
    assert!(delays(refused).into_iter().all(|delay| delay >= requested && delay < requested * 2));
}
