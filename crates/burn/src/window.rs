//! Time windows of burn rates.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::time::Duration;

use serde::Serialize;

/// Time window before the report over which a burn rate is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Window {
    /// 5 minutes.
    #[serde(rename = "5m")]
    Minutes5,
    /// 30 minutes.
    #[serde(rename = "30m")]
    Minutes30,
    /// 1 hour.
    #[serde(rename = "1h")]
    Hours1,
    /// 6 hours.
    #[serde(rename = "6h")]
    Hours6,
    /// 3 days.
    #[serde(rename = "3d")]
    Days3,
}

impl Window {
    /// All windows, the shortest first.
    pub const ALL: [Self; 5] =
        [Self::Minutes5, Self::Minutes30, Self::Hours1, Self::Hours6, Self::Days3];

    /// Returns the length of the window.
    pub const fn length(self) -> Duration {
        Duration::from_secs(match self {
            Self::Minutes5 => 300,
            Self::Minutes30 => 1_800,
            Self::Hours1 => 3_600,
            Self::Hours6 => 21_600,
            Self::Days3 => 259_200,
        })
    }
}

impl Display for Window {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Minutes5 => "5m",
            Self::Minutes30 => "30m",
            Self::Hours1 => "1h",
            Self::Hours6 => "6h",
            Self::Days3 => "3d",
        })
    }
}
