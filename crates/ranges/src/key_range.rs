//! Contiguous ranges of keys.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::{ParseError, ShardKey};
use wagtailmoor_derive::scalar;

/// A contiguous range of keys, with both bounds inclusive.
#[scalar]
pub struct KeyRange {
    first: ShardKey,
    last: ShardKey,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self { first: ShardKey::new(0), last: ShardKey::new(u16::MAX) };

    /// Returns `None` if `first` is greater than `last`.
    pub fn new(first: ShardKey, last: ShardKey) -> Option<Self> {
        (first <= last).then_some(Self { first, last })
    }

    /// Returns the lower bound, which belongs to the range.
    pub fn first(self) -> ShardKey {
        self.first
    }

    /// Returns the upper bound, which belongs to the range.
    pub fn last(self) -> ShardKey {
        self.last
    }

    /// Returns whether the key lies within the range, bounds included.
    pub fn contains(self, key: ShardKey) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the keys that both ranges contain, or `None` if they don't overlap.
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// Returns the part of this range that lies below `other`, or `None` if there is none.
    pub fn below(self, other: Self) -> Option<Self> {
        let last = other.first.get().checked_sub(1)?;
        Self::new(self.first, self.last.min(ShardKey::new(last)))
    }

    /// Returns the part of this range that lies above `other`, or `None` if there is none.
    pub fn above(self, other: Self) -> Option<Self> {
        let first = other.last.get().checked_add(1)?;
        Self::new(self.first.max(ShardKey::new(first)), self.last)
    }

    /// Returns whether the other range starts right after this one.
    pub fn is_followed_by(self, other: Self) -> bool {
        self.last.get().checked_add(1) == Some(other.first.get())
    }

    /// Merges this range with `next`, which must start right after it.
    pub fn merged_with(self, next: Self) -> Self {
        Self { first: self.first, last: next.last }
    }

    /// Splits the range into at most `parts` ranges of about equal size, each with at least one
    /// key.
    pub fn split(self, parts: u32) -> Vec<Self> {
        let parts = parts.clamp(1, self.len());
        let bound = |part: u32| {
            let offset = u64::from(self.len()) * u64::from(part) / u64::from(parts);
            u32::from(self.first.get()) + u32::try_from(offset).unwrap_or(u32::MAX)
        };
        let key = |number: u32| ShardKey::new(u16::try_from(number).unwrap_or(u16::MAX));
        (0..parts)
            .filter_map(|part| Self::new(key(bound(part)), key(bound(part + 1) - 1)))
            .collect()
    }

    /// Returns the number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last.get()) - u32::from(self.first.get()) + 1
    }

    /// Returns `false`; a range is never empty.
    pub fn is_empty(self) -> bool {
        false
    }
}

impl Display for KeyRange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}-{}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("key range", text, "two keys such as 0-4095");
        let (first, last) = text.split_once('-').ok_or_else(error)?;
        let first = first.parse().map_err(|_| error())?;
        Self::new(first, last.parse().map_err(|_| error())?).ok_or_else(error)
    }
}
