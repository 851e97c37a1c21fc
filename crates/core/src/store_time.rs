//! Points in time on the steady clock of the store.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;
use std::time::Duration;

use wagtailmoor_derive::scalar;

use crate::ParseError;

/// Milliseconds on the steady clock of the store. Unlike an `Instant`, it has the same meaning for
/// all processes, so it may be stored and sent.
#[scalar]
#[derive(Default)]
#[serde(transparent)]
pub struct StoreTime {
    since_epoch_ms: u64,
}

impl StoreTime {
    /// Creates a time from milliseconds on the store's clock.
    pub const fn from_ms(since_epoch_ms: u64) -> Self {
        Self { since_epoch_ms }
    }

    /// Returns milliseconds on the store's clock.
    pub const fn as_ms(self) -> u64 {
        self.since_epoch_ms
    }

    /// Returns the time since an earlier one, or zero if it is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.since_epoch_ms.saturating_sub(earlier.since_epoch_ms))
    }
}

impl Display for StoreTime {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}ms", self.since_epoch_ms)
    }
}

impl FromStr for StoreTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("ms").unwrap_or(text);
        let since_epoch_ms =
            digits.parse().map_err(|_| ParseError::new("store time", text, "milliseconds"))?;
        Ok(Self { since_epoch_ms })
    }
}
