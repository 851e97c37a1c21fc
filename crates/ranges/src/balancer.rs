//! Which ranges move for balance.

use wagtailmoor_core::ShardKey;

use crate::{Holder, KeyLoad, KeyRange, Member};

/// Load above the fair one that justifies a move, as a share of it.
const EXCESS_SHARE_MIN: f64 = 0.35;

/// Load above the fair one that justifies a move, in standard deviations of a Poisson count, which
/// keeps chance from moving keys: at five requests a second a count varies by nearly half.
const EXCESS_DEVIATIONS_MIN: f64 = 2.5;

/// Least part of the load in proportion to its capacity that is fair for a slow member.
const FAIR_SHARE_MIN: f64 = 0.2;

/// Load up to which a member is given more, as a multiple of its fair share. Single keys of a hot
/// range would else not fit on members that are nearly as busy as the mean.
const FILL_MAX: f64 = 1.4;

/// A range whose owner is to change.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// Their present owner.
    pub from: Holder,
    /// Their next owner.
    pub to: Holder,
}

/// Spreads load over members by moving parts of ranges from the busiest to the least busy.
#[derive(Debug)]
pub struct Balancer<'a> {
    load: &'a KeyLoad,
    shares: Vec<Share>,
}

/// A member with what it owns.
#[derive(Debug)]
struct Share {
    member: Member,
    ranges: Vec<KeyRange>,
    load_per_s: f64,
    /// Load that it is to have.
    fair_per_s: f64,
}

impl Share {
    fn utilisation(&self) -> f64 {
        self.load_per_s / self.fair_per_s
    }
}

impl<'a> Balancer<'a> {
    /// Creates a balancer over eligible members and what they own.
    pub fn new(load: &'a KeyLoad, owned: Vec<(Member, Vec<KeyRange>)>) -> Self {
        let mut shares: Vec<Share> = owned
            .into_iter()
            .map(|(member, ranges)| {
                let load_per_s = ranges.iter().map(|range| load.of(*range)).sum();
                Share { fair_per_s: member.capacity_per_s, member, ranges, load_per_s }
            })
            .collect();
        set_fair_shares(&mut shares);
        Self { load, shares }
    }

    /// Returns the moves that bring the busiest members near the mean, busiest first.
    pub fn moves(mut self, moves_max: usize) -> Vec<Move> {
        let mut moves = Vec::new();
        while moves.len() < moves_max {
            let Some(next) = self.next_move() else { break };
            moves.push(next);
        }
        moves
    }

    /// Returns the least busy member, for keys that need an owner.
    pub fn least_busy(&self) -> Option<&Member> {
        let shares = self.shares.iter();
        shares.min_by(|left, right| left.rank().total_cmp(&right.rank())).map(|s| &s.member)
    }

    /// Notes that a member is to own a range as well.
    pub fn add(&mut self, holder: &Holder, range: KeyRange) {
        let load_per_s = self.load.of(range);
        if let Some(share) = self.shares.iter_mut().find(|share| share.member.holder == *holder) {
            share.ranges.push(range);
            share.load_per_s += load_per_s;
        }
    }

    fn next_move(&mut self) -> Option<Move> {
        let busiest = self.position_by(Share::utilisation, f64::max)?;
        let idlest = self.position_by(Share::utilisation, f64::min)?;
        let (source, sink) = (&self.shares[busiest], &self.shares[idlest]);
        let fair = source.fair_per_s;
        let excess = source.load_per_s - fair;
        if busiest == idlest || excess < self.excess_min(fair) {
            return None;
        }
        let room = FILL_MAX * sink.fair_per_s - sink.load_per_s;
        let amount = excess.min(room);
        let range = source.ranges.iter().filter_map(|range| self.part(*range, amount));
        let (range, load_per_s) = range.max_by(|left, right| left.1.total_cmp(&right.1))?;
        // A move must leave both members better off than the busier one was.
        if (sink.load_per_s + load_per_s) / sink.fair_per_s >= source.utilisation() {
            return None;
        }
        let next =
            Move { range, from: source.member.holder.clone(), to: sink.member.holder.clone() };
        self.apply(busiest, idlest, range, load_per_s);
        Some(next)
    }

    fn excess_min(&self, fair: f64) -> f64 {
        let deviation = (fair / self.load.time_constant().as_secs_f64()).sqrt();
        (EXCESS_SHARE_MIN * fair).max(EXCESS_DEVIATIONS_MIN * deviation)
    }

    /// Returns the part of a range that carries about `amount`, starting at its busiest key that
    /// is not too heavy by itself.
    fn part(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
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

    fn apply(&mut self, busiest: usize, idlest: usize, moved: KeyRange, load_per_s: f64) {
        let ranges = std::mem::take(&mut self.shares[busiest].ranges);
        self.shares[busiest].ranges = ranges
            .into_iter()
            .flat_map(|range| match range.intersection(moved) {
                None => [Some(range), None],
                Some(_) => [range.below(moved), range.above(moved)],
            })
            .flatten()
            .collect();
        self.shares[busiest].load_per_s -= load_per_s;
        self.shares[idlest].ranges.push(moved);
        self.shares[idlest].load_per_s += load_per_s;
    }

    fn position_by(
        &self,
        value: impl Fn(&Share) -> f64,
        better: impl Fn(f64, f64) -> f64,
    ) -> Option<usize> {
        let values: Vec<f64> = self.shares.iter().map(value).collect();
        let best = values.iter().copied().reduce(better)?;
        values.iter().position(|value| *value == best)
    }
}

/// Divides the load so that requests take the least time on the whole: what members have free is
/// divided by the square roots of their capacities, so that slow ones are less busy than fast ones.
/// Without free capacity the load is divided in proportion.
fn set_fair_shares(shares: &mut [Share]) {
    let total: f64 = shares.iter().map(|share| share.load_per_s).sum();
    let capacity: f64 = shares.iter().map(|share| share.member.capacity_per_s).sum();
    let roots: f64 = shares.iter().map(|share| share.member.capacity_per_s.sqrt()).sum();
    let free = (capacity - total).max(0.0);
    for share in shares.iter_mut() {
        let own = share.member.capacity_per_s;
        // Without any load the capacity itself orders the members.
        let proportional = if total > 0.0 { own * total / capacity } else { own };
        let wanted = own - free * own.sqrt() / roots;
        share.fair_per_s = wanted.clamp(FAIR_SHARE_MIN * proportional, own.max(proportional));
    }
    let given: f64 = shares.iter().map(|share| share.fair_per_s).sum();
    if total > 0.0 {
        shares.iter_mut().for_each(|share| share.fair_per_s *= total / given);
    }
}

impl Share {
    /// Busyness that also counts keys without load, so that idle keys spread as well.
    fn rank(&self) -> f64 {
        let keys: u32 = self.ranges.iter().map(|range| range.len()).sum();
        let idle_keys = f64::from(keys) / f64::from(u16::MAX);
        (self.load_per_s + idle_keys) / self.fair_per_s
    }
}
