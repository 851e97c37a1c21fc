//! Tests of the sketch that counts hot keys and of the rule that splits and merges them.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, KeyHash};
use wagtailmoor_ownership::{HeatRule, HeatSketch, HotKeyChange};

/// Guards against eviction of hot keys by many cold keys, and against counts that are too high,
/// which would split a key that is not hot.
#[test]
fn hot_keys_are_found_among_many_cold_ones() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut sketch = HeatSketch::new();
    let mut real = [0_u32; 72];
    for _ in 0..100_000 {
        let cold = random.random_range(0..2) == 0;
        let key =
            if cold { random.random_range(1_000..1_000_000) } else { random.random_range(0..72) };
        if let Some(count) = real.get_mut(key as usize) {
            *count += 1;
        }
        sketch.record(KeyHash::new(key));
    }
    let hottest = sketch.hottest();
    let found = |key: u64| hottest[..72].iter().any(|(other, _)| *other == KeyHash::new(key));
    assert!((0..72).all(found), "the 72 hot keys come first");
    let too_high = |(key, count): &(KeyHash, u32)| {
        real.get(key.get() as usize).is_some_and(|real| count > real)
    };
    assert!(!hottest.iter().any(too_high), "a reported count is a lower bound");
}

/// Guards against keys that stay hot in the sketch after their load has ended.
#[test]
fn decay_forgets_old_keys() {
    let mut sketch = HeatSketch::new();
    (0..100).for_each(|_| sketch.record(KeyHash::new(1)));
    sketch.decay();
    assert_eq!(sketch.hottest(), vec![(KeyHash::new(1), 50)]);
    (0..6).for_each(|_| sketch.decay());
    assert_eq!(sketch.hottest(), Vec::new());
}

/// Guards against splits below the threshold, and against merges of keys that are above the merge
/// threshold or have been below it only briefly.
#[test]
fn a_key_is_split_above_a_quarter_and_merged_after_five_cool_minutes() {
    let mut rule = HeatRule::new(Duration::from_secs(300));
    let key = KeyHash::new(1);
    let at = |seconds: u64| Instant::from_us(seconds * 1_000_000);
    assert_eq!(rule.decide(at(0), 1_000, &[(key, 250)], &[]), Vec::new());
    assert_eq!(rule.decide(at(1), 1_000, &[(key, 251)], &[]), vec![HotKeyChange::Split(key)]);
    assert_eq!(rule.decide(at(2), 1_000, &[(key, 61)], &[key]), Vec::new());
    assert_eq!(rule.decide(at(200), 1_000, &[(key, 62)], &[key]), Vec::new());
    assert_eq!(rule.decide(at(201), 1_000, &[], &[key]), Vec::new());
    assert_eq!(rule.decide(at(500), 1_000, &[], &[key]), Vec::new());
    assert_eq!(rule.decide(at(501), 1_000, &[], &[key]), vec![HotKeyChange::Merge(key)]);
}
