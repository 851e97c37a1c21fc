//! DEFLATE compression of row contents.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Smaller content is left uncompressed; compression would save less than one packet.
pub(crate) const COMPRESSION_MIN_BYTES: usize = 1_024;

/// Content that decompresses to more than this is rejected, so that a faulty node cannot exhaust
/// the memory of others. Rows of the store are far smaller.
const DECOMPRESSED_MAX_BYTES: u64 = 16 * 1024 * 1024;

pub(crate) fn deflate(content: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(content)
        .and_then(|()| encoder.finish())
        .expect("writing to a Vec cannot fail")
}

/// Decompresses content; fails if it is corrupt or larger than `DECOMPRESSED_MAX_BYTES`.
pub(crate) fn inflate(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    DeflateDecoder::new(compressed).take(DECOMPRESSED_MAX_BYTES + 1).read_to_end(&mut content)?;
    match content.len() as u64 > DECOMPRESSED_MAX_BYTES {
        true => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the row decompresses to more than 16 MiB",
        )),
        false => Ok(content),
    }
}
