//! Success rate of the worst-served customer: fair queue compared with a single FIFO queue.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{CustomerId, Instant, Weight};
use wagtailmoor_limits::{FairQueue, PushResult, QueueLimits};

const CUSTOMERS: usize = 8;
const END_US: u64 = 20_000_000;
const DEADLINE: Duration = Duration::from_millis(200);
/// Each request takes 1 ms, and the target runs one request at a time.
const SERVICE_TIME: Duration = Duration::from_millis(1);
const LIMITS: QueueLimits = QueueLimits { total: 512, per_customer: 256 };

trait Queue {
    fn push(&mut self, customer: usize, deadline: Instant);
    fn pop(&mut self, now: Instant) -> Option<usize>;
}

struct Fair {
    queue: FairQueue<usize>,
    ids: Vec<CustomerId>,
}

impl Queue for Fair {
    fn push(&mut self, customer: usize, deadline: Instant) {
        let weight = Weight::new(1);
        match self.queue.push(&self.ids[customer], weight, deadline, customer) {
            PushResult::Waiting { .. } | PushResult::Full(_) => {}
        }
    }

    fn pop(&mut self, now: Instant) -> Option<usize> {
        self.queue.pop(now, SERVICE_TIME).next
    }
}

impl Queue for VecDeque<(usize, Instant)> {
    fn push(&mut self, customer: usize, deadline: Instant) {
        if self.len() < LIMITS.total {
            self.push_back((customer, deadline));
        }
    }

    fn pop(&mut self, now: Instant) -> Option<usize> {
        loop {
            match self.pop_front()? {
                (_, deadline) if deadline < now + SERVICE_TIME => {}
                (customer, _) => return Some(customer),
            }
        }
    }
}

pub(crate) fn print() {
    println!("Fairness, 8 customers of equal weight, one at 5 times its rate, 20 s");
    println!("{:>6} | {:>22} | {:>22}", "load", "worst within its rate", "customer at 5 times");
    println!("{:>6} | {:>10} {:>11} | {:>10} {:>11}", "", "fair", "FIFO", "fair", "FIFO");
    for rate_per_s in [75.0, 90.0, 110.0, 125.0] {
        let ids = (0..CUSTOMERS).map(|index| format!("c{index}").parse().expect("a valid id"));
        let fair = run(Fair { queue: FairQueue::new(LIMITS), ids: ids.collect() }, rate_per_s);
        let fifo = run(VecDeque::new(), rate_per_s);
        let load = rate_per_s * (CUSTOMERS as f64 + 4.0) * SERVICE_TIME.as_secs_f64();
        println!(
            "{:>5.0}% | {:>9.1}% {:>10.1}% | {:>9.1}% {:>10.1}%",
            load * 100.0,
            worst_success(&fair) * 100.0,
            worst_success(&fifo) * 100.0,
            fair[0] * 100.0,
            fifo[0] * 100.0
        );
    }
    println!();
}

fn worst_success(success: &[f64]) -> f64 {
    success[1..].iter().copied().fold(1.0, f64::min)
}

/// Returns the share of each customer's requests that ran in time. Customer 0 sends 5 times as many
/// as each other customer.
fn run(mut queue: impl Queue, rate_per_s: f64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut arrived = [0_u64; CUSTOMERS];
    let mut served = [0_u64; CUSTOMERS];
    let mut free_at = Instant::default();
    let mut now_us = 0.0;
    while now_us < END_US as f64 {
        let total = rate_per_s * (CUSTOMERS as f64 + 4.0);
        now_us += -(1.0 - rng.random::<f64>()).ln() / total * 1e6;
        let now = Instant::from_us(now_us as u64);
        while free_at <= now {
            let Some(customer) = queue.pop(free_at) else { break };
            served[customer] += 1;
            free_at = free_at + SERVICE_TIME;
        }
        free_at = free_at.max(now);
        let customer = rng.random_range(0..CUSTOMERS + 4).saturating_sub(4);
        arrived[customer] += 1;
        queue.push(customer, now + DEADLINE);
    }
    let shares = served.iter().zip(arrived);
    shares.map(|(served, arrived)| *served as f64 / arrived as f64).collect()
}
