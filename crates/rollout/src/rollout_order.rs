//! An operators' order to move a back end to another version.

use std::sync::Arc;
use std::time::Duration;

use wagtailmoor_core::BackEndId;
use wagtailmoor_derive::value;

/// An operators' order to move a back end's requests to targets of another version.
#[value]
pub struct RolloutOrder {
    /// The back end.
    pub back_end: BackEndId,
    /// Version to move to.
    pub to: Arc<str>,
    /// Time within which the order must be decided.
    pub duration: Duration,
}
