//! Order, bounds, deadlines and cancellation of the fair queue.

mod harness;

use std::time::Duration;

use harness::run_seeds;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailmoor_core::{CustomerId, Instant, Weight};
use wagtailmoor_limits::{FairQueue, PushResult, QueueLimits};

const NO_DEADLINE: Instant = Instant::from_us(u64::MAX);

fn customer(index: usize) -> CustomerId {
    format!("customer-{index}").parse().expect("a valid customer id")
}

fn queue<T>(total: usize, per_customer: usize) -> FairQueue<T> {
    FairQueue::new(QueueLimits { total, per_customer })
}

fn is_waiting<T>(result: &PushResult<T>) -> bool {
    matches!(result, PushResult::Waiting { evicted: None, .. })
}

/// Guards against service that does not follow the weights of backlogged customers.
#[rstest]
#[case::equal([1, 1, 1])]
#[case::weighted([1, 2, 5])]
fn service_follows_weights(#[case] weights: [u32; 3]) {
    let mut queue = queue(10_000, 1_000);
    for round in 0..3_000 {
        let index = round % 3;
        let weight = Weight::new(weights[index]);
        assert!(is_waiting(&queue.push(&customer(index), weight, NO_DEADLINE, index)));
    }
    let mut served = [0_u32; 3];
    let total: u32 = weights.iter().sum();
    for _ in 0..total * 100 {
        let next = queue.pop(Instant::default(), Duration::ZERO).next;
        served[next.expect("all customers are backlogged")] += 1;
    }
    for (served, weight) in served.into_iter().zip(weights) {
        assert!(served.abs_diff(weight * 100) <= 1, "{served} for weight {weight}");
    }
}

/// Guards against an idle customer that accumulates service and then starves the others.
#[test]
fn idle_time_does_not_accumulate() {
    let mut queue = queue(1_000, 500);
    let weight = Weight::new(1);
    for _ in 0..200 {
        let _ = queue.push(&customer(0), weight, NO_DEADLINE, 0);
    }
    for _ in 0..100 {
        let _ = queue.pop(Instant::default(), Duration::ZERO);
    }
    for _ in 0..50 {
        let _ = queue.push(&customer(1), weight, NO_DEADLINE, 1);
    }
    let served: Vec<_> =
        (0..20).filter_map(|_| queue.pop(Instant::default(), Duration::ZERO).next).collect();
    assert_eq!(served.iter().filter(|index| **index == 1).count(), 10);
}

/// Guards against running a request that cannot finish before its deadline.
#[test]
fn late_requests_are_dropped() {
    let mut queue = queue(10, 10);
    let weight = Weight::new(1);
    for (item, deadline_us) in [(0, 100), (1, 149), (2, 150)] {
        let _ = queue.push(&customer(0), weight, Instant::from_us(deadline_us), item);
    }
    let popped = queue.pop(Instant::from_us(100), Duration::from_micros(50));
    assert_eq!((popped.next, popped.expired), (Some(2), vec![0, 1]));
    assert!(queue.is_empty());
}

/// Guards against a full queue in which the customer with the longest queue blocks the others.
#[test]
fn longest_queue_is_evicted() {
    let mut queue = queue(4, 4);
    let weight = Weight::new(1);
    for item in 0..4 {
        assert!(is_waiting(&queue.push(&customer(0), weight, NO_DEADLINE, item)));
    }
    assert!(matches!(queue.push(&customer(0), weight, NO_DEADLINE, 4), PushResult::Full(4)));
    let result = queue.push(&customer(1), weight, NO_DEADLINE, 5);
    assert!(matches!(result, PushResult::Waiting { evicted: Some(3), .. }));
    let result = queue.push(&customer(1), weight, NO_DEADLINE, 6);
    assert!(matches!(result, PushResult::Waiting { evicted: Some(2), .. }));
    // Both customers have two requests now, so one more makes customer 1's queue the longest.
    assert!(matches!(queue.push(&customer(1), weight, NO_DEADLINE, 7), PushResult::Full(7)));
}

/// Guards against lost, duplicate or reordered requests and wrong counts under random operations.
#[test]
fn each_request_leaves_once() {
    run_seeds(500, |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = queue(20, 8);
        let mut removals = vec![0_u32; 400];
        let mut tickets = Vec::new();
        let mut last_served = [0; 4];
        for item in 0..400_usize {
            let now = Instant::from_us(item as u64);
            let customer_index = rng.random_range(0..4);
            let deadline = now + Duration::from_micros(rng.random_range(0..100));
            let weight = Weight::new(rng.random_range(0..4));
            match queue.push(&customer(customer_index), weight, deadline, (customer_index, item)) {
                PushResult::Waiting { ticket, evicted } => {
                    tickets.push(ticket);
                    evicted.into_iter().for_each(|(_, removed)| removals[removed] += 1);
                }
                PushResult::Full((_, removed)) => removals[removed] += 1,
            }
            if rng.random_bool(0.2) && !tickets.is_empty() {
                let ticket = tickets.swap_remove(rng.random_range(0..tickets.len()));
                queue.cancel(&ticket).into_iter().for_each(|(_, removed)| removals[removed] += 1);
            }
            if rng.random_bool(0.5) {
                let popped = queue.pop(now, Duration::from_micros(10));
                popped.expired.iter().for_each(|(_, removed)| removals[*removed] += 1);
                if let Some((customer_index, removed)) = popped.next {
                    removals[removed] += 1;
                    if removed < last_served[customer_index] {
                        return Err(format!(
                            "customer {customer_index}: request {removed} served after a later one"
                        ));
                    }
                    last_served[customer_index] = removed;
                }
            }
            let waiting = removals[..=item].iter().filter(|count| **count == 0).count();
            if waiting != queue.len() || waiting > 20 {
                return Err(format!("{waiting} wait, but the queue counts {}", queue.len()));
            }
        }
        queue.drain().into_iter().for_each(|(_, removed)| removals[removed] += 1);
        match removals.iter().position(|count| *count != 1) {
            Some(item) => Err(format!("request {item} left the queue {} times", removals[item])),
            None => Ok(400),
        }
    });
}
