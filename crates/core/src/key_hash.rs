//! Hash functions that give the same results in all processes.

use std::fmt::{Display, Formatter, Result};

use wagtailmoor_derive::scalar;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{CustomerId, SlotId, ZoneId};

/// Hash of an application key.
#[scalar]
#[serde(transparent)]
pub struct KeyHash(u64);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Creates a key hash from the number that [`KeyHash::get`] returns.
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the slot of this key among `slots` slots.
    ///
    /// # Panics
    ///
    /// If `slots` is zero.
    pub fn slot(self, slots: u32) -> SlotId {
        let slot = self.0 % u64::from(slots);
        SlotId::new(u32::try_from(slot).expect("a remainder of a u32 fits in a u32"))
    }
}

impl Display for KeyHash {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Returns the score of a candidate for an item in rendezvous (highest random weight) hashing.
pub fn rendezvous_score(item: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), item)
}

/// Returns the zone whose controller issues the main share of a customer's credits.
///
/// All nodes with the same `zones` get the same result; `None` if there are no zones.
pub fn home_zone<'a>(
    customer: &CustomerId,
    zones: impl IntoIterator<Item = &'a ZoneId>,
) -> Option<&'a ZoneId> {
    let item = KeyHash::of(customer.as_str().as_bytes()).get();
    zones.into_iter().max_by_key(|zone| (rendezvous_score(item, zone.as_str()), *zone))
}
