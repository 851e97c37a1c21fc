//! JSON request and response bodies of the table service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtailmoor_core::{RowVersion, WriteId};

use crate::{Row, RowWrite, StoreError};

#[derive(Deserialize)]
pub(crate) struct RowBody {
    #[serde(default)]
    row: Arc<str>,
    version: RowVersion,
    write_id: String,
    value: Value,
}

impl RowBody {
    pub(crate) fn into_row(self, name: Option<&str>) -> Result<Row, StoreError> {
        let write_id = u128::from_str_radix(&self.write_id, 16)
            .map_err(|error| StoreError::Protocol { cause: format!("write_id: {error}") })?;
        Ok(Row {
            row: name.map_or(self.row, Arc::from),
            version: self.version,
            write_id: WriteId::new(write_id),
            value: self.value,
        })
    }
}

#[derive(Deserialize)]
pub(crate) struct ScanBody {
    pub(crate) rows: Vec<RowBody>,
}

#[derive(Serialize)]
struct WriteBody<'a> {
    row: &'a str,
    expected: RowVersion,
    value: &'a Option<Value>,
}

#[derive(Serialize)]
pub(crate) struct TransactionBody<'a> {
    write_id: String,
    writes: Vec<WriteBody<'a>>,
}

impl<'a> TransactionBody<'a> {
    pub(crate) fn new(write_id: WriteId, writes: &'a [RowWrite]) -> Self {
        let writes = writes
            .iter()
            .map(|write| WriteBody {
                row: &write.row,
                expected: write.expected,
                value: &write.value,
            })
            .collect();
        Self { write_id: format!("{:032x}", write_id.get()), writes }
    }
}

#[derive(Deserialize)]
pub(crate) struct VersionsBody {
    pub(crate) versions: Vec<RowVersion>,
}

#[derive(Deserialize)]
pub(crate) struct ConflictBody {
    pub(crate) row: Arc<str>,
    pub(crate) version: RowVersion,
}

/// Percent-encodes a name for use as a path segment or query value.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
