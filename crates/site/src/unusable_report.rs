//! Report of the elements of a configuration that could not be used.

use std::fmt::{Display, Formatter, Result as FmtResult};

use crate::ElementKind;

/// Elements that are named in the report; the others are only counted, so that a log line stays
/// short.
const NAMED_MAX: usize = 4;

/// Characters of a name that are kept, since names come from a document of any content.
const NAME_MAX_CHARS: usize = 48;

/// Counts of the unusable elements of a configuration, with the names and causes of the first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnusableReport {
    counts: [u32; ElementKind::ALL.len()],
    unknown_types: u32,
    first: Vec<String>,
}

impl UnusableReport {
    /// Records an unusable element. `cause` must not contain values of the document, which may be
    /// secret.
    pub fn record(&mut self, kind: ElementKind, name: Option<&str>, cause: &str) {
        self.counts[kind as usize] += 1;
        self.describe(&format!("{kind} {}: {cause}", short_name(name)));
    }

    /// Records a route of an unknown type, which is usable under the strictest rules.
    pub fn record_unknown_type(&mut self, route: &str) {
        self.unknown_types += 1;
        self.describe(&format!("route {}: unknown type", short_name(Some(route))));
    }

    fn describe(&mut self, text: &str) {
        if self.first.len() < NAMED_MAX {
            self.first.push(text.to_owned());
        }
    }

    /// Returns the number of unusable elements of a kind.
    pub fn count(&self, kind: ElementKind) -> u32 {
        self.counts[kind as usize]
    }

    /// Returns the number of unusable elements.
    pub fn total(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the number of routes of an unknown type.
    pub fn unknown_types(&self) -> u32 {
        self.unknown_types
    }

    /// Returns whether every element is usable and of a known type.
    pub fn is_empty(&self) -> bool {
        self.total() == 0 && self.unknown_types == 0
    }
}

/// Writes the names and causes of the first elements.
impl Display for UnusableReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(&self.first.join("; "))
    }
}

fn short_name(name: Option<&str>) -> String {
    name.unwrap_or("(unnamed)").chars().take(NAME_MAX_CHARS).collect()
}
