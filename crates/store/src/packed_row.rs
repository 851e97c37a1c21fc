//! A row as nodes keep it and pass it on to each other.

use std::io::{self, Read, Write};
use std::sync::Arc;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use wagtailmoor_core::RowVersion;
use wagtailmoor_derive::value;

use crate::change_feed::FeedRow;

/// Content below this size is passed on as it is; compression would save less than a packet.
const PACK_MIN_BYTES: usize = 1_024;

/// Content above this size when unpacked is refused. It is far above any row of the store, and
/// bounds the memory that a faulty node can make others use.
const UNPACKED_MAX_BYTES: u64 = 16 * 1024 * 1024;

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
        match deflate(&content) {
            Ok(packed) if packed.len() < content.len() => Self::Deflated(packed),
            _ => Self::Plain(content),
        }
    }

    fn unpack(&self) -> io::Result<Bytes> {
        match self {
            Self::Plain(content) => Ok(content.clone()),
            Self::Deflated(packed) => inflate(packed),
        }
    }
}

/// Returns the content compressed, or as it is when it is short.
fn deflate(content: &Bytes) -> io::Result<Bytes> {
    if content.len() < PACK_MIN_BYTES {
        return Ok(content.clone());
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content)?;
    Ok(encoder.finish()?.into())
}

fn inflate(packed: &[u8]) -> io::Result<Bytes> {
    let mut content = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_MAX_BYTES + 1).read_to_end(&mut content)?;
    match content.len() as u64 > UNPACKED_MAX_BYTES {
        true => Err(io::Error::new(io::ErrorKind::InvalidData, "the row is too large")),
        false => Ok(content.into()),
    }
}
