//! Which part of the requests on a range its owner can run in time.

use wagtailmoor_core::PartsPerMillion;
use wagtailmoor_derive::value;

use crate::KeyRange;

/// Time over which the queue of an owner is brought back to what it may be.
const HORIZON_S: f64 = 1.0;

/// Part of its speed that an owner is always given, so that a wrong estimate starves no key.
const RATE_MIN_SHARE: f64 = 0.3;

/// Which part of the requests on a range its owner can run in time.
#[value]
pub struct RangeShare {
    /// The keys.
    pub range: KeyRange,
    /// The part of the requests on them that is sent to their owner.
    pub admitted: PartsPerMillion,
}

/// What an owner can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Requests that it runs in a second.
    pub rate_per_s: f64,
    /// Requests that may join its queue, so that the last one still ends in time; negative if too
    /// many wait already.
    pub queue: f64,
}

impl Room {
    /// Returns the requests a second that the owner can take over the horizon.
    fn budget_per_s(self) -> f64 {
        let least = self.rate_per_s * RATE_MIN_SHARE;
        (self.rate_per_s + self.queue / HORIZON_S).max(least)
    }
}

/// Divides what an owner can take among its ranges: each gets what it needs, and those that need
/// most share what is left equally. A hot key thus costs its neighbours nothing. Returns the ranges
/// that need more than they get.
pub(crate) fn divide(room: Room, mut demands: Vec<(KeyRange, f64)>) -> Vec<RangeShare> {
    let budget = room.budget_per_s();
    if demands.iter().map(|(_, rate)| rate).sum::<f64>() <= budget {
        return Vec::new();
    }
    demands.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut left = budget;
    let mut limited = Vec::new();
    let count = demands.len();
    for (index, (range, rate)) in demands.into_iter().enumerate() {
        let equal = left / (count - index) as f64;
        let given = rate.min(equal);
        left -= given;
        if given < rate {
            let admitted = PartsPerMillion::from_share(given / rate);
            limited.push(RangeShare { range, admitted });
        }
    }
    limited
}
