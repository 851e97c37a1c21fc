//! Table rows in the form that nodes cache and relay to each other.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

use crate::change_feed::FeedRow;
use crate::deflate::{COMPRESSION_MIN_BYTES, deflate, inflate};

/// Content of a row, compressed unless it is small.
#[value]
enum RowContent {
    Plain(Bytes),
    Deflated(Bytes),
}

/// A row whose content is compressed unless it is small.
#[value]
pub struct CompressedRow {
    /// Name of the row in its table.
    pub key: Arc<str>,
    /// Version that the store gave this content, or the removal.
    pub version: RowVersion,
    content: Option<RowContent>,
}

impl CompressedRow {
    /// Compresses a row once; the result is relayed to many nodes.
    pub fn compress(row: FeedRow) -> Self {
        let content = row.content.map(RowContent::compress);
        Self { key: row.key, version: row.version, content }
    }

    /// Decompresses the row; fails if the content is corrupt or too large.
    pub fn decompress(&self) -> io::Result<FeedRow> {
        let content = self.content.as_ref().map(RowContent::decompress).transpose()?;
        Ok(FeedRow { key: self.key.clone(), version: self.version, content })
    }

    /// Returns whether the row was removed.
    pub fn is_removed(&self) -> bool {
        self.content.is_none()
    }

    /// Returns the size in bytes of the content as it is cached and sent.
    pub fn compressed_size(&self) -> usize {
        match &self.content {
            Some(RowContent::Plain(bytes) | RowContent::Deflated(bytes)) => bytes.len(),
            None => 0,
        }
    }

    /// Returns a record of this row's removal at a version.
    pub fn removed_at(&self, version: RowVersion) -> Self {
        Self { key: self.key.clone(), version, content: None }
    }
}

impl RowContent {
    fn compress(content: Bytes) -> Self {
        match content.len() < COMPRESSION_MIN_BYTES {
            true => Self::Plain(content),
            false => Self::Deflated(deflate(&content).into()),
        }
    }

    fn decompress(&self) -> io::Result<Bytes> {
        match self {
            Self::Plain(content) => Ok(content.clone()),
            Self::Deflated(compressed) => inflate(compressed).map(Bytes::from),
        }
    }
}
