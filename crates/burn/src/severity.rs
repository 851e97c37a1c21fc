//! Severities of alerts.

use std::fmt::{Display, Formatter, Result as FmtResult};

use serde::Serialize;

/// Urgency of an alert. The order of the variants is the order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The alert must be handled within days.
    Ticket,
    /// The alert must be handled at once.
    Page,
}

impl Display for Severity {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Ticket => "ticket",
            Self::Page => "page",
        })
    }
}
