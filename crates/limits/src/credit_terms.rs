//! Rate, burst and share of one customer at one issuer.

use std::time::Duration;

use wagtailmoor_core::{PartsPerMillion, Requests, RequestsPerSecond};
use wagtailmoor_derive::scalar;

pub(crate) const MAX_VALIDITY: Duration = Duration::from_millis(400);
/// With less, a credit would expire before the holder's next request.
const MIN_VALIDITY: Duration = Duration::from_millis(50);

/// Default share of rate and burst that is divided evenly among zones.
pub const DEFAULT_STATIC_SHARE: PartsPerMillion = PartsPerMillion::new(100_000);

/// Rate and burst of a customer, and the share of them that one issuer issues.
///
/// The shares of all issuers of a customer add up to at most one.
#[scalar]
pub struct CreditTerms {
    /// Rate over all hosts.
    pub rate: RequestsPerSecond,
    /// Burst over all hosts.
    pub burst: Requests,
    /// Part of both that this issuer issues.
    pub share: PartsPerMillion,
}

impl CreditTerms {
    /// Returns the part of the rate that this issuer issues.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.share.of(f64::from(self.rate.get()))
    }

    /// Returns the maximum number of credits that may be valid at the same time.
    pub(crate) fn capacity(&self) -> f64 {
        self.share.of(f64::from(self.burst.get()))
    }

    /// Returns how long a credit is valid: 400 ms, or half of the time that the burst lasts at the
    /// rate if the burst lasts for less than 800 ms, but at least 50 ms.
    ///
    /// A burst of less than 50 ms at the rate is still enforced, but the customer is then served
    /// below its rate.
    pub fn validity(&self) -> Duration {
        let burst_s = f64::from(self.burst.get()) / f64::from(self.rate.get().max(1));
        Duration::from_secs_f64(burst_s / 2.0).clamp(MIN_VALIDITY, MAX_VALIDITY)
    }
}

/// Returns the share of a customer's credits that the issuer of a zone issues; `home` is whether
/// the zone is the customer's home zone.
///
/// `zones` counts all configured zones, reachable or not. If it counted reachable zones only, both
/// sides of a partition would issue the same share.
pub fn zone_share(static_share: PartsPerMillion, zones: u32, home: bool) -> PartsPerMillion {
    let static_part = static_share.get() / zones.max(1);
    let home_part = if home { PartsPerMillion::ONE.get() - static_share.get() } else { 0 };
    PartsPerMillion::new(static_part + home_part)
}
