//! The era of the store in the high part of numbers that must not go back when the store does.

use crate::{Epoch, Generation, RowVersion, StoreEra};

/// Position of the era in a row version. It leaves 2^48 versions for each of 2^16 eras.
const ROW_VERSION_ERA_SHIFT: u32 = 48;

/// Position of the era in fencing tokens and generations. They stay below 2^53 for 2^21 eras, which
/// a JSON number needs.
const TOKEN_ERA_SHIFT: u32 = 32;

/// Largest low part of a fencing token or generation.
const TOKEN_LOW_MAX: u64 = (1 << TOKEN_ERA_SHIFT) - 1;

impl StoreEra {
    /// Highest era that row versions and fencing tokens can hold.
    pub const MAX: Self = Self::new((1 << (64 - ROW_VERSION_ERA_SHIFT)) - 1);
}

impl RowVersion {
    /// Creates the version of a row from the number that the store gave it in an era. A version of a
    /// later era is higher than all of earlier ones.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self::new((era.get() << ROW_VERSION_ERA_SHIFT) | number)
    }

    /// Returns the era in which the store gave the row this version.
    pub const fn era(self) -> StoreEra {
        StoreEra::new(self.get() >> ROW_VERSION_ERA_SHIFT)
    }

    /// Returns the number that the store gave the row. It identifies the version only within its
    /// era, because a restored store issues numbers again.
    pub const fn number(self) -> u64 {
        self.get() & ((1 << ROW_VERSION_ERA_SHIFT) - 1)
    }
}

impl Epoch {
    /// Returns the fencing token before the first one of an era. It is above all that were issued in
    /// earlier eras, including those whose stored copies were lost in a restore.
    pub const fn base_of(era: StoreEra) -> Self {
        Self::new(era.get() << TOKEN_ERA_SHIFT)
    }

    /// Returns the era in which this fencing token was issued.
    pub const fn era(self) -> StoreEra {
        StoreEra::new(self.get() >> TOKEN_ERA_SHIFT)
    }
}

impl Generation {
    /// Creates a generation of an era; `number` is limited to the low part.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        let number = if number > TOKEN_LOW_MAX { TOKEN_LOW_MAX } else { number };
        Self::new((era.get() << TOKEN_ERA_SHIFT) | number)
    }

    /// Returns the era in which this generation began.
    pub const fn era(self) -> StoreEra {
        StoreEra::new(self.get() >> TOKEN_ERA_SHIFT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against numbers of a later era that are not above those of earlier ones, and against a
    // changed number in stores without eras.
    #[test]
    fn numbers_rise_with_the_era() {
        let (first, second) = (StoreEra::new(1), StoreEra::new(2));
        assert!(RowVersion::in_era(first, 9_000) < RowVersion::in_era(second, 1));
        assert_eq!(RowVersion::in_era(second, 7).era(), second);
        assert_eq!(RowVersion::in_era(second, 7).number(), 7);
        assert_eq!(RowVersion::in_era(StoreEra::default(), 7), RowVersion::new(7));
        assert!(Epoch::base_of(second) > Epoch::new(Epoch::base_of(first).get() + 4_000_000));
        assert!(Generation::in_era(second, 1) > Generation::in_era(first, u64::MAX));
        assert_eq!(Generation::in_era(first, u64::MAX).era(), first);
    }
}
