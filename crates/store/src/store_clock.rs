//! The steady clock of the store.

use wagtailmoor_core::StoreTime;

use crate::StoreError;

/// Reads the steady clock of the store, so that a process can continue the timing of another one.
pub trait StoreClock {
    /// Returns the current time of the store.
    fn store_time(&self) -> impl Future<Output = Result<StoreTime, StoreError>>;
}
