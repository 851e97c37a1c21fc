//! A target that may own keys.

use crate::Holder;

/// A target that may own keys, as it is registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The target and its life.
    pub holder: Holder,
    /// Requests a second that it can run.
    pub capacity_per_s: f64,
    /// Whether it may be given keys: it is ready, in service and not cold.
    pub eligible: bool,
    /// Whether it must give up its keys: it leaves or its zone is out of service.
    pub leaving: bool,
}
