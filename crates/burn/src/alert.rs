//! Firing alerts.

use std::fmt::{Display, Formatter, Result as FmtResult};

use serde::Serialize;

use crate::{AlertRule, BurnRate};

/// An alert whose rule is met at the time of the report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// The rule whose conditions are met.
    #[serde(flatten)]
    pub rule: AlertRule,
    /// Burn rate in the long window.
    pub long_burn: BurnRate,
    /// Burn rate in the short window.
    pub short_burn: BurnRate,
}

impl Display for Alert {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{} {}/{}", self.rule.severity, self.rule.long, self.rule.short)
    }
}
