//! Selects the ranges to move so that load is balanced across targets.

use std::cmp::Ordering;

use wagtailmoor_core::ShardKey;

use crate::{KeyLoad, KeyRange, Member, TargetProcess};

/// Minimum load above the fair load that justifies a move, as a fraction of the fair load.
const EXCESS_RATIO_MIN: f64 = 0.35;

/// Minimum load above the fair load that justifies a move, in standard deviations of a Poisson
/// count. Random variation alone must not move keys: at five requests a second, a count varies by
/// nearly half.
const EXCESS_DEVIATIONS_MIN: f64 = 2.5;

/// Lower bound on the fair load of a slow member, as a fraction of the load that is proportional to
/// its capacity.
const FAIR_LOAD_RATIO_MIN: f64 = 0.2;

/// Load up to which a member may receive keys, as a multiple of its fair load. With a lower limit,
/// single keys of a hot range would not fit on members whose load is close to the mean.
const FILL_RATIO_MAX: f64 = 1.4;

/// Number of a member's heaviest keys for which another member is searched.
const HOT_KEYS_CHECKED_MAX: usize = 8;

/// Maximum ratio of the receiving member's use of its capacity after the move of a single key to
/// the sending member's use before it. A smaller gain does not justify that requests wait for the
/// move.
const KEY_MOVE_USE_RATIO_MAX: f64 = 0.8;

/// A planned change of the owner of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Keys that change their owner.
    pub range: KeyRange,
    /// Current owner.
    pub from: TargetProcess,
    /// Next owner.
    pub to: TargetProcess,
}

/// Balances load by moving parts of ranges from the busiest member to the least busy one.
#[derive(Debug)]
pub struct Balancer<'a> {
    load: &'a KeyLoad,
    members: Vec<MemberLoad>,
}

/// A member with its ranges and their load.
#[derive(Debug)]
struct MemberLoad {
    member: Member,
    ranges: Vec<KeyRange>,
    /// Requests per second. A key counts with at most the member's capacity: the rest cannot be run
    /// by any member and must not raise the fair load of the others.
    load_per_s: f64,
    /// Load that the member should have, in requests per second.
    fair_per_s: f64,
    /// Whether no part of the member's ranges can be moved with a gain, because its load is not far
    /// enough above the fair load or because no other member can take a part.
    exhausted: bool,
}

impl MemberLoad {
    fn utilisation(&self) -> f64 {
        self.load_per_s / self.fair_per_s
    }

    /// Returns the used part of the member's capacity with `added_per_s` more requests per second.
    fn capacity_use(&self, added_per_s: f64) -> f64 {
        (self.load_per_s + added_per_s) / self.member.capacity_per_s
    }

    /// Returns the part of a key's load that the member can run.
    fn runnable(&self, load_per_s: f64) -> f64 {
        load_per_s.min(self.member.capacity_per_s)
    }
}

/// Part of a member's ranges that is to be moved, with its load and the index of the receiver.
#[derive(Debug)]
struct PlannedPart {
    range: KeyRange,
    load_per_s: f64,
    destination: usize,
}

impl<'a> Balancer<'a> {
    /// Creates a balancer for eligible members and the ranges they own.
    pub fn new(load: &'a KeyLoad, member_ranges: Vec<(Member, Vec<KeyRange>)>) -> Self {
        let mut members: Vec<MemberLoad> = member_ranges
            .into_iter()
            .map(|(member, ranges)| {
                let load_per_s =
                    ranges.iter().map(|range| runnable_per_s(load, &member, *range)).sum();
                let fair_per_s = member.capacity_per_s;
                MemberLoad { fair_per_s, member, ranges, load_per_s, exhausted: false }
            })
            .collect();
        set_fair_loads(&mut members);
        let mut balancer = Self { load, members };
        let exhausted: Vec<bool> =
            balancer.members.iter().map(|entry| balancer.excess_per_s(entry).is_none()).collect();
        for (entry, exhausted) in balancer.members.iter_mut().zip(exhausted) {
            entry.exhausted = exhausted;
        }
        balancer
    }

    /// Plans up to `moves_max` moves towards the fair loads, each from the member that is the
    /// busiest after the moves planned before.
    pub fn moves(mut self, moves_max: usize) -> Vec<Move> {
        let mut moves = Vec::new();
        while moves.len() < moves_max {
            let Some(next) = self.next_move() else { break };
            moves.push(next);
        }
        moves
    }

