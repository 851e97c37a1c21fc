//! The elements of a configuration that could not be used.

use std::sync::Arc;

use wagtailmoor_core::{BackEndId, KeyDigest};

use crate::UnusableReport;

/// The elements of a configuration that could not be used, as far as they could be read.
///
/// Requests that an unusable element concerns are refused: the element may restrict them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnusableElements {
    /// Hosts and prefixes of routes.
    pub routes: Vec<(Arc<str>, Arc<str>)>,
    /// Names of back ends.
    pub back_ends: Vec<BackEndId>,
    /// Whether there are back ends without a readable name. Any back end that the configuration
    /// does not describe may be one of them.
    pub unnamed_back_ends: bool,
    /// Keys of customers.
    pub keys: Vec<KeyDigest>,
    /// Whether there are customers or keys that could not be read. Any unknown key may be one of
    /// them.
    pub unread_keys: bool,
    /// Whether the list of customers could not be read at all, so that it may be empty or not.
    pub unread_customers: bool,
    /// Counts, names and causes.
    pub report: UnusableReport,
}
