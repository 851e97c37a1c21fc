//! Compression of rows.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Content below this size is kept as it is; compression would save less than a packet.
pub(crate) const PACK_MIN_BYTES: usize = 1_024;

/// Content above this size when unpacked is refused. It is far above any row of the store, and
/// bounds the memory that a faulty node can make others use.
const UNPACKED_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses content.
pub(crate) fn deflate(content: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content).and_then(|()| encoder.finish()).expect("memory takes every write")
}

/// Restores content, unless it is damaged or too large.
pub(crate) fn inflate(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_MAX_BYTES + 1).read_to_end(&mut content)?;
    match content.len() as u64 > UNPACKED_MAX_BYTES {
        true => Err(io::Error::new(io::ErrorKind::InvalidData, "the row is too large")),
        false => Ok(content),
    }
}
