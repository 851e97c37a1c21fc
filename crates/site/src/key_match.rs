//! Result of looking up the holder of a customer key.

use crate::CustomerRule;

/// The holder of a customer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyMatch<'c> {
    /// The customer.
    Customer(&'c CustomerRule),
    /// A customer whose rules cannot be used.
    Unusable,
    /// No customer holds the key, as far as the customers could be read.
    Unlisted,
    /// No customer holds the key.
    Unknown,
}
