//! A row as nodes keep it and pass it on to each other.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

use crate::change_feed::FeedRow;
use crate::deflate::{PACK_MIN_BYTES, deflate, inflate};

/// Content of a row, compressed where that pays.
#[value]
enum PackedContent {
    Plain(Bytes),
    Deflated(Bytes),
}

/// A row with its content compressed.
#[value]
pub struct PackedRow {
    /// Name of the row in its table.
    pub key: Arc<str>,
    /// Version of the row.
    pub version: RowVersion,
    content: Option<PackedContent>,
}

impl PackedRow {
    /// Packs a row. Compression costs time once; the result is passed on to many nodes.
    pub fn pack(row: FeedRow) -> Self {
        let content = row.content.map(PackedContent::pack);
        Self { key: row.key, version: row.version, content }
    }

    /// Returns the row with its content, or an error if the content is damaged or too large.
    pub fn unpack(&self) -> io::Result<FeedRow> {
        let content = self.content.as_ref().map(PackedContent::unpack).transpose()?;
        Ok(FeedRow { key: self.key.clone(), version: self.version, content })
    }

    /// Returns whether the row was removed.
    pub fn is_removed(&self) -> bool {
        self.content.is_none()
    }

    /// Returns the size of the content as it is kept and sent.
    pub fn packed_bytes(&self) -> usize {
        match &self.content {
            Some(PackedContent::Plain(bytes) | PackedContent::Deflated(bytes)) => bytes.len(),
            None => 0,
        }
    }

    /// Returns the same row as removed at a version.
    pub fn removed_at(&self, version: RowVersion) -> Self {
        Self { key: self.key.clone(), version, content: None }
    }
}

impl PackedContent {
    fn pack(content: Bytes) -> Self {
        match content.len() < PACK_MIN_BYTES {
            true => Self::Plain(content),
            false => Self::Deflated(deflate(&content).into()),
        }
    }

    fn unpack(&self) -> io::Result<Bytes> {
        match self {
            Self::Plain(content) => Ok(content.clone()),
            Self::Deflated(packed) => inflate(packed).map(Bytes::from),
        }
    }
}
