//! Version numbers and loss reports that are sent in each digest.

use wagtailmoor_core::{ConfigVersion, SortedVec, ZoneId};
use wagtailmoor_derive::value;

use crate::Losses;

/// Version numbers and loss reports that are sent in each digest.
#[value]
#[derive(Default)]
pub struct Versions {
    /// Configuration version that the sender has applied.
    pub config: ConfigVersion,
    /// Time since `config` was last known to be the newest version in the store, or `None` if that
    /// was never known.
    pub freshness_age_ms: Option<u64>,
    /// Version of the route table of each zone.
    pub routes: SortedVec<ZoneId, u64>,
    /// Recent target losses by crash fingerprint.
    pub losses: Losses,
}

impl Versions {
    /// Maximum number of zones in a digest: two regions of four zones, and room for as many more.
    pub const MAX_ROUTES: usize = 16;

    pub(crate) fn encoded_len(&self) -> usize {
        let routes_len: usize = self.routes.keys().map(|zone| 8 + zone.as_str().len() + 8).sum();
        8 + 9 + 8 + routes_len + 8 + self.losses.as_bytes().len()
    }
}
