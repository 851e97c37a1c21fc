//! Format of the row contents that this system writes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtailmoor_core::WriteId;

use crate::deflate::{COMPRESSION_MIN_BYTES, deflate, inflate};

/// First byte of compressed content; no JSON text starts with it.
const COMPRESSED_TAG: u8 = 0;

/// Content of a row that this system writes: a value and the id of the write that stored it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Id of the write that stored this content, in decimal digits.
    pub write_id: String,
    /// The value as the caller gave it.
    pub value: Value,
}

impl StoredRow {
    /// Creates the content from a value and the id of the write that will store it.
    pub fn new(write_id: WriteId, value: Value) -> Self {
        Self { write_id: write_id.to_string(), value }
    }

    /// Encodes the content, compressed unless it is small. The range owners of 2,000 targets take
    /// 150 KB uncompressed, and the store allows 64 KB per row.
    pub fn encode(&self) -> Vec<u8> {
        let json = serde_json::to_vec(self).expect("a JSON value can be encoded");
        match json.len() < COMPRESSION_MIN_BYTES {
            true => json,
            false => [&[COMPRESSED_TAG][..], &deflate(&json)].concat(),
        }
    }

    /// Decodes the content of a row.
    ///
    /// # Errors
    ///
    /// Fails if the content is corrupt or was not written by this system.
    pub fn decode(content: &[u8]) -> Result<Self, serde_json::Error> {
        match content.split_first() {
            Some((&COMPRESSED_TAG, compressed)) => {
                serde_json::from_slice(&inflate(compressed).map_err(serde_json::Error::io)?)
            }
            _ => serde_json::from_slice(content),
        }
    }
}