    /// Returns the member to which to assign vacant keys, or `None` without members.
    pub fn least_busy(&self) -> Option<&Member> {
        let members = self.members.iter();
        members
            .min_by(|left, right| {
                left.utilisation_with_idle_keys().total_cmp(&right.utilisation_with_idle_keys())
            })
            .map(|entry| &entry.member)
    }

    /// Adds a range to a member, with the load of the range.
    pub fn add(&mut self, process: &TargetProcess, range: KeyRange) {
        let entry = self.members.iter_mut().find(|entry| entry.member.process == *process);
        if let Some(entry) = entry {
            let load_per_s = runnable_per_s(self.load, &entry.member, range);
            entry.ranges.push(range);
            entry.load_per_s += load_per_s;
        }
    }

    fn next_move(&mut self) -> Option<Move> {
        loop {
            let movable = |entry: &MemberLoad| !entry.exhausted;
            let busiest = self.best_index(movable, |left, right| {
                left.utilisation().total_cmp(&right.utilisation())
            })?;
            let Some(part) = self.fitting_part(busiest).or_else(|| self.hot_key(busiest)) else {
                // The load of a single key may exceed every member. The others are still balanced.
                self.members[busiest].exhausted = true;
                continue;
            };
            let process = |index: usize| self.members[index].member.process.clone();
            let next =
                Move { range: part.range, from: process(busiest), to: process(part.destination) };
            self.apply(busiest, &part);
            return Some(next);
        }
    }

    /// Returns the load of a member above its fair load, or `None` if that justifies no move.
    fn excess_per_s(&self, source: &MemberLoad) -> Option<f64> {
        let excess = source.load_per_s - source.fair_per_s;
        (excess >= self.excess_min(source.fair_per_s)).then_some(excess)
    }

    /// Returns the part of a member's ranges that brings its load nearest to the fair load while it
    /// fits on the least utilised member.
    fn fitting_part(&self, source_index: usize) -> Option<PlannedPart> {
        let source = &self.members[source_index];
        let excess = self.excess_per_s(source)?;
        let least_utilised = self.best_index(
            |_| true,
            |left, right| right.utilisation().total_cmp(&left.utilisation()),
        )?;
        let destination = &self.members[least_utilised];
        let headroom_per_s = FILL_RATIO_MAX * destination.fair_per_s - destination.load_per_s;
        let amount = excess.min(headroom_per_s);
        let parts = source.ranges.iter().filter_map(|range| self.heaviest_part(*range, amount));
        let (range, load_per_s) = parts.max_by(|left, right| left.1.total_cmp(&right.1))?;
        // The receiving member must end up less utilised than the sending one was before the move.
        let improves =
            (destination.load_per_s + load_per_s) / destination.fair_per_s < source.utilisation();
        let part = PlannedPart { range, load_per_s, destination: least_utilised };
        (improves && source_index != least_utilised).then_some(part)
    }

    /// Returns the heaviest key of a member that another member can run with a lower use of its
    /// capacity. On a large site the fair load of a member is small, and a single hot key exceeds
    /// it.
    fn hot_key(&self, source_index: usize) -> Option<PlannedPart> {
        let source = &self.members[source_index];
        self.excess_per_s(source)?;
        let keys = source.ranges.iter().flat_map(|range| self.load.in_range(*range));
        let mut keys: Vec<(ShardKey, f64)> = keys.collect();
        keys.sort_by(|left, right| right.1.total_cmp(&left.1));
        keys.into_iter().take(HOT_KEYS_CHECKED_MAX).find_map(|(key, load_per_s)| {
            let destination = self.best_index(
                |_| true,
                |left, right| {
                    right.capacity_use(load_per_s).total_cmp(&left.capacity_use(load_per_s))
                },
            )?;
            let not_runnable_per_s = load_per_s - source.runnable(load_per_s);
            let use_max = KEY_MOVE_USE_RATIO_MAX * source.capacity_use(not_runnable_per_s);
            let fits = self.members[destination].capacity_use(load_per_s) < use_max;
            let range = KeyRange::new(key, key)?;
            let part = PlannedPart { range, load_per_s, destination };
            (fits && destination != source_index).then_some(part)
        })
    }

