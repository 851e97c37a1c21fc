//! Placement of slots and hot keys on targets.

use wagtailmoor_core::{PartsPerMillion, TargetId, Weight, rendezvous_score};
use wagtailmoor_derive::{scalar, value};

/// A target that may own items.
#[value]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Relative share of the load that the target should get.
    pub capacity: Weight,
}

/// An item to place; targets are positions in the list of candidates.
#[scalar]
pub struct Item {
    /// Hash that ranks the candidates.
    pub hash: u64,
    /// Load of the item.
    pub heat: u32,
    /// Current owner, if it may keep the item.
    pub owner: Option<usize>,
    /// Current successor, if it may stay successor.
    pub successor: Option<usize>,
}

/// Placement of one item; targets are positions in the list of candidates.
#[scalar]
pub struct Placed {
    /// The owner.
    pub owner: usize,
    /// The successor, absent when there is only one candidate.
    pub successor: Option<usize>,
}

/// Weighted rendezvous hashing with a cap on the load of a target.
///
/// Current owners keep their items unless their load is above the cap. A target whose load is below
/// `2 - cap` of its share (0.9 for a cap of 1.1) takes over items that rank it first. Without this,
/// a target that joins a large group would stay empty, because no other target is above the cap.
#[derive(Clone, Debug)]
pub struct Placement {
    candidates: Vec<Candidate>,
    cap: f64,
}

impl Placement {
    /// Creates a placement over the candidates. `cap` limits the load of a target, relative to its
    /// share; values below 1 count as 1.
    pub fn new(candidates: Vec<Candidate>, cap: PartsPerMillion) -> Self {
        Self { candidates, cap: cap.of(1.0).max(1.0) }
    }

    /// Returns the candidates, in the order to which the positions in [`Placed`] refer.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Places all items; `None` when there is no candidate.
    pub fn place(&self, items: &[Item]) -> Option<Vec<Placed>> {
        if self.candidates.is_empty() {
            return None;
        }
        let mut loads = Loads::new(&self.candidates, items, self.cap);
        let mut owners: Vec<Option<usize>> = items.iter().map(|item| item.owner).collect();
        self.release_excess(items, &mut owners, &mut loads);
        self.fill_underloaded(items, &mut owners, &mut loads);
        self.assign_unowned(items, &mut owners, &mut loads);
        let placed = items.iter().zip(&owners).map(|(item, owner)| {
            let owner = owner.unwrap_or_default();
            Placed { owner, successor: self.successor(item, owner) }
        });
        Some(placed.collect())
    }

    /// Returns the candidate that ranks first for a hash, other than `except`.
    pub fn best(&self, hash: u64, except: Option<usize>) -> Option<usize> {
        let ranked = (0..self.candidates.len()).filter(|index| Some(*index) != except);
        ranked.max_by(|left, right| self.score(hash, *left).total_cmp(&self.score(hash, *right)))
    }

    fn successor(&self, item: &Item, owner: usize) -> Option<usize> {
        item.successor
            .filter(|present| *present != owner)
            .or_else(|| self.best(item.hash, Some(owner)))
    }

    fn score(&self, hash: u64, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        score(hash, &candidate.target, candidate.capacity)
    }

    fn release_excess(&self, items: &[Item], owners: &mut [Option<usize>], loads: &mut Loads) {
        let above = |index: &usize| owners[*index].is_some_and(|owner| loads.above_cap(owner));
        let own_score =
            |index: usize| self.score(items[index].hash, owners[index].unwrap_or_default());
        // An owner first releases the items that rank it lowest, because these are the most likely
        // to stay with their next owner.
        let mut order: Vec<(usize, f64)> =
            (0..items.len()).filter(above).map(|index| (index, own_score(index))).collect();
        order.sort_by(|left, right| left.1.total_cmp(&right.1));
        for (index, _) in order {
            let Some(owner) = owners[index] else { continue };
            let heat = f64::from(items[index].heat);
            if loads.above_cap(owner) && loads.improves_without(owner, heat) {
                loads.remove(owner, heat);
                owners[index] = None;
            }
        }
    }

