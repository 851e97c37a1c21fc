//! Token bucket, retry budget, slow start, zone shares and parsing of ids.

mod harness;

use std::time::Duration;

use harness::rate_check::RateCheck;
use harness::{MS, run_seeds};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailmoor_core::{Instant, PartsPerMillion};
use wagtailmoor_limits::{
    DEFAULT_STATIC_SHARE, IssuerTerm, ResourceId, RetryBudget, SlowStartSettings, Tag, TokenBucket,
    zone_share,
};

/// Guards against a bucket that exceeds rate and burst in some window.
#[test]
fn bucket_stays_within_rate_and_burst() {
    run_seeds(200, |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (rate, burst) = (rng.random_range(1..100), rng.random_range(1..20));
        let mut bucket = TokenBucket::full(Instant::default(), f64::from(rate), f64::from(burst));
        let mut check = RateCheck::new(rate, burst);
        let mut now_us = 0;
        for _ in 0..1_000 {
            now_us += rng.random_range(0..20 * MS);
            if bucket.take(Instant::from_us(now_us), 1.0) && !check.admit(now_us) {
                return Err(format!("{rate}/s with burst {burst} exceeded at {now_us} us"));
            }
        }
        Ok(1_000)
    });
}

/// Guards against a retry time that is too early or too late for the token.
#[test]
fn time_until_is_exact() {
    let at = Instant::from_us;
    let mut bucket = TokenBucket::empty(at(0), 4.0, 2.0);
    let wait = bucket.time_until(at(0), 1.0).expect("the rate is above zero");
    assert_eq!(wait, Duration::from_millis(250));
    assert!(!bucket.take(at(249 * MS), 1.0));
    assert!(bucket.take(at(250 * MS), 1.0));
    assert_eq!(bucket.time_until(at(250 * MS), 3.0), None);
}

/// Guards against retries that amplify an overload, and against a minimum that accumulates.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for ms in 0..20_000 {
        let now = Instant::from_us(ms * MS);
        budget.record_first(now);
        retries += u32::from(budget.take(now));
    }
    assert!((1_990..=2_020).contains(&retries), "{retries} retries for 20,000 first attempts");
    let idle = Instant::from_us(60_000 * MS);
    assert!(budget.take(idle));
    assert!(!budget.take(idle));
    assert!(budget.take(idle + Duration::from_secs(1)));
}

/// Guards against a cold target that gets load too early or never reaches its full limit.
#[rstest]
#[case(0, 1)]
#[case(499, 1)]
#[case(500, 2)]
#[case(1_000, 4)]
#[case(1_500, 4)]
#[case(90_000_000, 4)]
fn slow_start_limit_doubles_each_step(#[case] after_ms: u64, #[case] limit: u32) {
    let ramp = SlowStartSettings { concurrency: 1, step: Duration::from_millis(500) };
    let since = Instant::from_us(7);
    assert_eq!(ramp.limit(since, since + Duration::from_millis(after_ms), 4), limit);
}

/// Guards against zone shares that add up to more than the whole, or to much less.
#[rstest]
fn shares_add_up(#[values(1, 2, 3, 7, 8)] zones: u32) {
    let share = |home| zone_share(DEFAULT_STATIC_SHARE, zones, home).get();
    let total = share(true) + (zones - 1) * share(false);
    assert!((PartsPerMillion::ONE.get() - zones..=PartsPerMillion::ONE.get()).contains(&total));
}

/// Guards against ids that do not parse back from their text form.
#[test]
fn ids_parse_back() {
    let tag = Tag::of("customer-1");
    assert_eq!(tag.to_string().parse(), Ok(tag));
    let term = IssuerTerm::new(7);
    assert_eq!(term.to_string().parse(), Ok(term));
    let resource: ResourceId = "t1/connections".parse().expect("a valid resource id");
    assert_eq!(resource.to_string(), "t1/connections");
    assert!("t1/other".parse::<ResourceId>().is_err());
    assert!("12345".parse::<Tag>().is_err());
}