    fn excess_min(&self, fair_per_s: f64) -> f64 {
        let deviation = (fair_per_s / self.load.time_constant().as_secs_f64()).sqrt();
        (EXCESS_RATIO_MIN * fair_per_s).max(EXCESS_DEVIATIONS_MIN * deviation)
    }

    /// Scans a range for contiguous runs of keys whose load stays within `amount`. Returns the
    /// heaviest run and its load. A key that exceeds `amount` by itself belongs to no run.
    fn heaviest_part(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let mut best: Option<(KeyRange, f64)> = None;
        let mut first: Option<ShardKey> = None;
        let mut sum = 0.0;
        for (key, weight) in self.load.in_range(range) {
            if sum + weight > amount {
                first = None;
                sum = 0.0;
            }
            if weight > amount {
                continue;
            }
            let start = *first.get_or_insert(key);
            sum += weight;
            if best.is_none_or(|(_, found)| sum > found) {
                best = KeyRange::new(start, key).map(|range| (range, sum));
            }
        }
        best
    }

    fn apply(&mut self, busiest: usize, part: &PlannedPart) {
        let (moved, load_per_s) = (part.range, part.load_per_s);
        let ranges = std::mem::take(&mut self.members[busiest].ranges);
        self.members[busiest].ranges = ranges
            .into_iter()
            .flat_map(|range| match range.intersection(moved) {
                None => [Some(range), None],
                Some(_) => [range.below(moved), range.above(moved)],
            })
            .flatten()
            .collect();
        let source = &mut self.members[busiest];
        source.load_per_s -= source.runnable(load_per_s);
        let destination = &mut self.members[part.destination];
        destination.ranges.push(moved);
        destination.load_per_s += destination.runnable(load_per_s);
    }

    /// Returns the index of the greatest of the members that a filter accepts.
    fn best_index(
        &self,
        accepts: impl Fn(&MemberLoad) -> bool,
        compare: impl Fn(&MemberLoad, &MemberLoad) -> Ordering,
    ) -> Option<usize> {
        let accepted = self.members.iter().enumerate().filter(|(_, entry)| accepts(entry));
        accepted.max_by(|left, right| compare(left.1, right.1)).map(|(index, _)| index)
    }
}

/// Returns the requests per second on a range that a member can run.
fn runnable_per_s(load: &KeyLoad, member: &Member, range: KeyRange) -> f64 {
    load.in_range(range).map(|(_, rate_per_s)| rate_per_s.min(member.capacity_per_s)).sum()
}

/// Computes the fair load of each member so that the mean response time is lowest: the free
/// capacity is divided in proportion to the square roots of the members' capacities, which leaves
/// slow members less utilised than fast ones. Without free capacity, the load is divided in
/// proportion to the capacities.
fn set_fair_loads(members: &mut [MemberLoad]) {
    let total: f64 = members.iter().map(|entry| entry.load_per_s).sum();
    let capacity: f64 = members.iter().map(|entry| entry.member.capacity_per_s).sum();
    let roots: f64 = members.iter().map(|entry| entry.member.capacity_per_s.sqrt()).sum();
    let free = (capacity - total).max(0.0);
    for entry in members.iter_mut() {
        let capacity_per_s = entry.member.capacity_per_s;
        // Without any load, the fair load is derived from the capacity alone.
        let proportional =
            if total > 0.0 { capacity_per_s * total / capacity } else { capacity_per_s };
        let fair_per_s_unbounded = capacity_per_s - free * capacity_per_s.sqrt() / roots;
        entry.fair_per_s = fair_per_s_unbounded
            .clamp(FAIR_LOAD_RATIO_MIN * proportional, capacity_per_s.max(proportional));
    }
    let assigned: f64 = members.iter().map(|entry| entry.fair_per_s).sum();
    if total > 0.0 {
        members.iter_mut().for_each(|entry| entry.fair_per_s *= total / assigned);
    }
}

impl MemberLoad {
    /// Utilisation that also counts the number of keys, so that keys without load are spread too.
    fn utilisation_with_idle_keys(&self) -> f64 {
        let keys: u32 = self.ranges.iter().map(|range| range.len()).sum();
        let idle_keys = f64::from(keys) / f64::from(u16::MAX);
        (self.load_per_s + idle_keys) / self.fair_per_s
    }
}
