//! Rows in the format of other programs.

use bytes::Bytes;
use wagtailmoor_core::RowVersion;

use crate::{ConfirmedOutcome, StoreError};

/// Reads and writes rows whose content other programs read. They carry no id of their write.
pub trait PlainTable {
    /// Returns the version and content of a row; `None` if it does not exist.
    fn read_plain(
        &self,
        row: &str,
    ) -> impl Future<Output = Result<Option<(RowVersion, Bytes)>, StoreError>>;

    /// Writes a row if its version is the expected one; zero if it must not exist. The outcome is
    /// unknown if the response is lost.
    fn write_plain(
        &self,
        row: &str,
        expected: RowVersion,
        content: &Bytes,
    ) -> impl Future<Output = ConfirmedOutcome>;
}
