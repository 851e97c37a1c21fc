//! Number of moved slots and adherence to the load cap.

use rstest::rstest;
use wagtailmoor_core::{PartsPerMillion, Weight};
use wagtailmoor_ownership::{Candidate, Item, Placed, Placement};

const SLOTS: usize = 4_096;

fn placement(capacities: &[u32]) -> Placement {
    let candidate = |(index, capacity): (usize, &u32)| Candidate {
        target: format!("server-{index}").parse().expect("a valid id"),
        capacity: Weight::new(*capacity),
    };
    let candidates = capacities.iter().enumerate().map(candidate).collect();
    Placement::new(candidates, PartsPerMillion::new(1_100_000))
}

fn items(owner: impl Fn(usize) -> Option<usize>) -> Vec<Item> {
    let item = |index| Item { hash: index as u64, heat: 10, owner: owner(index), successor: None };
    (0..SLOTS).map(item).collect()
}

fn loads(placed: &[Placed], targets: usize) -> Vec<usize> {
    (0..targets).map(|target| placed.iter().filter(|it| it.owner == target).count()).collect()
}

/// Guards against a joining target that stays empty, and against moves beyond its share.
#[rstest]
fn a_join_moves_about_the_share_of_the_new_target(#[values(15, 20)] targets: usize) {
    let before = placement(&vec![1; targets]).place(&items(|_| None)).expect("candidates");
    let joined = placement(&vec![1; targets + 1]);
    let after = joined.place(&items(|index| Some(before[index].owner))).expect("candidates");
    let moved = before.iter().zip(&after).filter(|(was, is)| was.owner != is.owner).count();
    let share = SLOTS / (targets + 1);
    assert!(moved >= share * 8 / 10 && moved <= share * 12 / 10, "{moved} moved, share {share}");
    assert!(loads(&after, targets + 1).iter().all(|load| *load * targets <= SLOTS * 11 / 10));
}

/// Guards against moves of slots whose owner remains when another target leaves.
#[test]
fn a_leave_moves_only_the_slots_of_the_lost_target() {
    let before = placement(&[1; 15]).place(&items(|_| None)).expect("candidates");
    let kept = |index: usize| Some(before[index].owner).filter(|owner| *owner != 14);
    let after = placement(&[1; 14]).place(&items(kept)).expect("candidates");
    let stays = |index: &usize| kept(*index).is_none_or(|owner| owner == after[*index].owner);
    assert_eq!((0..SLOTS).filter(|index| !stays(index)).count(), 0);
    assert!(after.iter().all(|placed| placed.successor.is_some_and(|next| next != placed.owner)));
}

/// Guards against placements that ignore the capacity of a target.
#[test]
fn load_follows_capacity() {
    let placed = placement(&[1, 1, 2]).place(&items(|_| None)).expect("candidates");
    let loads = loads(&placed, 3);
    assert!(loads[2] > SLOTS * 45 / 100 && loads[2] < SLOTS * 55 / 100, "{loads:?}");
}

/// Guards against two targets that exchange a slot forever.
#[test]
fn a_second_placement_moves_nothing() {
    let heat = |index: usize| if index.is_multiple_of(97) { 400 } else { 10 };
    let with_heat = |owner: &dyn Fn(usize) -> Option<usize>| -> Vec<Item> {
        let with_index_heat = |(index, item)| Item { heat: heat(index), ..item };
        items(owner).into_iter().enumerate().map(with_index_heat).collect()
    };
    let place = |items: &[Item]| placement(&[1; 20]).place(items).expect("candidates");
    let mut placed = place(&with_heat(&|_| None));
    placed = place(&with_heat(&|index| Some(placed[index].owner)));
    let again = place(&with_heat(&|index| Some(placed[index].owner)));
    let owners = |placed: &[Placed]| placed.iter().map(|it| it.owner).collect::<Vec<_>>();
    assert_eq!(owners(&placed), owners(&again));
}
