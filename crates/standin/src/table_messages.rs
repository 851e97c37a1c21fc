//! JSON bodies of table requests and responses.

use serde_json::Value;
use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

use crate::Row;

/// Body of `POST /table`.
#[value]
pub struct Transaction {
    /// Id that the table stores with the rows, in hexadecimal digits.
    pub write_id: String,
    /// Applied all or not at all.
    pub writes: Vec<Write>,
}

/// A conditional write of one row.
#[value]
pub struct Write {
    /// Name of the row.
    pub row: String,
    /// The transaction fails unless the row has this version; zero if the row must not exist.
    pub expected: RowVersion,
    /// New value; `null` deletes the row.
    pub value: Value,
}

/// Response to a transaction that was applied.
#[value]
pub(crate) struct Versions {
    /// New versions in the order of the writes.
    pub(crate) versions: Vec<RowVersion>,
}

/// Response to a scan.
#[value]
pub(crate) struct Rows {
    /// Rows in order of their names.
    pub(crate) rows: Vec<NamedRow>,
}

/// A row with its name.
#[value]
pub(crate) struct NamedRow {
    /// Name of the row.
    pub(crate) row: String,
    /// Version, write id and value, on the same JSON level as the name.
    #[serde(flatten)]
    pub(crate) content: Row,
}
