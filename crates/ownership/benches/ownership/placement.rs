//! Slots moved and imbalance after joins and leaves, compared with two simple schemes.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{PartsPerMillion, Weight, rendezvous_score};
use wagtailmoor_ownership::{Candidate, Item, Placement};

use crate::table;

const SLOTS: u64 = 4_096;
const SEEDS: u64 = 5;
const POINTS_PER_TARGET: u64 = 100;

type Scheme = fn(&[String], &[u32], Option<(&[String], &[usize])>) -> Vec<usize>;

const SCHEMES: [(&str, Scheme); 3] =
    [("placement", capped_rendezvous), ("hash-mod", hash_mod), ("consistent", consistent)];

pub(crate) fn print() {
    let mut rows = Vec::new();
    for targets in [15, 20, 200, 600] {
        for (name, scheme) in SCHEMES {
            for joins in [true, false] {
                rows.push(measure(targets, name, scheme, joins));
            }
        }
    }
    let head = [
        "targets",
        "change",
        "scheme",
        "moved %",
        "minimum %",
        "max/mean count",
        "max/mean heat",
        "heat before",
    ];
    table::print("Slots moved and imbalance, 4,096 slots, 5 seeds", &head, &rows);
}

fn measure(targets: usize, name: &str, scheme: Scheme, joins: bool) -> Vec<String> {
    let (mut moved, mut count, mut heat, mut heat_before) = (0.0, 0.0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let heats: Vec<u32> = (0..SLOTS).map(|_| slot_heat(&mut random)).collect();
        let mut names: Vec<String> =
            (0..targets).map(|index| format!("server-{seed}-{index}")).collect();
        let before = scheme(&names, &heats, None);
        heat_before += imbalance(&before, &heats, targets);
        let old = names.clone();
        if joins {
            names.push(format!("server-{seed}-{targets}"));
        } else {
            names.remove(random.random_range(0..targets));
        }
        let after = scheme(&names, &heats, Some((&old, &before)));
        let changed = before.iter().zip(&after).filter(|(was, is)| old[**was] != names[**is]);
        moved += changed.count() as f64 / SLOTS as f64;
        count += imbalance(&after, &vec![1; heats.len()], names.len());
        heat += imbalance(&after, &heats, names.len());
    }
    let mean = |sum: f64| sum / SEEDS as f64;
    let minimum = 1.0 / if joins { targets + 1 } else { targets } as f64;
    vec![
        targets.to_string(),
        if joins { "join" } else { "leave" }.to_owned(),
        name.to_owned(),
        format!("{:.2}", mean(moved) * 100.0),
        format!("{:.2}", minimum * 100.0),
        format!("{:.2}", mean(count)),
        format!("{:.2}", mean(heat)),
        format!("{:.2}", mean(heat_before)),
    ]
}

// Most slots have similar load; one in twenty has up to five times as much.
fn slot_heat(random: &mut ChaCha8Rng) -> u32 {
    let heat = random.random_range(80..120);
    if random.random_range(0..20) == 0 { heat * random.random_range(2..=5) } else { heat }
}

fn imbalance(owners: &[usize], heats: &[u32], targets: usize) -> f64 {
    let mut loads = vec![0_u64; targets];
    for (owner, heat) in owners.iter().zip(heats) {
        loads[*owner] += u64::from(*heat);
    }
    let total: u64 = loads.iter().sum();
    let most = loads.iter().max().copied().unwrap_or_default();
    most as f64 * targets as f64 / total as f64
}

fn capped_rendezvous(
    names: &[String],
    heats: &[u32],
    before: Option<(&[String], &[usize])>,
) -> Vec<usize> {
    let candidate = |name: &String| Candidate {
        target: name.parse().expect("a valid id"),
        capacity: Weight::new(1),
    };
    let kept = |index: usize| {
        let (old, owners) = before?;
        names.iter().position(|name| *name == old[owners[index]])
    };
    let item = |(index, heat): (usize, &u32)| Item {
        hash: index as u64,
        heat: *heat,
        owner: kept(index),
        successor: None,
    };
    let items: Vec<Item> = heats.iter().enumerate().map(item).collect();
    let cap = PartsPerMillion::new(1_100_000);
    let placement = Placement::new(names.iter().map(candidate).collect(), cap);
    let placed = placement.place(&items).expect("there are candidates");
    placed.into_iter().map(|placed| placed.owner).collect()
}

fn hash_mod(names: &[String], heats: &[u32], _before: Option<(&[String], &[usize])>) -> Vec<usize> {
    let owner = |slot: usize| rendezvous_score(slot as u64, "slot") % names.len() as u64;
    (0..heats.len()).map(|slot| owner(slot) as usize).collect()
}

fn consistent(
    names: &[String],
    heats: &[u32],
    _before: Option<(&[String], &[usize])>,
) -> Vec<usize> {
    let points = |(index, name): (usize, &String)| {
        (0..POINTS_PER_TARGET)
            .map(move |point| (rendezvous_score(point, name), index))
            .collect::<Vec<_>>()
    };
    let mut ring: Vec<(u64, usize)> = names.iter().enumerate().flat_map(points).collect();
    ring.sort_unstable();
    let owner = |slot: usize| {
        let hash = rendezvous_score(slot as u64, "slot");
        let next = ring.partition_point(|(point, _)| *point < hash);
        ring[next % ring.len()].1
    };
    (0..heats.len()).map(owner).collect()
}
