//! What a target of a keyed back end may own.

/// What a target of a keyed back end may own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberRole {
    /// Whether keys may be assigned to it.
    pub eligible: bool,
    /// Whether its keys must move to other targets.
    pub leaving: bool,
    /// Part of its capacity that is used.
    pub capacity: f64,
}

impl MemberRole {
    /// Owns keys like any target.
    pub const OWNER: Self = Self { eligible: true, leaving: false, capacity: 1.0 };

    /// Gives up its keys.
    pub const LEAVING: Self = Self { eligible: false, leaving: true, capacity: 1.0 };
}
