//! Shares of the back ends of a route, and how many requests cross zones.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_admission::SplitCandidate;

const REQUESTS: u32 = 40_000;

/// Largest deviation of a share that random variation explains.
const TOLERANCE: f64 = 0.01;

/// Requests that a back end got, and those of them that ran in another zone.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    all: u32,
    remote: u32,
}

/// Sends requests to a keyed back end of weight `keyed` and to pooled ones of the weights `pooled`,
/// which run in the node's zone. The owners of a part `local_share` of the requested keys are in
/// the node's zone.
fn send(keyed: u32, pooled: &[u32], local_share: f64) -> Vec<Counts> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut counts = vec![Counts::default(); 1 + pooled.len()];
    for _ in 0..REQUESTS {
        let is_local = random.random_bool(local_share);
        let mut candidates = vec![SplitCandidate { weight: keyed, is_local, local_share }];
        candidates.extend(pooled.iter().map(|weight| SplitCandidate {
            weight: *weight,
            is_local: true,
            local_share: 1.0,
        }));
        let index = SplitCandidate::choose(&candidates, &mut random);
        counts[index].all += 1;
        counts[index].remote += u32::from(!candidates[index].is_local);
    }
    counts
}

// Guards against shares that deviate from the weights because local requests are preferred.
#[rstest]
#[case::no_key_is_local(50, &[30, 20], 0.0)]
#[case::few_keys_are_local(50, &[30, 20], 0.2)]
#[case::more_keys_are_local_than_the_weight(10, &[30, 60], 0.2)]
#[case::all_keys_are_local(50, &[50], 1.0)]
#[case::a_part_without_weight(50, &[0, 50], 0.3)]
#[case::no_other_part(50, &[], 0.2)]
fn each_part_gets_its_share(#[case] keyed: u32, #[case] pooled: &[u32], #[case] local: f64) {
    let counts = send(keyed, pooled, local);
    let weights: Vec<u32> = [keyed].into_iter().chain(pooled.iter().copied()).collect();
    let total: u32 = weights.iter().sum();
    for (weight, counts) in weights.into_iter().zip(counts) {
        let expected = f64::from(weight) / f64::from(total);
        let share = f64::from(counts.all) / f64::from(REQUESTS);
        assert!((share - expected).abs() < TOLERANCE, "{share} for a weight of {expected}");
    }
}

// Guards against large responses that cross zones although another back end of the route runs in
// the node's zone (run quiet-1 of ra-gateway-large: bytes between zones were the dearest price).
#[test]
fn a_keyed_part_gets_local_requests_first() {
    let counts = send(33, &[67], 0.2);
    let remote_by_weight = 0.33 * 0.8;
    let remote = f64::from(counts[0].remote) / f64::from(REQUESTS);
    assert!(remote < 0.6 * remote_by_weight, "{remote} of all requests cross zones");
}

// Guards against weights that all are zero.
#[test]
fn parts_without_weight_are_chosen_by_position() {
    let counts = send(0, &[0], 0.2);
    assert_eq!(counts[1].all, REQUESTS);
}
