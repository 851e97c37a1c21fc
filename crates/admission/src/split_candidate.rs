//! Chooses among the back ends of a route.

use rand::{Rng, RngExt};

/// A back end of a route, as one node sees it for one request.
#[derive(Clone, Copy, Debug)]
pub struct SplitCandidate {
    /// Weight of the back end relative to the others of the route.
    pub weight: u32,
    /// Whether the back end would run this request in the node's own availability zone.
    pub is_local: bool,
    /// Share of all requests that the back end would run in the node's own availability zone.
    pub local_share: f64,
}

impl SplitCandidate {
    /// Chooses a candidate and returns its index; `candidates` must not be empty.
    ///
    /// Each candidate gets its share of the requests by weight. A back end that runs only the
    /// requests on some keys in this zone gets these rather than others, so that fewer bytes cross
    /// zones.
    pub fn choose<R: Rng>(candidates: &[Self], random: &mut R) -> usize {
        let Some(partial) = Self::partially_local(candidates) else {
            return Self::draw(candidates, None, random);
        };
        let total: u32 = candidates.iter().map(|candidate| candidate.weight).sum();
        let candidate = &candidates[partial];
        let share = f64::from(candidate.weight) / f64::from(total);
        let local = (share / candidate.local_share).min(1.0);
        let remote = (share - candidate.local_share * local) / (1.0 - candidate.local_share);
        let probability = if candidate.is_local { local } else { remote };
        match random.random_bool(probability.clamp(0.0, 1.0)) {
            true => partial,
            false => Self::draw(candidates, Some(partial), random),
        }
    }

    /// Returns the candidate with the greatest weight of those that run some requests in this zone
    /// and others elsewhere.
    fn partially_local(candidates: &[Self]) -> Option<usize> {
        let is_partial = |candidate: &Self| {
            candidate.weight > 0 && candidate.local_share > 0.0 && candidate.local_share < 1.0
        };
        let partial = candidates.iter().enumerate().filter(|(_, candidate)| is_partial(candidate));
        partial.max_by_key(|(_, candidate)| candidate.weight).map(|(index, _)| index)
    }

    /// Draws a candidate other than `excluded` by weight. Without any other, returns `excluded`.
    fn draw<R: Rng>(candidates: &[Self], excluded: Option<usize>, random: &mut R) -> usize {
        let weights = || {
            let all = candidates.iter().enumerate();
            all.filter(|(index, _)| Some(*index) != excluded).map(|(index, it)| (index, it.weight))
        };
        let total: u32 = weights().map(|(_, weight)| weight).sum();
        let fallback = excluded.unwrap_or(candidates.len() - 1);
        if total == 0 {
            return fallback;
        }
        let mut remaining = random.random_range(0..total);
        for (index, weight) in weights() {
            match remaining.checked_sub(weight) {
                Some(rest) => remaining = rest,
                None => return index,
            }
        }
        fallback
    }
}
