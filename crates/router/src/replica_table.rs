//! The tables of the store that each node copies.

/// A table of the store that each node copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplicaTable {
    /// What operators write: the configuration, and zones out of service.
    Operators,
    /// The targets that are registered.
    Targets,
    /// The owners of ranges of keys.
    Ranges,
}

impl ReplicaTable {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Ranges];

    /// The tables whose age decides whether data are current. A request to a previous owner is refused
    /// by the target, so the table of owners is not among them.
    pub const DECISIVE: [Self; 2] = [Self::Operators, Self::Targets];

    /// Returns the name by which rows of the table are cached.
    pub(crate) fn cache_name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Ranges => "ranges",
        }
    }
}
