//! Result of one check of a history.

use wagtailmoor_derive::value;

/// Findings beyond this number are counted without a description.
const MAX_DETAILS: usize = 20;

/// Result of one check of a history.
#[value]
pub struct CheckResult {
    /// Name of the check in reports, such as `at-most-once`.
    pub name: String,
    /// Number of records, or groups of records, that were checked.
    pub examined: u64,
    /// Number of records that could not be checked.
    pub skipped: u64,
    /// Number of violations found.
    pub findings: u64,
    /// Descriptions of the first violations, at most 20.
    pub details: Vec<String>,
}

impl CheckResult {
    pub(crate) fn new(name: &str) -> Self {
        let name = name.to_owned();
        Self { name, examined: 0, skipped: 0, findings: 0, details: Vec::new() }
    }

    pub(crate) fn add_finding(&mut self, detail: String) {
        self.findings += 1;
        if self.details.len() < MAX_DETAILS {
            self.details.push(detail);
        }
    }
}
