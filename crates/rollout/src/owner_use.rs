//! Whether a request may be sent to the owner of its key.

/// Whether a request may be sent to the owner of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerUse {
    /// It may be sent.
    Send,
    /// The keys of the owner are moving to another target.
    Wait,
    /// The new version has got its share of the requests.
    Refuse,
}