    fn fill_underloaded(&self, items: &[Item], owners: &mut [Option<usize>], loads: &mut Loads) {
        if (0..self.candidates.len()).all(|index| !loads.below_floor(index)) {
            return;
        }
        for (index, item) in items.iter().enumerate() {
            let Some(owner) = owners[index] else { continue };
            let Some(first) = self.best(item.hash, None) else { continue };
            let heat = f64::from(item.heat);
            let owner_fuller = loads.utilization(owner) > loads.utilization(first);
            if first != owner && owner_fuller && loads.below_floor(first) && loads.fits(first, heat)
            {
                loads.remove(owner, heat);
                loads.add(first, heat);
                owners[index] = Some(first);
            }
        }
    }

    fn assign_unowned(&self, items: &[Item], owners: &mut [Option<usize>], loads: &mut Loads) {
        let mut unowned: Vec<usize> =
            (0..items.len()).filter(|index| owners[*index].is_none()).collect();
        unowned.sort_by_key(|index| std::cmp::Reverse(items[*index].heat));
        for index in unowned {
            let heat = f64::from(items[index].heat);
            let owner = self.best_that_fits(items[index].hash, heat, loads);
            loads.add(owner, heat);
            owners[index] = Some(owner);
        }
    }

    fn best_that_fits(&self, hash: u64, heat: f64, loads: &Loads) -> usize {
        let fitting = (0..self.candidates.len()).filter(|index| loads.fits(*index, heat));
        fitting
            .max_by(|left, right| self.score(hash, *left).total_cmp(&self.score(hash, *right)))
            .unwrap_or_else(|| loads.least_utilized())
    }
}

/// Ranks a candidate for a hash: highest random weight with capacity weights.
pub(crate) fn score(hash: u64, target: &TargetId, capacity: Weight) -> f64 {
    let random = rendezvous_score(hash, target.as_str());
    // 53 bits fit the mantissa of an f64; adding one half keeps the logarithm finite.
    let unit = ((random >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(capacity.get().max(1)) / unit.ln()
}

struct Loads {
    loads: Vec<f64>,
    shares: Vec<f64>,
    cap: f64,
}

impl Loads {
    fn new(candidates: &[Candidate], items: &[Item], cap: f64) -> Self {
        let capacity: f64 =
            candidates.iter().map(|each| f64::from(each.capacity.get().max(1))).sum();
        let heat: f64 = items.iter().map(|item| f64::from(item.heat)).sum();
        let share = |each: &Candidate| heat * f64::from(each.capacity.get().max(1)) / capacity;
        let shares: Vec<f64> = candidates.iter().map(share).collect();
        let mut loads = vec![0.0; candidates.len()];
        for item in items {
            if let Some(owner) = item.owner {
                loads[owner] += f64::from(item.heat);
            }
        }
        Self { loads, shares, cap }
    }

    fn add(&mut self, index: usize, heat: f64) {
        self.loads[index] += heat;
    }

    fn remove(&mut self, index: usize, heat: f64) {
        self.loads[index] -= heat;
    }

    fn above_cap(&self, index: usize) -> bool {
        self.loads[index] > self.shares[index] * self.cap
    }

    // With the item, another target must be less utilized than the current owner is now; otherwise
    // two targets would exchange the item forever.
    fn improves_without(&self, index: usize, heat: f64) -> bool {
        let others = (0..self.loads.len()).filter(|other| *other != index);
        let after = |other: usize| (self.loads[other] + heat) / self.shares[other];
        others.map(after).any(|after| after < self.utilization(index))
    }

    fn utilization(&self, index: usize) -> f64 {
        self.loads[index] / self.shares[index].max(f64::MIN_POSITIVE)
    }

    fn below_floor(&self, index: usize) -> bool {
        self.loads[index] < self.shares[index] * (2.0 - self.cap)
    }

    fn fits(&self, index: usize, heat: f64) -> bool {
        self.loads[index] + heat <= self.shares[index] * self.cap
    }

    fn least_utilized(&self) -> usize {
        (0..self.loads.len())
            .min_by(|left, right| self.utilization(*left).total_cmp(&self.utilization(*right)))
            .unwrap_or_default()
    }
}
