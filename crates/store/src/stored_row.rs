//! The content of a row that this system writes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtailmoor_core::WriteId;

use crate::deflate::{PACK_MIN_BYTES, deflate, inflate};

/// First byte of compressed content; no JSON begins with it.
const PACKED: u8 = 0;

/// The content of a row that this system writes: the value with the id of its last write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Id of the write.
    pub write_id: String,
    /// The value.
    pub value: Value,
}

impl StoredRow {
    /// Creates the content of a row.
    pub fn new(write_id: WriteId, value: Value) -> Self {
        Self { write_id: write_id.to_string(), value }
    }

    /// Encodes the content, compressed if it is long: the owners of 2,000 targets take 150 KB, and a
    /// row of the store 64.
    pub fn encode(&self) -> Vec<u8> {
        let json = serde_json::to_vec(self).expect("a JSON value can be encoded");
        match json.len() < PACK_MIN_BYTES {
            true => json,
            false => [&[PACKED][..], &deflate(&json)].concat(),
        }
    }

    /// Decodes the content.
    ///
    /// # Errors
    ///
    /// The content was not written by this system.
    pub fn decode(content: &[u8]) -> Result<Self, serde_json::Error> {
        match content.split_first() {
            Some((&PACKED, packed)) => {
                serde_json::from_slice(&inflate(packed).map_err(serde_json::Error::io)?)
            }
            _ => serde_json::from_slice(content),
        }
    }
}
