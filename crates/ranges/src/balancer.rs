//! Selects the ranges to move so that load is balanced across targets.

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
    load_per_s: f64,
    /// Load that the member should have, in requests per second.
    fair_per_s: f64,
}

impl MemberLoad {
    fn utilisation(&self) -> f64 {
        self.load_per_s / self.fair_per_s
    }
}

impl<'a> Balancer<'a> {
    /// Creates a balancer for eligible members and the ranges they own.
    pub fn new(load: &'a KeyLoad, member_ranges: Vec<(Member, Vec<KeyRange>)>) -> Self {
        let mut members: Vec<MemberLoad> = member_ranges
            .into_iter()
            .map(|(member, ranges)| {
                let load_per_s = ranges.iter().map(|range| load.rate_per_s(*range)).sum();
                MemberLoad { fair_per_s: member.capacity_per_s, member, ranges, load_per_s }
            })
            .collect();
        set_fair_loads(&mut members);
        Self { load, members }
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
        let load_per_s = self.load.rate_per_s(range);
        if let Some(entry) = self.members.iter_mut().find(|entry| entry.member.process == *process)
        {
            entry.ranges.push(range);
            entry.load_per_s += load_per_s;
        }
    }

    fn next_move(&mut self) -> Option<Move> {
        let busiest = self.index_by(MemberLoad::utilisation, f64::max)?;
        let least_busy = self.index_by(MemberLoad::utilisation, f64::min)?;
        let (source, destination) = (&self.members[busiest], &self.members[least_busy]);
        let fair_per_s = source.fair_per_s;
        let excess = source.load_per_s - fair_per_s;
        if busiest == least_busy || excess < self.excess_min(fair_per_s) {
            return None;
        }
        let headroom_per_s = FILL_RATIO_MAX * destination.fair_per_s - destination.load_per_s;
        let amount = excess.min(headroom_per_s);
        let range = source.ranges.iter().filter_map(|range| self.heaviest_part(*range, amount));
        let (range, load_per_s) = range.max_by(|left, right| left.1.total_cmp(&right.1))?;
        // The receiving member must end up less utilised than the sending one was before the move.
        if (destination.load_per_s + load_per_s) / destination.fair_per_s >= source.utilisation() {
            return None;
        }
        let next = Move {
            range,
            from: source.member.process.clone(),
            to: destination.member.process.clone(),
        };
        self.apply(busiest, least_busy, range, load_per_s);
        Some(next)
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

    fn apply(&mut self, busiest: usize, least_busy: usize, moved: KeyRange, load_per_s: f64) {
        let ranges = std::mem::take(&mut self.members[busiest].ranges);
        self.members[busiest].ranges = ranges
            .into_iter()
            .flat_map(|range| match range.intersection(moved) {
                None => [Some(range), None],
                Some(_) => [range.below(moved), range.above(moved)],
            })
            .flatten()
            .collect();
        self.members[busiest].load_per_s -= load_per_s;
        self.members[least_busy].ranges.push(moved);
        self.members[least_busy].load_per_s += load_per_s;
    }

    fn index_by(
        &self,
        value: impl Fn(&MemberLoad) -> f64,
        better: impl Fn(f64, f64) -> f64,
    ) -> Option<usize> {
        let values: Vec<f64> = self.members.iter().map(value).collect();
        let best = values.iter().copied().reduce(better)?;
        values.iter().position(|value| *value == best)
    }
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
